import { assertNever } from '@bronzeyoke/types';
import { placeUnitGang } from './gangplaces';
import { restorePlaces } from './formerplace';
import { leaveOut } from './keptplace';
import { startMoves } from './movedplace';
import type { PlacementPass } from './pass';
import { isSpent, spend } from './pass';
import { VACANCY_WORK } from './passbudget';
import type { Search } from './placesearch';
import { openSearch, placeUnitTask } from './placesearch';
import type { PlacementUnit } from './units';
import { unitsOf } from './units';
import type { WaitingTask } from './waits';
import { forgetSearches, reachedTask } from './waits';

/** Returns whether left-out lasting tasks may still find room: the pass has ended while others did. */
function isHolding({ pass, isCut, runsBefore }: Search): boolean {
  return isCut && pass.state.runs.byTask.size > runsBefore;
}

function leaveOutUnit(search: Search, members: readonly WaitingTask[], nowMs: number): Search {
  return {
    ...search,
    pass: members.reduce((current, member) => leaveOut(current, member, nowMs), search.pass),
    isCut: true,
  };
}

/** Returns whether a task is left to a later pass. Starved ones also make way for lasting ones. */
function isLeftOut(search: Search, { wait }: WaitingTask): boolean {
  if (wait.cause !== 'starved') return isSpent(search.pass, 'returning');
  const isHeld = search.mayHold && isHolding(search);
  // Lasting tasks that fit nowhere may exceed their part in each pass.
  return isHeld || (search.hasReachedStarved && isSpent(search.pass, 'starved'));
}

function placeUnit(search: Search, unit: PlacementUnit, nowMs: number): Search {
  switch (unit.kind) {
    case 'task': {
      const { task } = unit;
      return isLeftOut(search, task)
        ? leaveOutUnit(search, [task], nowMs)
        : placeUnitTask(search, reachedTask(task), nowMs);
    }
    case 'gang': {
      const { pass } = search;
      const { members } = unit;
      if (members.some((member) => isLeftOut(search, member))) {
        return leaveOutUnit(search, members, nowMs);
      }
      const looked = spend(pass, members.length * pass.loads.size * VACANCY_WORK);
      return { ...search, pass: placeUnitGang(looked, members.map(reachedTask), nowMs) };
    }
    default:
      return assertNever(unit);
  }
}

/** A pass that has placed the waiting tasks. */
interface ReturningPass {
  readonly pass: PlacementPass;
  /** A task was left to a later pass. */
  readonly isCut: boolean;
  /** Whether others are left to a later pass too, until all lasting tasks had their turn. */
  readonly isHeld: boolean;
}

/**
 * Places the lasting tasks that have run and wait, the one that is away longest first. Those that find
 * no room keep a place that becomes free or is made free. `mayHold` tells whether all others may be left
 * to later passes for lasting tasks.
 */
export function placeReturning(
  pass: PlacementPass,
  waiting: readonly WaitingTask[],
  mayHold: boolean,
  nowMs: number,
): ReturningPass {
  const restored = restorePlaces(pass, waiting, nowMs);
  const search: Search = {
    ...openSearch(restored.pass, restored.rest.length, mayHold),
    runsBefore: pass.state.runs.byTask.size,
  };
  const placed = unitsOf(restored.rest).reduce(
    (current, unit) => placeUnit(current, unit, nowMs),
    search,
  );
  const { searchesLeft, isCut } = placed;
  const hasReachedAll = searchesLeft > 0 && !isCut;
  // After a loss of power the next reports bring further ones, and searches for others would delay them.
  const hasRestored = restored.pass.state.restoredCount > pass.state.restoredCount;
  const forgotten = hasReachedAll ? forgetSearches(placed.pass.state) : placed.pass.state;
  return {
    pass: startMoves({ ...placed.pass, state: forgotten }, nowMs),
    isCut,
    isHeld: mayHold && (hasRestored || isHolding(placed)),
  };
}
