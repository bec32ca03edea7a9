import { searchKey } from './candidates';
import { claimPlace, giveUp, keepKnownPlace, keepNewPlace } from './keptplace';
import { giveUpMoves, isMoveDue, movePlace, spendOnMoves } from './movedplace';
import type { PlacementPass } from './pass';
import { isBackingOff, spend } from './pass';
import { VACANCY_WORK } from './passbudget';
import type { WaitingTask } from './waits';

/**
 * Searches for a place in one pass, and workers that they look at together. After a loss of power
 * hundreds of tasks wait, and a pass must stay short; the next pass goes on with those that have no
 * place yet.
 */
const MAX_SEARCHES = 40;
const MIN_SEARCHES = 8;
const MAX_SEARCHED_WORKERS = 2_800;

/** Searches for moves in one pass. One looks at the runs of many workers. */
const MAX_MOVE_SEARCHES = 3;

/** Returns how many searches a pass makes on a fleet. */
function maxSearches(workerCount: number): number {
  const searches = Math.floor(MAX_SEARCHED_WORKERS / Math.max(1, workerCount));
  return Math.min(MAX_SEARCHES, Math.max(MIN_SEARCHES, searches));
}

/** A pass, with the stages for which it has found no room or no place, and the searches left. */
export interface Search {
  readonly pass: PlacementPass;
  readonly full: ReadonlySet<string>;
  readonly hopeless: ReadonlySet<string>;
  readonly searchesLeft: number;
  readonly moveSearchesLeft: number;
  /** So many tasks wait that those with a kept place look for no other one. */
  readonly isCrowded: boolean;
  /** A task was left to a later pass. */
  readonly isCut: boolean;
  /** Whether others may be left to a later pass until all lasting tasks had their turn. */
  readonly mayHold: boolean;
  /** A starved task has had its turn. */
  readonly hasReachedStarved: boolean;
  /** Runs before the pass. */
  readonly runsBefore: number;
}

/** Returns a search that begins with a pass, for a number of waiting tasks. */
export function openSearch(pass: PlacementPass, waitingCount: number, mayHold: boolean): Search {
  const searches = maxSearches(pass.loads.size);
  return {
    pass,
    full: new Set(),
    hopeless: new Set(),
    searchesLeft: searches,
    moveSearchesLeft: MAX_MOVE_SEARCHES,
    isCrowded: waitingCount > searches,
    isCut: false,
    hasReachedStarved: false,
    mayHold,
    runsBefore: pass.state.runs.byTask.size,
  };
}

/** Searches a place for a waiting task that keeps none. */
function searchPlace(search: Search, waiting: WaitingTask, nowMs: number): Search {
  const { pass, hopeless, searchesLeft, moveSearchesLeft } = search;
  const key = searchKey(waiting.candidate);
  const inVain = { ...waiting, wait: { ...waiting.wait, searchedAtMs: nowMs } };
  if (hopeless.has(key)) return { ...search, pass: giveUp(pass, inVain) };
  if (searchesLeft === 0) return { ...search, pass: giveUp(pass, waiting) };
  const searched = { ...search, searchesLeft: searchesLeft - 1 };
  const mayClear = !isBackingOff(pass, waiting.task, nowMs);
  const looked = spend(pass, pass.loads.size * VACANCY_WORK);
  const kept = keepNewPlace(looked, waiting, mayClear, nowMs);
  if (kept !== undefined) return { ...searched, pass: kept };
  const withoutPlace = { ...searched, hopeless: new Set([...hopeless, key]) };
  // Without a move search left, the task is not hopeless: the next pass may find moves for it.
  if (!isMoveDue(waiting, nowMs)) return { ...withoutPlace, pass: giveUp(looked, inVain) };
  if (moveSearchesLeft === 0) return { ...searched, pass: giveUp(looked, inVain) };
  const moved = movePlace(looked, waiting, nowMs);
  const sought = spendOnMoves(looked);
  const left = moveSearchesLeft - 1;
  return moved === undefined
    ? { ...withoutPlace, moveSearchesLeft: left, pass: giveUpMoves(sought, inVain, nowMs) }
    : { ...searched, moveSearchesLeft: left, pass: moved };
}

/** Claims a worker for a task, or keeps a place for it. */
export function placeUnitTask(before: Search, waiting: WaitingTask, nowMs: number): Search {
  const { full, searchesLeft, isCrowded } = before;
  const { task, wait, candidate } = waiting;
  const key = searchKey(candidate);
  const isReady = !isBackingOff(before.pass, task, nowMs);
  // Lasting tasks that find no place may use up the searches of each pass. The few starved stages that have
  // their turn are searched for in any case, once each.
  const isStarved = wait.cause === 'starved';
  const search = { ...before, hasReachedStarved: before.hasReachedStarved || isStarved };
  const maySearch = !full.has(key) && (isStarved || searchesLeft > 0);
  // Anywhere else a moved task would be in the way of the one that it makes room for.
  const onlyKept = wait.workerKey !== undefined && (wait.isMoved || (isCrowded && !isStarved));
  const mayClaim = onlyKept || maySearch;
  const pass = spend(search.pass, mayClaim && !onlyKept ? search.pass.loads.size : VACANCY_WORK);
  const claimed = mayClaim
    ? claimPlace(pass, waiting, onlyKept ? wait.workerKey : undefined, nowMs)
    : undefined;
  if (claimed !== undefined) return { ...search, pass: claimed };
  const searched: Search =
    mayClaim && isReady && !onlyKept
      ? {
          ...search,
          pass,
          full: new Set([...full, key]),
          searchesLeft: Math.max(0, searchesLeft - 1),
        }
      : { ...search, pass };
  const kept = keepKnownPlace(pass, waiting, isReady, nowMs);
  return kept === undefined ? searchPlace(searched, waiting, nowMs) : { ...searched, pass: kept };
}
