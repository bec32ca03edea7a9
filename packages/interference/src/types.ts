import type { Map } from 'immutable';
import type { WorkerEffect, WorkerEvent } from '@bronzeyoke/ports';
import type { TaskId } from '@bronzeyoke/types';
import type { ThrottleLevel } from './chart';

/** A task on the worker of the service. */
export interface Neighbour {
  readonly id: TaskId;
  readonly workKind: string;
  readonly role: 'batch' | 'watcher';
  readonly processorsMilli: number;
}

/** Learned slow-down and throttling of a kind of work. */
export interface KindState {
  readonly level: ThrottleLevel;
  /** Learned slow-down of the service beyond 1 while this kind runs unthrottled. */
  readonly excess: number;
  /** Number of usage samples behind `excess`. */
  readonly usageSampleCount: number;
  /** Largest processor usage so far; usage relative to it is the presence of the kind. */
  readonly peakMilli: number;
  /** Good windows required for the next restore; doubled after a restore that did harm. */
  readonly restoreAfterWindows: number;
  readonly restoredAtMs: number;
  /** Factor that was last sent to the entries. */
  readonly sentFactor: number;
}

/** Latency of the service in a completed window, relative to the baseline. */
export interface LatencyWindow {
  readonly endAtMs: number;
  readonly ratio: number;
}

/** State of interference control between the service and batch work at an agent. */
export interface InterferenceState {
  readonly service: string;
  /** Estimated mean service time without batch work. */
  readonly baselineMs?: number;
  readonly sumMs: number;
  readonly sampleCount: number;
  readonly windows: readonly LatencyWindow[];
  readonly kinds: Map<string, KindState>;
  /** Shares that the worker confirmed, by task key; other tasks have their full share. */
  readonly shares: Map<string, number>;
  readonly evictedAtMs: Map<string, number>;
  readonly badWindowCount: number;
  readonly goodWindowCount: number;
  /** Whether the last change of a level took effect for every task of its kind. */
  readonly isLevelApplied: boolean;
  readonly calls: Map<string, InterferenceCall>;
  readonly callCount: number;
  readonly usageAtMs: number;
}

/** A command to the worker that awaits its reply. */
export type InterferenceCall =
  | { readonly kind: 'usage'; readonly sentAtMs: number }
  | {
      readonly kind: 'throttle';
      readonly sentAtMs: number;
      readonly key: string;
      readonly share: number;
    };

/** Events: the end of an attempt at the upstream, the end of a window of `WINDOW_MS`, or a reply. */
export type InterferenceEvent =
  | { readonly kind: 'served'; readonly serviceMs: number }
  | {
      readonly kind: 'window';
      readonly incarnation: number;
      readonly neighbours: readonly Neighbour[];
    }
  | WorkerEvent;

/** Effects of interference control: commands to the worker and evictions. */
export type InterferenceEffect = WorkerEffect | { readonly kind: 'evict'; readonly id: TaskId };
