import type { Map } from 'immutable';
import type { HealthState } from './chart';

/** Properties of an upstream, as announced by its agent. */
export interface UpstreamInfo {
  readonly agentId: string;
  readonly service: string;
  readonly domain: string;
  readonly slots: number;
  readonly connections: number;
}

/** State of the connection to an agent. A suspect one was pinged and has not replied yet. */
export type Presence = 'present' | 'suspect' | 'absent';

/** An entry's view of an upstream. */
export interface UpstreamView {
  readonly info: UpstreamInfo;
  readonly presence: Presence;
  readonly isLeaving: boolean;
  readonly health: HealthState;
  readonly probeDelayMs: number;
  readonly consecutiveFailures: number;
  /** Moving average of the latency. */
  readonly latencyMs: number;
  readonly sampleCount: number;
  /** Lowest moving average, which rises slowly with each sample. */
  readonly floorMs: number;
  /** Attempts that may be in flight at once. */
  readonly limit: number;
  readonly limitLoweredAtMs: number;
}

/** The upstreams of one service. Candidate lists are recomputed only when an upstream changes. */
export interface Pool {
  readonly memberIds: readonly string[];
  /** Candidates in the failure domain of the entry. */
  readonly localIds: readonly string[];
  /** Candidates in other failure domains. */
  readonly remoteIds: readonly string[];
  /** Ejected upstreams that are due for a probe. */
  readonly readyIds: readonly string[];
  readonly slots: number;
  /** Members that are neither leaving nor in a failure domain that is out. */
  readonly eligibleCount: number;
  readonly ejectedCount: number;
  /** Set when no candidate has room; cleared when an attempt ends or a candidate is added. */
  readonly isFull: boolean;
  /** Upstreams with the latest ended attempts, newest first; they are likely to have room. */
  readonly recentIds: readonly string[];
  /** Latencies since the quantiles were last computed. */
  readonly latencyWindowMs: readonly number[];
  readonly p95Ms?: number;
  /** Median of the moving averages of the upstreams. */
  readonly medianMs?: number;
  /** Retries and hedges that may be sent now. */
  readonly retryTokens: number;
}

/** An entry's view of all upstreams. */
export interface RoutingState {
  readonly localDomain: string;
  /** Failure domains that operators have taken out. */
  readonly outDomains: readonly string[];
  readonly upstreams: Map<string, UpstreamView>;
  /** Attempts planned or sent that have not ended, by agent; agents without any are left out. */
  readonly inFlight: Map<string, number>;
  readonly pools: Map<string, Pool>;
}

/** Result of an attempt, as far as it concerns the upstream. */
export type AttemptEnd =
  | { readonly kind: 'answered'; readonly latencyMs: number; readonly isFailure: boolean }
  /** The agent could not get an answer from the upstream. */
  | { readonly kind: 'failed' }
  | { readonly kind: 'timedOut' }
  /** The agent had no room. */
  | { readonly kind: 'refused' }
  /** Another attempt of the request answered first, or the request ended. */
  | { readonly kind: 'abandoned'; readonly elapsedMs: number }
  /** Nothing was sent, or the result says nothing about the upstream. */
  | { readonly kind: 'released' };

/** An effect of routing, which the shell performs. */
export interface RoutingEffect {
  readonly kind: 'probeLater';
  readonly agentId: string;
  readonly afterMs: number;
}
