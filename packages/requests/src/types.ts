import type { Map } from 'immutable';
import type { StoreEffect, StoreEvent } from '@bronzeyoke/ports';
import type { DeadlineQueue, RoutingState, UpstreamInfo } from '@bronzeyoke/routing';
import type {
  CallerRequest,
  NotRunReason,
  Outcome,
  Step,
  UnknownReason,
  UpstreamAnswer,
} from '@bronzeyoke/types';
import type { EntryMessage } from '@bronzeyoke/wire';
import type { RequestState } from './chart';
import type { IntentGroups } from './group';

/** An attempt at an agent that has not ended yet. */
export interface Attempt {
  readonly attemptId: string;
  /** Id of the request that made the attempt; another request's if the attempt was found in a row. */
  readonly requestId: string;
  readonly agentId: string;
  readonly sentAtMs: number;
  /** Wall-clock time at which an entry planned the attempt. */
  readonly plannedAtWallMs: number;
  /** Whether its latency counts for the upstream: sent by this entry and over one connection. */
  readonly isMeasured: boolean;
}

/** Value of `request/<key>`: the one attempt of a non-idempotent request that may run. */
export interface IntentRow {
  readonly requestId: string;
  readonly attemptId: string;
  readonly agentId: string;
  readonly fingerprint: string;
  readonly plannedAtWallMs: number;
}

/** The entry's view of the row of a non-idempotent request. */
export interface Intent {
  readonly key: string;
  readonly fingerprint: string;
  /** Version of the row that the next commit replaces; 0 if there is no row. */
  readonly version: number;
  /** Id of the pending store access; results of other accesses are late and ignored. */
  readonly callId: string;
  readonly callCount: number;
  /** Time of the first commit of the row for the planned attempt. */
  readonly committedAtMs: number;
  readonly commitCount: number;
}

/** The entry's record of a request in progress. */
export interface RequestRecord {
  readonly request: CallerRequest;
  readonly phase: RequestState;
  readonly deadlineAtMs: number;
  /** Number of attempts planned so far, from which attempt ids are built. */
  readonly plannedCount: number;
  readonly sentCount: number;
  /** Attempts that may still run or answer. */
  readonly attempts: readonly Attempt[];
  /** The attempt that is not sent until its row is stored. */
  readonly planned?: Attempt;
  /** Whether an attempt ended without proof that it did not run. */
  readonly mayHaveRun: boolean;
  readonly triedAgentIds: readonly string[];
  /** Set for non-idempotent requests. */
  readonly intent?: Intent;
}

/** Requests of one service that are queued until an upstream has room. */
export interface ServiceQueue {
  /** May contain requests that are no longer queued; they are skipped. */
  readonly byDeadline: DeadlineQueue;
  readonly waitingCount: number;
}

/** State of all requests and upstreams at an entry. */
export interface RequestsState {
  readonly routing: RoutingState;
  readonly isDraining: boolean;
  readonly records: Map<string, RequestRecord>;
  readonly queues: Map<string, ServiceQueue>;
  /** Ids of the requests that wait for an attempt of another request, by attempt id. */
  readonly collectors: Map<string, readonly string[]>;
  /** Disconnected agents whose return is awaited, with the time at which they were found missing. */
  readonly lostAtMs: Map<string, number>;
  readonly groups: IntentGroups;
  /** Wall-clock time at monotonic time 0. */
  readonly wallOffsetMs: number;
}

/** Timers of the requests and of routing. */
export type RequestsTimer =
  | { readonly kind: 'requestExpiry'; readonly requestId: string }
  | { readonly kind: 'requestHedge'; readonly requestId: string }
  | { readonly kind: 'agentReturn'; readonly agentId: string }
  | { readonly kind: 'intentFlush' }
  | { readonly kind: 'upstreamProbe'; readonly agentId: string };

/** Result of an attempt, as its agent reported it. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'notRun'; readonly reason: NotRunReason }
  | { readonly kind: 'neverArrived' }
  | { readonly kind: 'outcomeUnknown'; readonly reason: UnknownReason };

/** Events that concern requests and upstreams at an entry. */
export type RequestsEvent =
  | { readonly kind: 'started'; readonly wallOffsetMs: number }
  | { readonly kind: 'arrived'; readonly request: CallerRequest }
  | { readonly kind: 'upstreamUp'; readonly upstream: UpstreamInfo }
  | { readonly kind: 'upstreamLeaving'; readonly agentId: string }
  | { readonly kind: 'upstreamSuspect'; readonly agentId: string; readonly isSuspect: boolean }
  | { readonly kind: 'upstreamDown'; readonly agentId: string }
  | { readonly kind: 'domains'; readonly outDomains: readonly string[] }
  | {
      readonly kind: 'attemptEnded';
      readonly agentId: string;
      readonly requestId: string;
      readonly attemptId: string;
      readonly result: AttemptResult;
    }
  | StoreEvent
  | { readonly kind: 'timer'; readonly timer: RequestsTimer }
  | { readonly kind: 'drain' };

/** Effects of a decision about requests, which the shell performs. */
export type RequestsEffect =
  | { readonly kind: 'send'; readonly agentId: string; readonly message: EntryMessage }
  | { readonly kind: 'reply'; readonly requestId: string; readonly outcome: Outcome }
  | { readonly kind: 'wake'; readonly timer: RequestsTimer; readonly afterMs: number }
  | StoreEffect;

/** The state after an event, with its effects. */
export type RequestsStep = Step<RequestsState, RequestsEffect>;

/** An event of the request chart, with the data for its actions. */
export type RequestChartEvent =
  | { readonly kind: 'enqueue' }
  | { readonly kind: 'dispatch'; readonly agentId: string }
  | { readonly kind: 'record'; readonly agentId: string }
  | { readonly kind: 'stored'; readonly version: number }
  | { readonly kind: 'recommit' }
  | { readonly kind: 'readBack' }
  | { readonly kind: 'requeue'; readonly version: number }
  | { readonly kind: 'found'; readonly row: IntentRow; readonly version: number }
  | { readonly kind: 'reused' }
  | { readonly kind: 'hedge'; readonly agentId: string }
  | { readonly kind: 'answer'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'retry' }
  | { readonly kind: 'disconnect' }
  | { readonly kind: 'collect'; readonly agentId: string }
  | { readonly kind: 'refuse'; readonly reason: NotRunReason }
  | { readonly kind: 'giveUp'; readonly reason: UnknownReason };
