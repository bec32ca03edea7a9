import type { TaskId } from '@bronzeyoke/types';
import type { RunningTask, StartCommand, UsageSample, WorkerNotice, WorkerResult } from './worker';

/** A command to the worker that the core of an agent decides on and its shell sends. */
export type WorkerCommand =
  | { readonly kind: 'attach' }
  | { readonly kind: 'start'; readonly command: StartCommand }
  | { readonly kind: 'renew'; readonly ids: readonly TaskId[]; readonly leaseMs: number }
  | { readonly kind: 'checkpoint'; readonly id: TaskId }
  | { readonly kind: 'throttle'; readonly id: TaskId; readonly share: number }
  | { readonly kind: 'stop'; readonly id: TaskId }
  | { readonly kind: 'usage' }
  | { readonly kind: 'notices' };

/** Effect that sends a command to the worker in the name of an incarnation of the agent. */
export interface WorkerEffect {
  readonly kind: 'worker';
  readonly callId: string;
  readonly incarnation: number;
  readonly command: WorkerCommand;
}

/** Reply to a command, tagged with the kind of the command. */
export type WorkerReply =
  | { readonly kind: 'attach'; readonly result: WorkerResult<readonly RunningTask[]> }
  | { readonly kind: 'start'; readonly result: WorkerResult<void> }
  | { readonly kind: 'renew'; readonly result: WorkerResult<void> }
  | { readonly kind: 'checkpoint'; readonly result: WorkerResult<string> }
  | { readonly kind: 'throttle'; readonly result: WorkerResult<void> }
  | { readonly kind: 'stop'; readonly result: WorkerResult<void> }
  | { readonly kind: 'usage'; readonly result: WorkerResult<readonly UsageSample[]> }
  | { readonly kind: 'notices'; readonly result: WorkerResult<readonly WorkerNotice[]> };

/** Event that reports the reply to a command. */
export interface WorkerEvent {
  readonly kind: 'workerDone';
  readonly callId: string;
  readonly reply: WorkerReply;
}
