import { Map } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import { RETRY_BURST } from './budget';
import { healthChart } from './chart';
import type { Pool, Presence, RoutingState, UpstreamInfo, UpstreamView } from './types';

/** Assumed latency of an upstream before its first answer; low, so that it gets requests soon. */
const INITIAL_LATENCY_MS = 1;

/** Delay before the first probe of an ejected upstream. */
export const FIRST_PROBE_DELAY_MS = 1_000;

const EMPTY_POOL: Pool = {
  memberIds: [],
  localIds: [],
  remoteIds: [],
  readyIds: [],
  slots: 0,
  eligibleCount: 0,
  ejectedCount: 0,
  isFull: false,
  recentIds: [],
  latencyWindowMs: [],
  retryTokens: RETRY_BURST,
};

/** Creates the state before the first upstream connects. */
export function createRouting(localDomain: string): RoutingState {
  return {
    localDomain,
    outDomains: [],
    upstreams: Map(),
    inFlight: Map(),
    pools: Map(),
  };
}

/** Returns the pool of a service, which is empty for an unknown one. */
export function poolOf(state: RoutingState, service: string): Pool {
  return state.pools.get(service) ?? EMPTY_POOL;
}

/** Returns the number of attempts at an agent that have not ended. */
export function inFlightAt(state: RoutingState, agentId: string): number {
  return state.inFlight.get(agentId) ?? 0;
}

/** Replaces the pool of a service. */
export function setPool(state: RoutingState, service: string, pool: Pool): RoutingState {
  return { ...state, pools: state.pools.set(service, pool) };
}

function isReachable(state: RoutingState, view: UpstreamView): boolean {
  return (
    view.presence === 'present' && !view.isLeaving && !state.outDomains.includes(view.info.domain)
  );
}

/** Returns whether an upstream takes ordinary requests while it has room. */
export function isCandidate(state: RoutingState, view: UpstreamView): boolean {
  return view.health === 'healthy' && isReachable(state, view);
}

/** Returns whether an attempt may be sent to an upstream now, regardless of its health. */
export function isUsable(state: RoutingState, agentId: string): boolean {
  const view = state.upstreams.get(agentId);
  return view !== undefined && isReachable(state, view);
}

/** Marks the pool of a service as full, since no candidate has room. */
export function markFull(state: RoutingState, service: string): RoutingState {
  return setPool(state, service, { ...poolOf(state, service), isFull: true });
}

function isEligible(state: RoutingState, view: UpstreamView): boolean {
  return !view.isLeaving && !state.outDomains.includes(view.info.domain);
}

function restore(view: UpstreamView): UpstreamView {
  const { state: health } = advance(healthChart, view.health, 'restore');
  return { ...view, health, probeDelayMs: FIRST_PROBE_DELAY_MS, consecutiveFailures: 0 };
}

/** Restores the fastest ejected upstreams while more than half of the eligible ones are ejected. */
function limitEjections(state: RoutingState, memberIds: readonly string[]): RoutingState {
  const eligible = memberIds
    .flatMap((agentId) => state.upstreams.get(agentId) ?? [])
    .filter((view) => isEligible(state, view));
  const ejected = eligible.filter((view) => view.health !== 'healthy');
  const excess = ejected.length - Math.floor(eligible.length / 2);
  if (excess <= 0) return state;
  const fastest = [...ejected].sort((one, other) => one.latencyMs - other.latencyMs);
  const upstreams = fastest
    .slice(0, excess)
    .reduce((all, view) => all.set(view.info.agentId, restore(view)), state.upstreams);
  return { ...state, upstreams };
}

