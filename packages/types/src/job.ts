import type { Resources } from './resources';

/** How soon work has to start. */
export type Urgency = 'urgent' | 'normal';

/** What the owner of a shard knows of a submitted job. */
export interface Job {
  readonly jobId: string;
  readonly team: string;
  /** Same team and key: same job. */
  readonly key: string;
  /** Class of work for which run times, sizes and interference are learned. */
  readonly workKind: string;
  readonly role: 'batch' | 'watcher';
  readonly declared: Resources;
  readonly declaredRunMs: number;
  /** Wall-clock time; watchers have none. */
  readonly deadlineAtMs?: number;
  readonly submittedAtMs: number;
  readonly urgency: Urgency;
  readonly taskCount: number;
  readonly payload: string;
  readonly cancelled: boolean;
}

/** Names one task of a job. */
export interface TaskId {
  readonly jobId: string;
  readonly index: number;
}

/** Text form of a task id, used as a key. */
export function taskKey(id: TaskId): string {
  return `${id.jobId}/${id.index}`;
}

/** Why work is set aside and not tried again until an operator or caller acts. */
export type ParkReason =
  | { readonly kind: 'tooLarge'; readonly wanted: Resources }
  | { readonly kind: 'failsEverywhere'; readonly failures: number }
  | { readonly kind: 'overQuota'; readonly team: string };

/** State of a task as its row in the table says. */
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

/** Row value of a task. The epoch grows with every claim, so that a late report can be told apart. */
export interface TaskRow {
  readonly epoch: number;
  readonly state: TaskState;
}

/** What an agent needs to run a task. */
export interface TaskSpec {
  readonly id: TaskId;
  readonly team: string;
  readonly workKind: string;
  readonly role: 'batch' | 'watcher';
  readonly reserved: Resources;
  readonly payload: string;
  readonly checkpointRef?: string;
}
