import { advance } from '@bronzeyoke/chart';
import type { Step } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import type { HealthAction } from './chart';
import { healthChart } from './chart';
import { adaptLimit, recordLatency } from './limit';
import { FIRST_PROBE_DELAY_MS, inFlightAt, poolOf, replaceUpstream, setPool } from './state';
import type { AttemptEnd, Pool, RoutingEffect, RoutingState, UpstreamView } from './types';

const MAX_PROBE_MS = 30_000;
const MAX_CONSECUTIVE_FAILURES = 5;
const OUTLIER_LATENCY_FACTOR = 4;

/** Samples that an upstream needs before its latency is compared with that of the others. */
const MIN_OUTLIER_SAMPLES = 10;

/** Number of latencies from which the quantiles of a service are computed. */
const LATENCY_WINDOW_SIZE = 64;

/** Upstreams with room that are kept in a list, which saves a search of a busy pool. */
const MAX_RECENT_IDS = 8;

type RoutingStep = Step<RoutingState, RoutingEffect>;
type HealthEvent = 'eject' | 'due' | 'send' | 'pass' | 'fail' | 'release';

function performAction(view: UpstreamView, action: HealthAction): UpstreamView {
  switch (action) {
    case 'scheduleProbe':
      return view;
    case 'doubleDelay':
      return { ...view, probeDelayMs: Math.min(MAX_PROBE_MS, view.probeDelayMs * 2) };
    case 'resetDelay':
      return { ...view, probeDelayMs: FIRST_PROBE_DELAY_MS, consecutiveFailures: 0 };
    default:
      return assertNever(action);
  }
}

function advanceHealth(state: RoutingState, view: UpstreamView, event: HealthEvent): RoutingStep {
  const next = advance(healthChart, view.health, event);
  if (next.state === view.health) return unchanged(state);
  const changed = next.actions.reduce(performAction, { ...view, health: next.state });
  const probeLater: RoutingEffect = {
    kind: 'probeLater',
    agentId: view.info.agentId,
    afterMs: changed.probeDelayMs,
  };
  return {
    state: replaceUpstream(state, changed),
    effects: next.actions.includes('scheduleProbe') ? [probeLater] : [],
  };
}

/** Allows one request to an ejected upstream after its probe delay. */
export function allowProbe(state: RoutingState, agentId: string): RoutingState {
  const view = state.upstreams.get(agentId);
  return view === undefined ? state : advanceHealth(state, view, 'due').state;
}

/** Counts an attempt that was planned or sent as in flight at its agent. */
export function countSent(state: RoutingState, agentId: string): RoutingState {
  const counted = {
    ...state,
    inFlight: state.inFlight.set(agentId, inFlightAt(state, agentId) + 1),
  };
  const view = state.upstreams.get(agentId);
  if (view === undefined) return counted;
  return advanceHealth(counted, view, 'send').state;
}

function isFailure(end: AttemptEnd): boolean {
  return (
    end.kind === 'failed' || end.kind === 'timedOut' || (end.kind === 'answered' && end.isFailure)
  );
}

function recordEnd(before: UpstreamView, end: AttemptEnd): UpstreamView {
  // A probe resets the average, since the old one would eject the upstream again at once.
  const view = before.health === 'probing' ? { ...before, sampleCount: 0 } : before;
  switch (end.kind) {
    case 'answered':
      // Failures are fast; counting their latency would attract requests to the upstream.
      return end.isFailure
        ? view
        : recordLatency({ ...view, consecutiveFailures: 0 }, end.latencyMs);
    case 'abandoned':
      // The latency is at least this long; without this sample a slow upstream would look fast.
      return end.elapsedMs > view.latencyMs ? recordLatency(view, end.elapsedMs) : view;
    case 'failed':
    case 'timedOut':
    case 'refused':
    case 'released':
      return view;
    default:
      return assertNever(end);
  }
}

