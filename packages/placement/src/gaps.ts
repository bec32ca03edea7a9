import type { Resources } from '@bronzeyoke/types';
import { addResources, fitsIn, subtractResources } from '@bronzeyoke/types';
import type { Stage } from '@bronzeyoke/workflow';
import type { ExpectedEnd, LargeDemand, Outlook } from './outlook';
import { freeRoom, isEligible, placeCount } from './outlook';
import type { WorkerLoad } from './types';

/** How far ahead a place counts. Ends later than that are too uncertain to plan by. */
const HORIZON_MS = 5_000;

/** A demand is large beside a task that needs at most this part of it. */
const LARGE_RATIO = 2;

/** Smallest difference of costs that decides between workers. Estimates are rough. */
const COST_STEP = 0.1;

/** Returns what a task takes from the room that counts for others. Filling tasks take memory only. */
export function takenBy({ needs, fillsIdle }: Pick<Stage, 'needs' | 'fillsIdle'>): Resources {
  return fillsIdle ? { ...needs, processorsMilli: 0 } : needs;
}

function isLargeBeside({ needs }: LargeDemand, taken: Resources): boolean {
  return (
    needs.processorsMilli >= taken.processorsMilli * LARGE_RATIO && needs.memoryMb >= taken.memoryMb
  );
}

/** Returns when a task of a size fits into room that grows with the ends of runs; infinite if never. */
export function fitsAfterMs(
  needs: Resources,
  room: Resources,
  ends: readonly ExpectedEnd[],
): number {
  if (fitsIn(needs, room)) return 0;
  const byEnd = ends.toSorted((left, right) => left.inMs - right.inMs);
  return byEnd.reduce<{ readonly room: Resources; readonly atMs: number }>(
    (current, { returned, inMs }) => {
      if (current.atMs < Infinity) return current;
      const grown = addResources(current.room, returned);
      return { room: grown, atMs: fitsIn(needs, grown) ? inMs : Infinity };
    },
    { room, atMs: Infinity },
  ).atMs;
}

/** Returns the share of a place for a demand that a worker loses with one more task: from 0 to 1. */
function lostShare(
  { needs }: LargeDemand,
  room: Resources,
  ends: readonly ExpectedEnd[],
  taken: Resources,
  runMs: number,
): number {
  const left = subtractResources(room, taken);
  const placesBefore = placeCount(needs, room);
  if (placesBefore > 0) return Math.min(1, placesBefore - placeCount(needs, left));
  const beforeMs = fitsAfterMs(needs, room, ends);
  // A task that ends before the place is free takes nothing from it.
  if (beforeMs > HORIZON_MS || runMs <= beforeMs) return 0;
  const afterMs = fitsAfterMs(needs, left, [...ends, { returned: taken, inMs: runMs }]);
  return (Math.min(HORIZON_MS, afterMs) - beforeMs) / HORIZON_MS;
}

/**
 * Returns what placing a task on a worker costs the larger ones that wait or are expected, in steps:
 * places that are lost now, and delays of those that ends of runs make soon.
 */
export function gapCost(
  stage: Pick<Stage, 'needs' | 'fillsIdle'>,
  load: WorkerLoad,
  { demands, endsOn }: Outlook,
  runMs: number,
): number {
  const taken = takenBy(stage);
  const room = freeRoom(load);
  const cost = demands.reduce((sum, demand) => {
    if (!isEligible(demand, load) || !isLargeBeside(demand, taken)) return sum;
    return sum + demand.weight * lostShare(demand, room, endsOn(load.workerKey), taken, runMs);
  }, 0);
  return Math.ceil(cost / COST_STEP - 1e-9);
}

/** Room on a worker that is free now and is kept for a task. */
export interface KeptRoom {
  readonly room: Resources;
  /** Time before which the task for which it is kept cannot start there. */
  readonly neededInMs: number;
}

/**
 * Returns whether a task may use kept room meanwhile: it fits, and nearly all such tasks end before the
 * room is needed.
 */
export function mayBackfill(
  { needs }: Pick<Stage, 'needs'>,
  tailMs: number,
  { room, neededInMs }: KeptRoom,
): boolean {
  return fitsIn(needs, room) && tailMs <= neededInMs;
}
