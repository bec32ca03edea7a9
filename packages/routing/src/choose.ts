import { drawUniforms } from '@bronzeyoke/types';
import { inFlightAt, isCandidate, poolOf } from './state';
import type { RoutingState } from './types';

/** Draws of two candidates before other ways to find room are tried. */
const DRAW_COUNT = 2;

/** Longest list that is searched for a free slot; in longer lists the draws suffice. */
const MAX_SLOT_SEARCH_LENGTH = 16;

/** Requirement for a choice: a free slot, or at least room within the concurrency limit. */
type Requirement = 'slot' | 'room';

/** Scores an upstream; lower is better, and undefined means that it has no room. */
type Scorer = (agentId: string, requirement: Requirement) => number | undefined;

function createScorer(state: RoutingState, excluded: readonly string[]): Scorer {
  return (agentId, requirement) => {
    const view = state.upstreams.get(agentId);
    if (view === undefined || excluded.includes(agentId)) return undefined;
    const inFlight = inFlightAt(state, agentId);
    const { slots } = view.info;
    if (inFlight >= Math.floor(view.limit) || (requirement === 'slot' && inFlight >= slots)) {
      return undefined;
    }
    return ((inFlight + 1) / Math.max(1, slots)) * view.latencyMs;
  };
}

/** Returns the better of two drawn candidates. It uses a loop because it is on the hot path. */
function drawBetterOfTwo(
  candidates: readonly string[],
  score: Scorer,
  requirement: Requirement,
  randoms: readonly number[],
): string | undefined {
  for (let index = 0; index < DRAW_COUNT * 2; index += 2) {
    const one = candidates[Math.floor((randoms[index] ?? 0) * candidates.length)];
    const other = candidates[Math.floor((randoms[index + 1] ?? 0) * candidates.length)];
    const oneScore = one === undefined ? undefined : score(one, requirement);
    const otherScore = other === undefined ? undefined : score(other, requirement);
    if (oneScore !== undefined && (otherScore === undefined || oneScore <= otherScore)) return one;
    if (otherScore !== undefined) return other;
  }
  return undefined;
}

/** Returns the first candidate with room, starting from a random position. */
function findFrom(
  candidates: readonly string[],
  score: Scorer,
  requirement: Requirement,
  random: number,
): string | undefined {
  const start = Math.floor(random * candidates.length);
  const fits = (agentId: string): boolean => score(agentId, requirement) !== undefined;
  return (
    candidates.find((agentId, index) => index >= start && fits(agentId)) ??
    candidates.find((agentId, index) => index < start && fits(agentId))
  );
}

function findSlot(
  candidates: readonly string[],
  score: Scorer,
  randoms: readonly number[],
): string | undefined {
  const drawn = drawBetterOfTwo(candidates, score, 'slot', randoms);
  return drawn === undefined && candidates.length <= MAX_SLOT_SEARCH_LENGTH
    ? findFrom(candidates, score, 'slot', randoms[0] ?? 0)
    : drawn;
}

/** Chooses the upstream for the next attempt, or returns undefined if none has room. */
export function chooseUpstream(
  state: RoutingState,
  service: string,
  excluded: readonly string[],
  random: number,
): string | undefined {
  const { readyIds, isFull, localIds, remoteIds, recentIds } = poolOf(state, service);
  const readyId = readyIds.find((agentId) => !excluded.includes(agentId));
  if (readyId !== undefined) return readyId;
  if (isFull) return undefined;
  const score = createScorer(state, excluded);
  const randoms = drawUniforms(random, DRAW_COUNT * 2);
  const [first = 0] = randoms;
  const fitsRecent = (agentId: string): boolean => {
    const view = state.upstreams.get(agentId);
    return view !== undefined && isCandidate(state, view) && score(agentId, 'room') !== undefined;
  };
  return (
    findSlot(localIds, score, randoms) ??
    findSlot(remoteIds, score, randoms) ??
    recentIds.find(fitsRecent) ??
    findFrom(localIds, score, 'room', first) ??
    findFrom(remoteIds, score, 'room', first)
  );
}

/** Share of the slots of a service in use up to which its requests are hedged. */
const MAX_HEDGE_LOAD = 0.7;

/**
 * Returns whether a service has slots to spare for hedges. The losing attempt keeps its slot until
 * it ends, so hedges at 80% of the slots delayed other requests and doubled the 99th percentile.
 */
export function hasSpareSlots(state: RoutingState, service: string): boolean {
  const { memberIds, slots } = poolOf(state, service);
  const inUse = memberIds.reduce((sum, agentId) => sum + inFlightAt(state, agentId), 0);
  return inUse <= MAX_HEDGE_LOAD * slots;
}

/** Returns whether a service has an upstream that takes new work now or may do so soon. */
export function hasUpstream(state: RoutingState, service: string): boolean {
  return poolOf(state, service).slots > 0;
}
