import type { Resources } from '@bronzeyoke/types';
import type { RunEnd } from '@bronzeyoke/workflow';

/** One life of a worker, from what it last said of itself. */
export interface WorkerReport {
  readonly id: string;
  readonly address: string;
  /** Unix milliseconds of the start of this life; a later life under the same id has a later one. */
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

/** Key of one life of a worker. */
export function workerKeyOf(worker: { readonly id: string; readonly bornAtMs: number }): string {
  return `${worker.id}@${worker.bornAtMs}`;
}

/** A run that a worker lists as running. */
export interface ListedRun {
  readonly task: string;
  readonly attempt: number;
  readonly checkpoint: string;
  /** Progress, or for a lasting task 100 when it is at work. */
  readonly percent: number;
  /** Tail latency in ms of a task with a latency target, else processors in use (milli). */
  readonly load: number;
}

/** A run that a worker lists as ended, until the end is acknowledged. */
export interface ListedEnd {
  readonly sequence: number;
  readonly task: string;
  readonly attempt: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** What an order for a worker needs to be accepted. */
export interface RunOrder {
  readonly task: string;
  readonly attempt: number;
  readonly fencingToken: number;
}

/** A call to the worker beside an agent. */
export type WorkerCall =
  | ({
      readonly kind: 'start';
      readonly payload: string;
      /** End of the lease of everything on the worker, on its own clock. */
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

/** Why a worker refused an order. */
export type OrderRefusal =
  'fenced' | 'superseded' | 'tooLate' | 'noRoom' | 'ticket' | 'invalid' | 'busy';

/** How a call ended. After `lost` the worker may have done it, or may do it later. */
export type WorkerCallResult =
  | {
      readonly kind: 'done';
      readonly clockMs: number;
      readonly bornAtMs?: number;
      readonly running?: readonly ListedRun[];
      readonly ended?: readonly ListedEnd[];
    }
  | { readonly kind: 'refused'; readonly reason: OrderRefusal; readonly clockMs?: number }
  /** The worker that was meant no longer answers at its address. */
  | { readonly kind: 'otherWorker' }
  /** Nothing listens at the worker's address. */
  | { readonly kind: 'notListening' }
  | { readonly kind: 'lost' };

/** The worker beside an agent. */
export interface WorkerCallPort {
  readonly call: (
    worker: WorkerReport,
    call: WorkerCall,
    timeoutMs: number,
  ) => Promise<WorkerCallResult>;
}
