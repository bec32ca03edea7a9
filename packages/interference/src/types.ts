import type { Map } from 'immutable';
import type { WorkerEffect, WorkerEvent } from '@bronzeyoke/ports';
import type { TaskId } from '@bronzeyoke/types';
import type { ThrottleStep } from './chart';

/** A task that runs beside the service. */
export interface Neighbour {
  readonly id: TaskId;
  readonly workKind: string;
  readonly role: 'batch' | 'watcher';
  readonly processorsMilli: number;
}

/** What is known of a kind of work beside the service. */
export interface KindState {
  readonly step: ThrottleStep;
  /** Learned slow-down of the service beyond 1 while this kind runs unthrottled. */
  readonly excess: number;
  /** Usage samples that it was learned from. */
  readonly usageSampleCount: number;
  /** Largest use of processors seen, the measure for how strongly the kind is present. */
  readonly peakMilli: number;
  /** Good windows until the next restore; it doubles when a restore did harm. */
  readonly restoreAfterWindows: number;
  readonly restoredAtMs: number;
  /** The factor that the entries were last told. */
  readonly sentFactor: number;
}

/** Latency of the service in a window that is over. */
export interface LatencyWindow {
  readonly endAtMs: number;
  readonly ratio: number;
}

/** State of the interference between the service and batch work at an agent. */
export interface InterferenceState {
  readonly service: string;
  /** Service time without batch work. */
  readonly baselineMs?: number;
  readonly sumMs: number;
  readonly sampleCount: number;
  readonly windows: readonly LatencyWindow[];
  readonly kinds: Map<string, KindState>;
  /** Shares that the worker confirmed, by task; a task that is not named has its full share. */
  readonly shares: Map<string, number>;
  readonly evictedAtMs: Map<string, number>;
  readonly badWindowCount: number;
  readonly goodWindowCount: number;
  /** Whether the last step has reached every task of its kind. */
  readonly isStepApplied: boolean;
  readonly calls: Map<string, InterferenceCall>;
  readonly callCount: number;
  readonly usageAtMs: number;
}

/** A command to the worker without a reply so far. */
export type InterferenceCall =
  | { readonly kind: 'usage'; readonly sentAtMs: number }
  | {
      readonly kind: 'throttle';
      readonly sentAtMs: number;
      readonly key: string;
      readonly share: number;
    };

/** What happens: an attempt ended at the upstream, a window of `WINDOW_MS` is over, or a reply. */
export type InterferenceEvent =
  | { readonly kind: 'served'; readonly serviceMs: number }
  | {
      readonly kind: 'window';
      readonly incarnation: number;
      readonly neighbours: readonly Neighbour[];
    }
  | WorkerEvent;

/** What has to be done about interference. */
export type InterferenceEffect = WorkerEffect | { readonly kind: 'evict'; readonly id: TaskId };
