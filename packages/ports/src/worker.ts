import type { Resources, TaskId, TaskSpec } from '@bronzeyoke/types';

/** A task that the worker runs. */
export interface RunningTask {
  readonly id: TaskId;
  readonly epoch: number;
  /** As it was started, so that a new agent can commit its resources again. */
  readonly task: TaskSpec;
}

/** What the worker reports of a task, some time after it was so. */
export interface UsageSample {
  readonly id: TaskId;
  readonly workKind: string;
  readonly used: Resources;
  /** Age of the sample when it was delivered. */
  readonly lagMs: number;
}

/** How a command to the worker ended. */
export type WorkerResult<Value> =
  | { readonly kind: 'done'; readonly value: Value }
  | { readonly kind: 'fenced'; readonly incarnation: number }
  | {
      readonly kind: 'refused';
      readonly problem: 'unknownTask' | 'tooLate' | 'alreadyRunning' | 'noRoom';
    }
  | { readonly kind: 'unavailable' };

/** How a task ended on its own. */
export type TaskEnd =
  | {
      readonly kind: 'finished';
      readonly resultRef: string;
      readonly runMs: number;
      readonly peak: Resources;
    }
  | { readonly kind: 'failed'; readonly checkpointRef?: string; readonly peak: Resources }
  | { readonly kind: 'leaseExpired'; readonly checkpointRef?: string };

/** What the worker tells the agent unasked. */
export interface WorkerNotice {
  readonly kind: 'ended';
  readonly id: TaskId;
  readonly epoch: number;
  readonly end: TaskEnd;
}

/** Starts a task; the worker drops the command when `startWithinMs` have passed before it acts. */
export interface StartCommand {
  readonly task: TaskSpec;
  readonly epoch: number;
  readonly leaseMs: number;
  readonly startWithinMs: number;
}

/** The machine beside the agent. It refuses any incarnation below the highest that it has seen. */
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
  /** Takes the notices since the last call. */
  readonly notices: (incarnation: number) => Promise<WorkerResult<readonly WorkerNotice[]>>;
}
