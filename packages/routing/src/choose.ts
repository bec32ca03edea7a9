import { draws } from '@bronzeyoke/types';
import { inFlightAt, isCandidate, poolOf } from './state';
import type { RoutingState } from './types';

/** Two choices are drawn this often before other ways to find room are tried. */
const MAX_DRAWS = 2;

/** Largest list that is searched for a free slot; in longer ones the draws are enough. */
const MAX_SLOT_SEARCH = 16;

/** What an upstream needs to be chosen: a free slot, or at least room within its limit. */
type Requirement = 'slot' | 'room';

/** Rates an upstream; lower is better, and nothing means that it has no room. */
type Score = (agentId: string, need: Requirement) => number | undefined;

function createScore(state: RoutingState, excluded: readonly string[]): Score {
  return (agentId, need) => {
    const view = state.upstreams.get(agentId);
    if (view === undefined || excluded.includes(agentId)) return undefined;
    const inFlight = inFlightAt(state, agentId);
    const { slots } = view.info;
    if (inFlight >= Math.floor(view.limit) || (need === 'slot' && inFlight >= slots)) {
      return undefined;
    }
    return ((inFlight + 1) / Math.max(1, slots)) * view.latencyMs;
  };
}

/** The better of two drawn candidates. A plain loop: this is the hot path of routing. */
function drawBetterOfTwo(
  candidates: readonly string[],
  rate: Score,
  need: Requirement,
  numbers: readonly number[],
): string | undefined {
  for (let index = 0; index < MAX_DRAWS * 2; index += 2) {
    const one = candidates[Math.floor((numbers[index] ?? 0) * candidates.length)];
    const other = candidates[Math.floor((numbers[index + 1] ?? 0) * candidates.length)];
    const oneRate = one === undefined ? undefined : rate(one, need);
    const otherRate = other === undefined ? undefined : rate(other, need);
    if (oneRate !== undefined && (otherRate === undefined || oneRate <= otherRate)) return one;
    if (otherRate !== undefined) return other;
  }
  return undefined;
}

/** The first candidate with room from a drawn place on. */
function findFrom(
  candidates: readonly string[],
  rate: Score,
  need: Requirement,
  number: number,
): string | undefined {
  const start = Math.floor(number * candidates.length);
  const fits = (agentId: string): boolean => rate(agentId, need) !== undefined;
  return (
    candidates.find((agentId, index) => index >= start && fits(agentId)) ??
    candidates.find((agentId, index) => index < start && fits(agentId))
  );
}

function findSlot(
  candidates: readonly string[],
  rate: Score,
  numbers: readonly number[],
): string | undefined {
  const drawn = drawBetterOfTwo(candidates, rate, 'slot', numbers);
  return drawn === undefined && candidates.length <= MAX_SLOT_SEARCH
    ? findFrom(candidates, rate, 'slot', numbers[0] ?? 0)
    : drawn;
}

/** The upstream for the next attempt, or nothing when none has room. */
export function chooseUpstream(
  state: RoutingState,
  service: string,
  excluded: readonly string[],
  random: number,
): string | undefined {
  const { readyIds, isFull, localIds, remoteIds, recentIds } = poolOf(state, service);
  const probed = readyIds.find((agentId) => !excluded.includes(agentId));
  if (probed !== undefined) return probed;
  if (isFull) return undefined;
  const rate = createScore(state, excluded);
  const numbers = draws(random, MAX_DRAWS * 2);
  const [first = 0] = numbers;
  const fitsRecent = (agentId: string): boolean => {
    const view = state.upstreams.get(agentId);
    return view !== undefined && isCandidate(state, view) && rate(agentId, 'room') !== undefined;
  };
  return (
    findSlot(localIds, rate, numbers) ??
    findSlot(remoteIds, rate, numbers) ??
    recentIds.find(fitsRecent) ??
    findFrom(localIds, rate, 'room', first) ??
    findFrom(remoteIds, rate, 'room', first)
  );
}

/** Share of a service's slots in use up to which requests are hedged. */
const MAX_HEDGE_LOAD = 0.7;

/**
 * Whether a service has slots to spare for hedges. The attempt that loses keeps its slot until it
 * ends, so hedges at 80% of the slots made others wait and doubled the 99th percentile.
 */
export function hasSpareSlots(state: RoutingState, service: string): boolean {
  const { memberIds, slots } = poolOf(state, service);
  const inUse = memberIds.reduce((sum, agentId) => sum + inFlightAt(state, agentId), 0);
  return inUse <= MAX_HEDGE_LOAD * slots;
}

/** Whether a service has an upstream that takes new work now or may do so again soon. */
export function hasUpstream(state: RoutingState, service: string): boolean {
  return poolOf(state, service).slots > 0;
}
