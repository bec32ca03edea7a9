import type { Map } from 'immutable';
import type { HealthState } from './chart';

/** An upstream as its agent announced it. */
export interface UpstreamInfo {
  readonly agentId: string;
  readonly service: string;
  readonly domain: string;
  readonly slots: number;
  readonly connections: number;
}

/** State of the connection to an agent. A suspect one was pinged and has not replied yet. */
export type Presence = 'present' | 'suspect' | 'absent';

/** What an entry knows of an upstream. */
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
  /** Lowest moving average, which drifts upwards slowly. */
  readonly floorMs: number;
  /** Attempts that may be in flight at once. */
  readonly limit: number;
  readonly limitLoweredAtMs: number;
}

/** The upstreams of one service. The lists of candidates change only when an upstream changes. */
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
  /** Set when no candidate had room; cleared when an attempt ends or a candidate is added. */
  readonly isFull: boolean;
  /** Upstreams where an attempt ended last, newest first; they are likely to have room. */
  readonly recentIds: readonly string[];
  /** Latencies since the quantiles were last computed. */
  readonly latencyWindowMs: readonly number[];
  readonly p95Ms?: number;
  /** Median over the upstreams of their moving averages. */
  readonly medianMs?: number;
  /** Retries and hedges that may be sent now. */
  readonly retryTokens: number;
}

/** What an entry knows of all upstreams. */
export interface RoutingState {
  readonly localDomain: string;
  /** Failure domains that operators have taken out. */
  readonly outDomains: readonly string[];
  readonly upstreams: Map<string, UpstreamView>;
  /** Attempts planned or sent that have not ended, by agent; agents without any are left out. */
  readonly inFlight: Map<string, number>;
  readonly pools: Map<string, Pool>;
}

/** How an attempt ended, as far as it concerns the upstream. */
export type AttemptEnd =
  | { readonly kind: 'answered'; readonly latencyMs: number; readonly isFailure: boolean }
  /** The agent could not get an answer from the upstream. */
  | { readonly kind: 'failed' }
  | { readonly kind: 'timedOut' }
  /** The agent had no room. */
  | { readonly kind: 'refused' }
  /** Another attempt of the request answered first, or the request ended. */
  | { readonly kind: 'abandoned'; readonly elapsedMs: number }
  /** Nothing was sent, or nothing was learned. */
  | { readonly kind: 'released' };

/** What the shell has to do for routing. */
export interface RoutingEffect {
  readonly kind: 'probeLater';
  readonly agentId: string;
  readonly afterMs: number;
}