/** Recomputes the candidates of a service after one of its upstreams changed. */
function refreshPool(
  before: RoutingState,
  service: string,
  memberIds: readonly string[] = poolOf(before, service).memberIds,
): RoutingState {
  const state = limitEjections(before, memberIds);
  const views = memberIds.flatMap((agentId) => state.upstreams.get(agentId) ?? []);
  const eligible = views.filter((view) => isEligible(state, view));
  const reachable = eligible.filter((view) => isReachable(state, view));
  const idsOf = (selected: readonly UpstreamView[]): readonly string[] =>
    selected.map((view) => view.info.agentId);
  const healthy = reachable.filter((view) => isCandidate(state, view));
  return setPool(state, service, {
    ...poolOf(state, service),
    memberIds: idsOf(views),
    localIds: idsOf(healthy.filter((view) => view.info.domain === state.localDomain)),
    remoteIds: idsOf(healthy.filter((view) => view.info.domain !== state.localDomain)),
    readyIds: idsOf(reachable.filter((view) => view.health === 'ready')),
    slots: eligible.reduce((sum, view) => sum + view.info.slots, 0),
    eligibleCount: eligible.length,
    ejectedCount: eligible.filter((view) => view.health !== 'healthy').length,
    isFull: false,
  });
}

/** Replaces the view of an upstream and refreshes its pool. */
export function replaceUpstream(state: RoutingState, view: UpstreamView): RoutingState {
  const { agentId, service } = view.info;
  return refreshPool({ ...state, upstreams: state.upstreams.set(agentId, view) }, service);
}

function updateUpstream(
  state: RoutingState,
  agentId: string,
  update: (view: UpstreamView) => UpstreamView,
): RoutingState {
  const view = state.upstreams.get(agentId);
  return view === undefined ? state : replaceUpstream(state, update(view));
}

/** Adds an upstream, or updates its announced properties if it is known. */
export function addUpstream(state: RoutingState, info: UpstreamInfo): RoutingState {
  const known = state.upstreams.get(info.agentId);
  const { agentId, service } = info;
  const view: UpstreamView = {
    presence: 'present',
    isLeaving: false,
    health: healthChart.initial,
    probeDelayMs: FIRST_PROBE_DELAY_MS,
    consecutiveFailures: 0,
    latencyMs: INITIAL_LATENCY_MS,
    sampleCount: 0,
    floorMs: INITIAL_LATENCY_MS,
    limit: Math.max(1, info.slots),
    limitLoweredAtMs: 0,
    ...(known?.info.service === service ? { ...known, isLeaving: false, presence: 'present' } : {}),
    info,
  };
  const { memberIds } = poolOf(state, service);
  const withoutOld =
    known === undefined || known.info.service === service
      ? state
      : refreshPool({ ...state, upstreams: state.upstreams.delete(agentId) }, known.info.service);
  return refreshPool(
    { ...withoutOld, upstreams: withoutOld.upstreams.set(agentId, view) },
    service,
    memberIds.includes(agentId) ? memberIds : [...memberIds, agentId],
  );
}

/** Marks an upstream as leaving, so that it gets no new work. */
export function markLeaving(state: RoutingState, agentId: string): RoutingState {
  return updateUpstream(state, agentId, (view) => ({ ...view, isLeaving: true }));
}

/** Sets the state of the connection to an agent. */
export function setPresence(
  state: RoutingState,
  agentId: string,
  presence: Presence,
): RoutingState {
  return state.upstreams.get(agentId)?.presence === presence
    ? state
    : updateUpstream(state, agentId, (view) => ({ ...view, presence }));
}

/** Removes an upstream and refreshes its pool. */
export function removeUpstream(state: RoutingState, agentId: string): RoutingState {
  const view = state.upstreams.get(agentId);
  return view === undefined
    ? state
    : refreshPool({ ...state, upstreams: state.upstreams.delete(agentId) }, view.info.service);
}

/** Sets the failure domains that operators have taken out, and refreshes all pools. */
export function setOutDomains(state: RoutingState, outDomains: readonly string[]): RoutingState {
  return state.pools
    .keySeq()
    .reduce<RoutingState>((current, service) => refreshPool(current, service), {
      ...state,
      outDomains,
    });
}
