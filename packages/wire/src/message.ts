import type { TaskEnd } from '@bronzeyoke/ports';
import type {
  AgentProfile,
  Configuration,
  Headers,
  NotRunReason,
  Resources,
  SlowDown,
  TaskId,
  TaskSpec,
  UnknownReason,
} from '@bronzeyoke/types';

/** Major version of the protocol between entries and agents. Peers with another one are refused. */
export const PROTOCOL_VERSION = 1;

/** Reason for which an agent declines an offer. */
export type DeclineReason =
  | 'noRoom'
  /** Tasks are being evicted for this one. The agent reserves the space for a repeated offer. */
  | 'makingRoom'
  | 'domainOut'
  | 'draining'
  | 'notRegistered'
  | 'tooLate';

/** Report of a change of a task on a worker. */
export type TaskReport =
  | { readonly kind: 'started' }
  | { readonly kind: 'checkpointed'; readonly checkpointRef: string }
  /** The task has ended by itself. */
  | Exclude<TaskEnd, { readonly kind: 'leaseExpired' }>
  | { readonly kind: 'evicted'; readonly checkpointRef?: string }
  | { readonly kind: 'notStarted' }
  | { readonly kind: 'stopped' };

/** Messages from an agent to an entry. */
export type AgentMessage =
  | {
      readonly kind: 'hello';
      readonly version: number;
      readonly profile: AgentProfile;
      readonly incarnation: number;
    }
  | {
      readonly kind: 'beat';
      readonly free: Resources;
      readonly slotsInUse: number;
      readonly slowDowns: readonly SlowDown[];
    }
  | { readonly kind: 'draining' }
  | {
      readonly kind: 'answer';
      readonly requestId: string;
      readonly attemptId: string;
      readonly status: number;
      readonly headers: Headers;
      readonly body: Uint8Array;
      readonly slotsInUse: number;
    }
  | {
      readonly kind: 'notRun';
      readonly requestId: string;
      readonly attemptId: string;
      readonly reason: NotRunReason;
    }
  | {
      readonly kind: 'outcomeUnknown';
      readonly requestId: string;
      readonly attemptId: string;
      readonly reason: UnknownReason;
    }
  | { readonly kind: 'unknownRequest'; readonly requestId: string; readonly attemptId: string }
  | { readonly kind: 'progress'; readonly requestId: string; readonly attemptId: string }
  | { readonly kind: 'accepted'; readonly offerId: string; readonly free: Resources }
  | {
      readonly kind: 'declined';
      readonly offerId: string;
      readonly reason: DeclineReason;
      readonly free: Resources;
    }
  | {
      readonly kind: 'taskReport';
      readonly id: TaskId;
      readonly epoch: number;
      readonly report: TaskReport;
    }
  | {
      readonly kind: 'registerWorker';
      readonly worker: string;
      readonly agentId: string;
      readonly token: string;
    }
  | {
      readonly kind: 'renewWorker';
      readonly worker: string;
      readonly incarnation: number;
      readonly token: string;
    }
  | { readonly kind: 'inForce'; readonly number: number }
  | { readonly kind: 'pong'; readonly sequence: number };

/** Messages from an entry to an agent. */
export type EntryMessage =
  | {
      readonly kind: 'welcome';
      readonly version: number;
      readonly entryId: string;
      readonly beatIntervalMs: number;
    }
  | {
      readonly kind: 'request';
      readonly requestId: string;
      readonly attemptId: string;
      readonly idempotencyKey?: string | undefined;
      readonly method: string;
      readonly path: string;
      readonly headers: Headers;
      readonly body: Uint8Array;
      readonly timeoutMs: number;
      readonly traceparent?: string | undefined;
    }
  | { readonly kind: 'cancelRequest'; readonly requestId: string; readonly attemptId: string }
  | { readonly kind: 'collect'; readonly requestId: string; readonly attemptId: string }
  | {
      readonly kind: 'offer';
      readonly offerId: string;
      readonly epoch: number;
      readonly task: TaskSpec;
      /** Whether the agent may evict other tasks for this one, which is urgent. */
      readonly preempts?: boolean | undefined;
      /** Time for which the task can wait. A task without it is not evicted for urgent work. */
      readonly spareMs?: number | undefined;
    }
  | { readonly kind: 'claimed'; readonly offerId: string }
  | { readonly kind: 'claimFailed'; readonly offerId: string }
  | {
      readonly kind: 'stopTask';
      readonly id: TaskId;
      readonly epoch: number;
      readonly mode: 'cancel' | 'evict';
    }
  /**
   * Queries a claimed task after its owner has changed. The agent repeats its last report of the task.
   * For an unknown task and epoch it answers `notStarted`, and never starts them from then on.
   */
  | { readonly kind: 'askTask'; readonly id: TaskId; readonly epoch: number }
  | { readonly kind: 'recorded'; readonly id: TaskId; readonly epoch: number }
  | { readonly kind: 'workerRegistered'; readonly token: string; readonly incarnation: number }
  | { readonly kind: 'workerRenewed'; readonly token: string }
  | { readonly kind: 'workerFenced'; readonly incarnation: number }
  | { readonly kind: 'config'; readonly configuration: Configuration }
  | { readonly kind: 'ping'; readonly sequence: number };
