import type { Resources, TaskId, TaskSpec } from '@bronzeyoke/types';

/** A task that is running on the worker. */
export interface RunningTask {
  readonly id: TaskId;
  readonly epoch: number;
  /** Specification at the start, with which a new agent reserves the resources again. */
  readonly task: TaskSpec;
}

/** Resource usage of a task, as the worker measured it some time before. */
export interface UsageSample {
  readonly id: TaskId;
  readonly workKind: string;
  readonly used: Resources;
  /** Age of the sample at its delivery. */
  readonly lagMs: number;
}

/** Result of a command to the worker. */
export type WorkerResult<Value> =
  | { readonly kind: 'done'; readonly value: Value }
  | { readonly kind: 'fenced'; readonly incarnation: number }
  | {
      readonly kind: 'refused';
      readonly problem: 'unknownTask' | 'tooLate' | 'alreadyRunning' | 'noRoom';
    }
  | { readonly kind: 'unavailable' };

/** End of a task that no command stopped. */
export type TaskEnd =
  | {
      readonly kind: 'finished';
      readonly resultRef: string;
      readonly runMs: number;
      readonly peak: Resources;
    }
  | { readonly kind: 'failed'; readonly checkpointRef?: string; readonly peak: Resources }
  | { readonly kind: 'leaseExpired'; readonly checkpointRef?: string };

/** Notification from the worker to the agent that a task has ended. */
export interface WorkerNotice {
  readonly kind: 'ended';
  readonly id: TaskId;
  readonly epoch: number;
  readonly end: TaskEnd;
}

/** Command to start a task. The worker drops it if it cannot act within `startWithinMs`. */
export interface StartCommand {
  readonly task: TaskSpec;
  readonly epoch: number;
  readonly leaseMs: number;
  readonly startWithinMs: number;
}

/** Commands to the worker, which refuses incarnations below the highest that it has seen. */
export interface WorkerPort {
  readonly attach: (incarnation: number) => Promise<WorkerResult<readonly RunningTask[]>>;
  readonly start: (incarnation: number, command: StartCommand) => Promise<WorkerResult<void>>;
  readonly renew: (
    incarnation: number,
    ids: readonly TaskId[],
    leaseMs: number,
  ) => Promise<WorkerResult<void>>;
  readonly checkpoint: (incarnation: number, id: TaskId) => Promise<WorkerResult<string>>;
  readonly throttle: (
    incarnation: number,
    id: TaskId,
    share: number,
  ) => Promise<WorkerResult<void>>;
  readonly stop: (incarnation: number, id: TaskId) => Promise<WorkerResult<void>>;
  readonly usage: (incarnation: number) => Promise<WorkerResult<readonly UsageSample[]>>;
  /** Returns the notices since the last call. */
  readonly notices: (incarnation: number) => Promise<WorkerResult<readonly WorkerNotice[]>>;
}