function medianLatencyMs(state: RoutingState, pool: Pool): number | undefined {
  const averages = pool.memberIds
    .flatMap((agentId) => state.upstreams.get(agentId) ?? [])
    .filter((view) => view.sampleCount >= MIN_OUTLIER_SAMPLES)
    .map((view) => view.latencyMs)
    .sort((one, other) => one - other);
  return averages[Math.floor((averages.length - 1) / 2)];
}

function recordPoolLatency(state: RoutingState, service: string, latencyMs: number): RoutingState {
  const pool = poolOf(state, service);
  const latencyWindowMs = [...pool.latencyWindowMs, latencyMs];
  if (latencyWindowMs.length < LATENCY_WINDOW_SIZE)
    return setPool(state, service, { ...pool, latencyWindowMs });
  const sorted = [...latencyWindowMs].sort((one, other) => one - other);
  const p95Ms = sorted[Math.floor(LATENCY_WINDOW_SIZE * 0.95)] ?? latencyMs;
  const medianMs = medianLatencyMs(state, pool);
  return setPool(state, service, {
    ...pool,
    latencyWindowMs: [],
    p95Ms,
    ...(medianMs === undefined ? {} : { medianMs }),
  });
}

/** Returns the latency sample of an ended attempt for its service, if there is one. */
function poolLatencyMs(pool: Pool, end: AttemptEnd): number | undefined {
  if (end.kind === 'answered') return end.isFailure ? undefined : end.latencyMs;
  // An attempt that lost against its hedge is in the tail; without it the p95 would fall.
  const isTail = end.kind === 'abandoned' && end.elapsedMs > (pool.p95Ms ?? Infinity);
  return isTail ? end.elapsedMs : undefined;
}

function healthEvent(view: UpstreamView, pool: Pool, end: AttemptEnd): HealthEvent | undefined {
  const slowMs = OUTLIER_LATENCY_FACTOR * (pool.medianMs ?? Infinity);
  if (view.health === 'probing') {
    if (end.kind === 'released') return 'release';
    const isFast = end.kind === 'answered' && !end.isFailure && end.latencyMs <= slowMs;
    return isFast ? 'pass' : 'fail';
  }
  const isSlow = view.sampleCount >= MIN_OUTLIER_SAMPLES && view.latencyMs > slowMs;
  const isOutlier = isSlow || view.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
  // At most half are ejected, since a fault of most upstreams has its cause elsewhere.
  const isAllowed = (pool.ejectedCount + 1) * 2 <= pool.eligibleCount;
  return isOutlier && isAllowed ? 'eject' : undefined;
}

function markRoom(state: RoutingState, service: string, agentId: string): RoutingState {
  const pool = poolOf(state, service);
  const others = pool.recentIds.filter((id) => id !== agentId).slice(0, MAX_RECENT_IDS - 1);
  return setPool(state, service, { ...pool, isFull: false, recentIds: [agentId, ...others] });
}

/** Removes an ended attempt from the counts and updates latency, limit and health from its result. */
export function countEnded(
  state: RoutingState,
  agentId: string,
  end: AttemptEnd,
  nowMs: number,
): RoutingStep {
  const open = inFlightAt(state, agentId);
  const inFlight =
    open <= 1 ? state.inFlight.delete(agentId) : state.inFlight.set(agentId, open - 1);
  const view = state.upstreams.get(agentId);
  if (view === undefined) return unchanged({ ...state, inFlight });
  const { service } = view.info;
  const consecutiveFailures = view.consecutiveFailures + Number(isFailure(end));
  const updated = adaptLimit(recordEnd({ ...view, consecutiveFailures }, end), end, open, nowMs);
  const counted = { ...state, inFlight, upstreams: state.upstreams.set(agentId, updated) };
  const pool = poolOf(counted, service);
  const withRoom =
    open - 1 < Math.floor(updated.limit) ? markRoom(counted, service, agentId) : counted;
  const sampleMs = poolLatencyMs(pool, end);
  const withSample =
    sampleMs === undefined ? withRoom : recordPoolLatency(withRoom, service, sampleMs);
  const event = healthEvent(updated, poolOf(withSample, service), end);
  return event === undefined ? unchanged(withSample) : advanceHealth(withSample, updated, event);
}
