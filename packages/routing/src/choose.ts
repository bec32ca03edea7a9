import { draws } from '@bronzeyoke/types';
import type { RoutingState, UpstreamView } from './state';

function score(view: UpstreamView): number {
  return ((view.inFlight + 1) / Math.max(1, view.info.slots)) * view.latencyMs;
}

function pick(candidates: readonly UpstreamView[], random: number): UpstreamView | undefined {
  const sampled = draws(random, 2).flatMap(
    (draw) => candidates[Math.floor(draw * candidates.length)] ?? [],
  );
  return sampled.reduce<UpstreamView | undefined>(
    (best, view) => (best === undefined || score(view) < score(best) ? view : best),
    undefined,
  );
}

/** The upstream for the next attempt: the better of two, from the home domain while it has room. */
export function chooseUpstream(
  state: RoutingState,
  service: string,
  excluded: readonly string[],
  random: number,
): string | undefined {
  const usable = state.upstreams
    .valueSeq()
    .filter(
      (view) =>
        view.info.service === service &&
        !view.isLeaving &&
        view.inFlight < view.info.slots &&
        !excluded.includes(view.info.agentId),
    )
    .toArray();
  const nearby = usable.filter((view) => view.info.domain === state.homeDomain);
  return pick(nearby.length > 0 ? nearby : usable, random)?.info.agentId;
}

/** Whether any upstream of a service is known, with room or without. */
export function hasUpstream(state: RoutingState, service: string): boolean {
  return state.upstreams.some((view) => view.info.service === service && !view.isLeaving);
}

/** Slots of all upstreams of a service. */
export function totalSlots(state: RoutingState, service: string): number {
  return state.upstreams
    .valueSeq()
    .filter((view) => view.info.service === service && !view.isLeaving)
    .reduce((sum, view) => sum + view.info.slots, 0);
}
