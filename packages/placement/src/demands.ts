import type { Resources } from '@bronzeyoke/types';
import type { LargeDemand } from './outlook';
import { freeRoom, isEligible, placeCount } from './outlook';
import type { WorkerLoad } from './types';

/** Tasks of about one size: some that wait, and some that run and so tell what is to come. */
export interface TaskGroup {
  readonly service: string;
  readonly requiredLabel?: string;
  readonly needs: Resources;
  readonly waitingCount: number;
  readonly runningCount: number;
}

/** Sizes that are looked at, the largest first. Each costs a look at every worker. */
const MAX_DEMANDS = 4;

/**
 * Free places for a size, in parts of the running tasks of that size, from which on room for them is
 * ample. So many may come back at once when a failure domain leaves.
 */
const AMPLE_SHARE = 0.5;

/** What a lost place counts for a size of which nothing waits, at most. */
const EXPECTED_WEIGHT = 0.5;

/** Tasks from which on a size is larger than what most tasks need: part of the largest worker. */
const LARGE_SHARE = 0.1;

function isLarge({ needs }: TaskGroup, loads: readonly WorkerLoad[]): boolean {
  return loads.some(
    ({ capacity }) =>
      needs.processorsMilli >= capacity.processorsMilli * LARGE_SHARE ||
      needs.memoryMb >= capacity.memoryMb * LARGE_SHARE,
  );
}

/** Returns the demand of a group; undefined while there is ample room for it. */
function demandOf(group: TaskGroup, loads: readonly WorkerLoad[]): LargeDemand | undefined {
  const { service, requiredLabel, needs, waitingCount, runningCount } = group;
  const kind = { service, needs, ...(requiredLabel === undefined ? {} : { requiredLabel }) };
  if (waitingCount > 0) return { ...kind, weight: 1, isWaiting: true };
  const expected = { ...kind, weight: EXPECTED_WEIGHT, isWaiting: false };
  const places = loads
    .filter((load) => isEligible(expected, load))
    .reduce((sum, load) => sum + placeCount(needs, freeRoom(load)), 0);
  return places >= runningCount * AMPLE_SHARE ? undefined : expected;
}

/** Returns the demands for which places are worth keeping: the largest that wait or are short of room. */
export function largeDemands(
  groups: readonly TaskGroup[],
  loads: readonly WorkerLoad[],
): readonly LargeDemand[] {
  return groups
    .filter((group) => isLarge(group, loads))
    .toSorted(
      (left, right) =>
        Number(right.waitingCount > 0) - Number(left.waitingCount > 0) ||
        right.needs.processorsMilli - left.needs.processorsMilli ||
        right.needs.memoryMb - left.needs.memoryMb,
    )
    .slice(0, MAX_DEMANDS)
    .flatMap((group) => demandOf(group, loads) ?? []);
}
