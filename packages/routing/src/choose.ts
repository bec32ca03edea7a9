import { draws } from '@bronzeyoke/types';
import { inFlightAt, isCandidate, poolOf } from './state';
import type { RoutingState } from './types';

/** Two choices are drawn this often before all candidates are looked at. */
const TRIES = 2;

/** Candidates that are looked at for a free slot; a full search is made only for any room at all. */
const SLOT_SEARCH = 16;

function score(state: RoutingState, agentId: string): number {
  const view = state.upstreams.get(agentId);
  if (view === undefined) return Infinity;
  return ((inFlightAt(state, agentId) + 1) / Math.max(1, view.info.slots)) * view.latencyMs;
}

type HasRoom = (agentId: string) => boolean;

function better(
  state: RoutingState,
  one: string | undefined,
  other: string | undefined,
): string | undefined {
  if (one === undefined) return other;
  if (other === undefined) return one;
  return score(state, other) < score(state, one) ? other : one;
}

function pick(
  state: RoutingState,
  candidates: readonly string[],
  hasRoom: HasRoom,
  numbers: readonly number[],
  searchLimit: number,
): string | undefined {
  const at = (number: number): string | undefined => {
    const agentId = candidates[Math.floor(number * candidates.length)];
    return agentId !== undefined && hasRoom(agentId) ? agentId : undefined;
  };
  // A plain loop: this is the hot path of candidate sampling, without a list per decision.
  for (let index = 0; index < TRIES; index += 1) {
    const found = better(state, at(numbers[index * 2] ?? 0), at(numbers[index * 2 + 1] ?? 0));
    if (found !== undefined) return found;
  }
  const start = Math.floor((numbers[0] ?? 0) * candidates.length);
  for (let index = 0; index < Math.min(searchLimit, candidates.length); index += 1) {
    const agentId = candidates[(start + index) % candidates.length];
    if (agentId !== undefined && hasRoom(agentId)) return agentId;
  }
  return undefined;
}

/** The upstream for the next attempt, or nothing when none has room. */
export function chooseUpstream(
  state: RoutingState,
  service: string,
  excluded: readonly string[],
  random: number,
): string | undefined {
  const pool = poolOf(state, service);
  const probed = pool.ready.find((agentId) => !excluded.includes(agentId));
  if (probed !== undefined) return probed;
  if (pool.isFull) return undefined;
  const hasRoom: HasRoom = (agentId) => {
    const view = state.upstreams.get(agentId);
    return (
      view !== undefined &&
      inFlightAt(state, agentId) < Math.floor(view.limit) &&
      !excluded.includes(agentId)
    );
  };
  const hasSlot: HasRoom = (agentId) =>
    hasRoom(agentId) &&
    inFlightAt(state, agentId) < (state.upstreams.get(agentId)?.info.slots ?? 0);
  const { vacantId } = pool;
  const vacant = vacantId === undefined ? undefined : state.upstreams.get(vacantId);
  if (vacantId !== undefined && vacant !== undefined && isCandidate(state, vacant)) {
    if (hasRoom(vacantId)) return vacantId;
  }
  const numbers = draws(random, TRIES * 2);
  return (
    pick(state, pool.home, hasSlot, numbers, SLOT_SEARCH) ??
    pick(state, pool.away, hasSlot, numbers, SLOT_SEARCH) ??
    pick(state, pool.home, hasRoom, numbers, Infinity) ??
    pick(state, pool.away, hasRoom, numbers, Infinity)
  );
}

/** Whether a service has an upstream that takes new work now or may do so again soon. */
export function hasUpstream(state: RoutingState, service: string): boolean {
  return poolOf(state, service).slots > 0;
}
