import type { Resources } from '@bronzeyoke/types';
import type { RunEnd } from '@bronzeyoke/workflow';

/** Latest report of a worker about itself. */
export interface WorkerReport {
  readonly id: string;
  readonly address: string;
  /** Unix milliseconds of the start of this instance. A restart under the same id has a later time. */
  readonly bornAtMs: number;
  readonly service: string;
  readonly domain: string;
  readonly version: string;
  readonly isDraining: boolean;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  readonly sequence: number;
}

/** Returns the key of a worker instance, which differs for every restart of the worker. */
export function workerKeyOf(worker: { readonly id: string; readonly bornAtMs: number }): string {
  return `${worker.id}@${worker.bornAtMs}`;
}

/** A run that is in progress according to its worker. */
export interface ListedRun {
  readonly task: string;
  readonly attempt: number;
  readonly checkpoint: string;
  /** Progress. For a lasting task it is 100 while the task is working. */
  readonly percent: number;
  /** Tail latency in ms for a task with a latency target, otherwise used processors in milli. */
  readonly load: number;
}

/**
 * Time after a start order in which the call of its agent may still have an effect: a later instance under
 * the worker's id may carry it out. Shorter than a lease, so that the tasks of a crashed worker return
 * before those of a silent machine.
 */
export const LATE_CALL_MS = 3_000;

/** Most ends in one list. A worker lists more of them once these are acknowledged. */
export const MAX_LISTED_ENDS = 500;

/** A run that has ended. Its worker lists it until the end is acknowledged. */
export interface ListedEnd {
  readonly sequence: number;
  readonly task: string;
  readonly attempt: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** Fields that the worker checks before it accepts an order. */
export interface RunOrder {
  readonly task: string;
  readonly attempt: number;
  readonly fencingToken: number;
}

/** Call from an agent to its worker. */
export type WorkerCall =
  | ({
      readonly kind: 'start';
      readonly payload: string;
      /** End of the lease of all runs on the worker, on the worker's clock. */
      readonly leaseUntilClockMs: number;
      readonly checkpoint?: string;
      readonly ticket?: string;
    } & RunOrder)
  | ({ readonly kind: 'stop' } & RunOrder)
  | ({ readonly kind: 'pace'; readonly percent: number } & RunOrder)
  | {
      readonly kind: 'hold';
      readonly fencingToken: number;
      readonly ackSequence: number;
      readonly leaseUntilClockMs?: number;
      readonly waitMs: number;
    };

/** Reason for which a worker refuses an order. */
export type OrderRefusal =
  'fenced' | 'superseded' | 'tooLate' | 'noRoom' | 'ticket' | 'invalid' | 'busy';

/** Result of a call. After `lost`, the worker may have executed it or may execute it later. */
export type WorkerCallResult =
  | {
      readonly kind: 'done';
      readonly clockMs: number;
      readonly bornAtMs?: number;
      readonly running?: readonly ListedRun[];
      readonly ended?: readonly ListedEnd[];
    }
  | { readonly kind: 'refused'; readonly reason: OrderRefusal; readonly clockMs?: number }
  /** Another instance answers at the address. */
  | { readonly kind: 'otherWorker' }
  /** Nothing listens at the worker's address. */
  | { readonly kind: 'notListening' }
  | { readonly kind: 'lost' };

/** Calls to the worker of an agent. */
export interface WorkerCallPort {
  readonly call: (
    worker: WorkerReport,
    call: WorkerCall,
    timeoutMs: number,
  ) => Promise<WorkerCallResult>;
}
