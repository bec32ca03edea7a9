import type { Row } from '@bronzeyoke/ports';
import type { Outcome, Resources, TaskId } from '@bronzeyoke/types';

/**
 * How a request ended for its caller. `cut` means that the entry's connection closed, and `refused`
 * that no connection could be made.
 */
export type CallerEnd = Outcome | { readonly kind: 'cut' } | { readonly kind: 'refused' };

/** What someone outside the system saw. The oracle knows nothing else. */
export type Observation =
  | {
      readonly kind: 'asked';
      readonly requestId: string;
      readonly key?: string;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'replied'; readonly requestId: string; readonly end: CallerEnd }
  | {
      readonly kind: 'ran';
      readonly requestId: string;
      readonly agentId: string;
    }
  /** An operator began a planned stop. */
  | { readonly kind: 'stopping'; readonly processId: string }
  /** A process ended as planned; `cutCalls` counts the requests in progress that it cut off. */
  | { readonly kind: 'exited'; readonly processId: string; readonly cutCalls: number }
  | {
      readonly kind: 'workerAdded';
      readonly worker: string;
      readonly domain: string;
      readonly total: Resources;
    }
  | {
      readonly kind: 'taskStarted';
      readonly worker: string;
      readonly id: TaskId;
      readonly epoch: number;
      readonly reserved: Resources;
      readonly checkpointRef?: string | undefined;
    }
  | {
      readonly kind: 'taskEnded';
      readonly worker: string;
      readonly id: TaskId;
      readonly epoch: number;
    }
  /** The table committed these rows. */
  | { readonly kind: 'committed'; readonly rows: readonly Row[] }
  /** An operator asked an entry which configuration is in force. */
  | {
      readonly kind: 'configurationShown';
      readonly processId: string;
      readonly number: number;
    }
  /** A fault other than a planned stop began. */
  | { readonly kind: 'disturbed' }
  /** All faults were healed and all requests had time to end. */
  | { readonly kind: 'settled' };
