import type { Map, OrderedMap } from 'immutable';
import type { Headers, NotRunReason, UnknownReason, UpstreamAnswer } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import type { AttemptState } from './chart';

/** An attempt of a request as it came from an entry. */
export interface Attempt {
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

/** What the agent remembers of an attempt. */
export interface AttemptRecord {
  readonly attempt: Attempt;
  readonly phase: AttemptState;
  readonly deadlineAtMs: number;
  /** Links that want to hear how the attempt ends. */
  readonly waiters: readonly string[];
  readonly answer?: UpstreamAnswer;
  readonly notRunReason?: NotRunReason;
  readonly unknownReason?: UnknownReason;
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
}

/** What happens to the requests at one upstream. */
export type AdmissionEvent =
  | { readonly kind: 'request'; readonly linkId: string; readonly attempt: Attempt }
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

/** What the shell has to do for the requests. */
export type AdmissionEffect =
  | { readonly kind: 'send'; readonly linkId: string; readonly message: AgentMessage }
  | { readonly kind: 'callUpstream'; readonly attempt: Attempt; readonly timeoutMs: number }
  | { readonly kind: 'expireLater'; readonly attemptId: string; readonly afterMs: number };
