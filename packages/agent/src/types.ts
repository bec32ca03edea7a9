import type { AdmissionState, ReceivedAttempt } from '@bronzeyoke/admission';
import type { InterferenceState } from '@bronzeyoke/interference';
import type { LifecycleState } from '@bronzeyoke/lifecycle';
import type { WorkerEffect, WorkerEvent } from '@bronzeyoke/ports';
import type { TasksState } from '@bronzeyoke/tasks';
import type { AgentProfile, Failure, Step, UnknownReason, UpstreamAnswer } from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage } from '@bronzeyoke/wire';

/** Timers of an agent. */
export type AgentTimer =
  | { readonly kind: 'attemptExpiry'; readonly attemptId: string }
  | { readonly kind: 'beat' }
  | { readonly kind: 'tasks' }
  | { readonly kind: 'stopTimeout' };

/** State of an agent. */
export interface AgentState {
  readonly profile: AgentProfile;
  readonly lifecycle: LifecycleState;
  readonly links: readonly string[];
  readonly beatIntervalMs: number;
  readonly admission: AdmissionState;
  readonly tasks: TasksState;
  readonly interference: InterferenceState;
  /** Cause of a stop that was not planned. */
  readonly failure?: Failure;
}

/** Events of an agent. */
export type AgentEvent =
  | { readonly kind: 'started' }
  | { readonly kind: 'linkOpened'; readonly linkId: string }
  | { readonly kind: 'linkClosed'; readonly linkId: string }
  | { readonly kind: 'received'; readonly linkId: string; readonly message: EntryMessage }
  | {
      readonly kind: 'upstreamAnswered';
      readonly attemptId: string;
      readonly answer: UpstreamAnswer;
    }
  | { readonly kind: 'upstreamNotReached'; readonly attemptId: string }
  | {
      readonly kind: 'upstreamLost';
      readonly attemptId: string;
      readonly reason: UnknownReason;
    }
  | WorkerEvent
  | { readonly kind: 'timer'; readonly timer: AgentTimer }
  | { readonly kind: 'stop' };

/** Effects of an agent, for its shell to perform. */
export type AgentEffect =
  | { readonly kind: 'send'; readonly linkId: string; readonly message: AgentMessage }
  | { readonly kind: 'callUpstream'; readonly attempt: ReceivedAttempt; readonly timeoutMs: number }
  | WorkerEffect
  | { readonly kind: 'wake'; readonly timer: AgentTimer; readonly afterMs: number }
  | { readonly kind: 'exit'; readonly failure?: Failure };

/** State of an agent after an event, with the effects of the event. */
export type AgentStep = Step<AgentState, AgentEffect>;
