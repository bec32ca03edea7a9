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

/** An attempt at an agent that has not ended. */
export interface Attempt {
  readonly attemptId: string;
  /** The request that the attempt was made for; another one's when the attempt was found in a row. */
  readonly requestId: string;
  readonly agentId: string;
  readonly sentAtMs: number;
  /** Wall-clock time at which an entry planned it. */
  readonly plannedAtWallMs: number;
  /** Whether its latency says something of the upstream: sent from here, over one connection. */
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

/** What the entry knows of the row of a non-idempotent request. */
export interface Intent {
  readonly key: string;
  readonly fingerprint: string;
  /** Version of the row that the next commit replaces; 0 when there is no row. */
  readonly version: number;
  /** Store access that is awaited; results of others are late and ignored. */
  readonly callId: string;
  readonly callCount: number;
  /** When the row of the planned attempt was first committed. */
  readonly committedAtMs: number;
  readonly commitCount: number;
}

/** What the entry remembers of a request in progress. */
export interface RequestRecord {
  readonly request: CallerRequest;
  readonly phase: RequestState;
  readonly deadlineAtMs: number;
  /** Attempts planned so far; makes attempt ids. */
  readonly plannedCount: number;
  readonly sentCount: number;
  /** Attempts that may still run or answer. */
  readonly attempts: readonly Attempt[];
  /** The attempt that waits for its row; it has not been sent. */
  readonly planned?: Attempt;
  /** Whether an attempt ended without proof that it did not run. */
  readonly mayHaveRun: boolean;
  readonly triedAgentIds: readonly string[];
  /** Set for non-idempotent requests. */
  readonly intent?: Intent;
}

/** Requests of one service that wait for an upstream with room. */
export interface ServiceQueue {
  /** May still name requests that no longer wait; they are skipped. */
  readonly byDeadline: DeadlineQueue;
  readonly waitingCount: number;
}

/** State of all requests at an entry. */
export interface RequestsState {
  readonly routing: RoutingState;
  readonly isDraining: boolean;
  readonly records: Map<string, RequestRecord>;
  readonly queues: Map<string, ServiceQueue>;
  /** Requests that wait for an attempt of another request, by attempt. */
  readonly collectors: Map<string, readonly string[]>;
  /** Agents that are awaited back, with the time at which they were missed. */
  readonly lostAtMs: Map<string, number>;
  readonly groups: IntentGroups;
  /** Wall-clock time at monotonic time 0. */
  readonly wallOffsetMs: number;
}

/** Timers of requests and routing. */
export type RequestsTimer =
  | { readonly kind: 'requestExpiry'; readonly requestId: string }
  | { readonly kind: 'requestHedge'; readonly requestId: string }
  | { readonly kind: 'agentReturn'; readonly agentId: string }
  | { readonly kind: 'intentFlush' }
  | { readonly kind: 'upstreamProbe'; readonly agentId: string };

/** How an attempt ended at its agent. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'notRun'; readonly reason: NotRunReason }
  | { readonly kind: 'neverArrived' }
  | { readonly kind: 'outcomeUnknown'; readonly reason: UnknownReason };

/** What happens to requests and upstreams at an entry. */
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

/** What the shell has to do for the requests. */
export type RequestsEffect =
  | { readonly kind: 'send'; readonly agentId: string; readonly message: EntryMessage }
  | { readonly kind: 'reply'; readonly requestId: string; readonly outcome: Outcome }
  | { readonly kind: 'wake'; readonly timer: RequestsTimer; readonly afterMs: number }
  | StoreEffect;

/** A decision about requests. */
export type RequestsStep = Step<RequestsState, RequestsEffect>;

/** An event of the chart of a request, with what the actions need. */
export type ChartEvent =
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
