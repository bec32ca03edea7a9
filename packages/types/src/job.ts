import type { Resources } from './resources';

/** Whether work may evict other work in order to start soon. */
export type Urgency = 'urgent' | 'normal';

/** A submitted job, as the owner of its shard keeps it. */
export interface Job {
  readonly jobId: string;
  readonly team: string;
  /** Identifies the job within its team: a repeat with the same key is the same job. */
  readonly key: string;
  /** Class of work for which run times, sizes and interference are estimated. */
  readonly workKind: string;
  readonly role: 'batch' | 'watcher';
  readonly declared: Resources;
  readonly declaredRunMs: number;
  /** Wall-clock time. Watchers have no deadline. */
  readonly deadlineAtMs?: number;
  readonly submittedAtMs: number;
  readonly urgency: Urgency;
  readonly taskCount: number;
  readonly payload: string;
  readonly cancelled: boolean;
}

/** Identifies a task of a job. */
export interface TaskId {
  readonly jobId: string;
  readonly index: number;
}

/** Returns the text form of a task id, which is used as a key. */
export function taskKey(id: TaskId): string {
  return `${id.jobId}/${id.index}`;
}

/** Reason for which work is parked: it is not retried until an operator or caller acts. */
export type ParkReason =
  | { readonly kind: 'tooLarge'; readonly wanted: Resources }
  | { readonly kind: 'failsEverywhere'; readonly failures: number }
  | { readonly kind: 'overQuota'; readonly team: string };

/** State of a task in its table row. */
export type TaskState =
  | { readonly kind: 'pending'; readonly checkpointRef?: string }
  | {
      readonly kind: 'claimed';
      readonly worker: string;
      readonly claimToken: string;
      readonly checkpointRef?: string;
    }
  | { readonly kind: 'finished'; readonly resultRef: string }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'parked'; readonly reason: ParkReason };

/** Row value of a task. The epoch increases with every claim, so that late reports are detected. */
export interface TaskRow {
  readonly epoch: number;
  readonly state: TaskState;
}

/** Specification of a task that an agent runs. */
export interface TaskSpec {
  readonly id: TaskId;
  readonly team: string;
  readonly workKind: string;
  readonly role: 'batch' | 'watcher';
  readonly reserved: Resources;
  readonly payload: string;
  readonly checkpointRef?: string;
}
