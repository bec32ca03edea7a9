import type { Map, OrderedMap } from 'immutable';
import type {
  CallerRequest,
  NotRunReason,
  Outcome,
  UnknownReason,
  UpstreamAnswer,
} from '@bronzeyoke/types';
import type { RoutingState, UpstreamInfo } from '@bronzeyoke/routing';
import type { EntryMessage } from '@bronzeyoke/wire';
import type { RequestState } from './chart';

/** An attempt that was sent to an agent and has not ended. */
export interface SentAttempt {
  readonly attemptId: string;
  readonly agentId: string;
  readonly sentAtMs: number;
}

/** Row value that says where a non-idempotent request may have run. */
export interface Intent {
  readonly requestId: string;
  readonly attemptId: string;
  readonly agentId: string;
}

/** What the entry remembers of a request in progress. */
export interface RequestRecord {
  readonly request: CallerRequest;
  readonly phase: RequestState;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly attemptCount: number;
  readonly attempts: readonly SentAttempt[];
  readonly intent?: Intent;
}

/** State of all requests at an entry. */
export interface RequestsState {
  readonly routing: RoutingState;
  readonly isDraining: boolean;
  readonly records: Map<string, RequestRecord>;
  /** Requests that wait for an upstream with room, in order of arrival. */
  readonly queue: OrderedMap<string, true>;
}

/** What happens to requests and upstreams at an entry. */
export type RequestsEvent =
  | { readonly kind: 'arrived'; readonly request: CallerRequest }
  | { readonly kind: 'upstreamUp'; readonly upstream: UpstreamInfo }
  | { readonly kind: 'upstreamLeaving'; readonly agentId: string }
  | { readonly kind: 'upstreamDown'; readonly agentId: string }
  | {
      readonly kind: 'answered';
      readonly requestId: string;
      readonly attemptId: string;
      readonly answer: UpstreamAnswer;
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
  | { readonly kind: 'intentStored'; readonly requestId: string }
  | { readonly kind: 'intentFound'; readonly requestId: string; readonly intent: Intent }
  | { readonly kind: 'intentFailed'; readonly requestId: string }
  | { readonly kind: 'expire'; readonly requestId: string }
  | { readonly kind: 'drain' };

/** What the shell has to do for the requests. */
export type RequestsEffect =
  | { readonly kind: 'send'; readonly agentId: string; readonly message: EntryMessage }
  | { readonly kind: 'reply'; readonly requestId: string; readonly outcome: Outcome }
  | { readonly kind: 'storeIntent'; readonly key: string; readonly intent: Intent }
  | { readonly kind: 'expireLater'; readonly requestId: string; readonly afterMs: number };
