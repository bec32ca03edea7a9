import type { Row } from '@bronzeyoke/ports';
import type { Outcome, Resources, TaskId } from '@bronzeyoke/types';

/**
 * The end of a request as its caller sees it. `disconnected` means that the entry closed the
 * connection, and `refused` that no connection could be made.
 */
export type CallerEnd = Outcome | { readonly kind: 'disconnected' } | { readonly kind: 'refused' };

/** An observation from outside the system. The oracle has no other input. */
export type Observation =
  | {
      readonly kind: 'requestSent';
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
  /** A process ended as planned; `abortedCalls` counts its requests in progress at that time. */
  | { readonly kind: 'exited'; readonly processId: string; readonly abortedCalls: number }
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
      /** How the run ended; `finished` is a success. */
      readonly end: string;
    }
  /** The table committed these rows. */
  | { readonly kind: 'committed'; readonly rows: readonly Row[] }
  /** An entry showed an operator the number of the configuration in force. */
  | {
      readonly kind: 'configurationShown';
      readonly processId: string;
      readonly number: number;
    }
  /** A fault other than a planned stop began. */
  | { readonly kind: 'faultInjected' }
  /** All faults were cleared and all requests had time to end. */
  | { readonly kind: 'settled' };
