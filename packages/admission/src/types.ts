import type { Map, OrderedMap } from 'immutable';
import type { NotRunReason, UnknownReason, UpstreamAnswer } from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage } from '@bronzeyoke/wire';
import type { AttemptState } from './chart';

/** An attempt of a request as received from an entry. */
export type ReceivedAttempt = Omit<Extract<EntryMessage, { kind: 'request' }>, 'kind'>;

/** A link to be sent the result of an attempt, with the ids of that message. */
export interface Waiter {
  readonly linkId: string;
  readonly requestId: string;
  readonly attemptId: string;
}

/** Record of an attempt at the agent. Its body and headers are dropped when it has ended. */
export interface AttemptRecord {
  readonly attempt: ReceivedAttempt;
  readonly phase: AttemptState;
  readonly deadlineAtMs: number;
  readonly waiters: readonly Waiter[];
  /** Time at which it was sent to the upstream. */
  readonly startedAtMs?: number;
  readonly answer?: UpstreamAnswer;
  readonly notRunReason?: NotRunReason;
  readonly unknownReason?: UnknownReason;
}

/**
 * Record of an attempt that is kept for longer than its answer, so that a non-idempotent request runs
 * at most once: the attempt ran, must never run, or joined another one of the same key.
 */
export type PastAttempt =
  | { readonly kind: 'ran'; readonly atMs: number; readonly key: string }
  | { readonly kind: 'blocked'; readonly atMs: number }
  | { readonly kind: 'joined'; readonly atMs: number; readonly attemptId: string };

/** History of non-idempotent attempts. */
export interface AttemptHistory {
  readonly attempts: OrderedMap<string, PastAttempt>;
  /** The attempt that holds a key, by key: it is queued, runs or ran. */
  readonly keyHolders: Map<string, string>;
  /** Until this time an attempt that is not in the history may have run. */
  readonly incompleteUntilMs: number;
}

/** State of the requests at one upstream. */
export interface AdmissionState {
  readonly slots: number;
  readonly connections: number;
  readonly draining: boolean;
  readonly records: Map<string, AttemptRecord>;
  /** Attempts that wait for a slot, oldest first. */
  readonly queue: OrderedMap<string, true>;
  readonly runningCount: number;
  /** Ended attempts in the order of their end, for bounded retention. */
  readonly ended: OrderedMap<string, number>;
  readonly endedBytes: number;
  /** Refused attempts in the order of refusal. A flood of them does not displace answers. */
  readonly refused: OrderedMap<string, number>;
  readonly history: AttemptHistory;
}

/** Events of the requests at one upstream. */
export type AdmissionEvent =
  | { readonly kind: 'request'; readonly linkId: string; readonly attempt: ReceivedAttempt }
  | {
      readonly kind: 'collect';
      readonly linkId: string;
      readonly requestId: string;
      readonly attemptId: string;
    }
  | { readonly kind: 'cancel'; readonly attemptId: string }
  | { readonly kind: 'answered'; readonly attemptId: string; readonly answer: UpstreamAnswer }
  | { readonly kind: 'notReached'; readonly attemptId: string }
  | { readonly kind: 'lost'; readonly attemptId: string; readonly reason: UnknownReason }
  | { readonly kind: 'expire'; readonly attemptId: string }
  | { readonly kind: 'linkClosed'; readonly linkId: string }
  | { readonly kind: 'drain' };

/** Effects of the requests, for the shell to perform. */
export type AdmissionEffect =
  | { readonly kind: 'send'; readonly linkId: string; readonly message: AgentMessage }
  | { readonly kind: 'callUpstream'; readonly attempt: ReceivedAttempt; readonly timeoutMs: number }
  | { readonly kind: 'expireLater'; readonly attemptId: string; readonly afterMs: number };
