import { Map } from 'immutable';

/** An upstream as its agent announced it. */
export interface UpstreamInfo {
  readonly agentId: string;
  readonly service: string;
  readonly domain: string;
  readonly slots: number;
  readonly connections: number;
}

/** What an entry knows of an upstream. */
export interface UpstreamView {
  readonly info: UpstreamInfo;
  readonly isLeaving: boolean;
  readonly inFlight: number;
  readonly latencyMs: number;
}

/** What an entry knows of all upstreams. */
export interface RoutingState {
  readonly homeDomain: string;
  readonly upstreams: Map<string, UpstreamView>;
}

/** Latency assumed of an upstream that has not answered yet; low, so that it gets a share soon. */
const FIRST_LATENCY_MS = 1;

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.2;

/** The state before the first upstream announced itself. */
export function createRouting(homeDomain: string): RoutingState {
  return { homeDomain, upstreams: Map() };
}

function change(
  state: RoutingState,
  agentId: string,
  update: (view: UpstreamView) => UpstreamView,
): RoutingState {
  const view = state.upstreams.get(agentId);
  return view === undefined
    ? state
    : { ...state, upstreams: state.upstreams.set(agentId, update(view)) };
}

/** Adds an upstream, or renews what is known of it. */
export function addUpstream(state: RoutingState, info: UpstreamInfo): RoutingState {
  const known = state.upstreams.get(info.agentId);
  const view: UpstreamView = {
    info,
    isLeaving: false,
    inFlight: known?.inFlight ?? 0,
    latencyMs: known?.latencyMs ?? FIRST_LATENCY_MS,
  };
  return { ...state, upstreams: state.upstreams.set(info.agentId, view) };
}

/** Stops new work for an upstream that is leaving. */
export function markLeaving(state: RoutingState, agentId: string): RoutingState {
  return change(state, agentId, (view) => ({ ...view, isLeaving: true }));
}

/** Drops an upstream that is gone. */
export function removeUpstream(state: RoutingState, agentId: string): RoutingState {
  return { ...state, upstreams: state.upstreams.delete(agentId) };
}

/** Counts an attempt that was sent. */
export function countSent(state: RoutingState, agentId: string): RoutingState {
  return change(state, agentId, (view) => ({ ...view, inFlight: view.inFlight + 1 }));
}

/** Counts an attempt that ended; only an answer says something of the latency. */
export function countEnded(
  state: RoutingState,
  agentId: string,
  latencyMs: number | undefined,
): RoutingState {
  return change(state, agentId, (view) => ({
    ...view,
    inFlight: Math.max(0, view.inFlight - 1),
    latencyMs:
      latencyMs === undefined
        ? view.latencyMs
        : view.latencyMs + LATENCY_WEIGHT * (latencyMs - view.latencyMs),
  }));
}
