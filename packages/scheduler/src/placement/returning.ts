import { Map } from 'immutable';
import { assertNever, without } from '@bronzeyoke/types';
import { taskProgress } from '@bronzeyoke/workflow';
import { searchKey } from './candidates';
import type { PlacementPass } from './pass';
import { isBackingOff, isSpent, placeGang, placeTask, spend } from './pass';
import { MOVES_WORK, VACANCY_WORK } from './passbudget';
import type { PlaceWait, WaitEvent } from './placewait';
import { advanceWait, startMove } from './placewait';
import { makeRoomByMoves } from './relocate';
import type { Vacancy } from './reserve';
import { clearVacancy, findVacancy, keptVacancy, reserveRoom, slotOf } from './reserve';
import type { PlacementUnit } from './units';
import { unitsOf } from './units';
import type { WaitingTask } from './waits';
import { forgetSearches, reachedTask } from './waits';

/** Time after which the runs that keep a lasting task from its reserved place are stopped. */
const MAX_DRAIN_MS = 2_500;

/** Time after which other tasks are stopped or moved, and between two searches for moves. */
const CLEAR_AFTER_MS = 1_000;
const MOVE_SEARCH_MS = 500;

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
interface Search {
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

function putWait(pass: PlacementPass, task: string, wait: PlaceWait): PlacementPass {
  return { ...pass, state: { ...pass.state, waits: pass.state.waits.set(task, wait) } };
}

/** Advances a wait, with the worker that the pass keeps for it. Moves belong to one worker. */
function settleWait(
  pass: PlacementPass,
  { task, wait: known }: WaitingTask,
  event: WaitEvent,
): PlacementPass {
  const wait = event === 'lose' ? known : without(known, 'searchedAtMs');
  const workerKey = pass.reservations.get(task);
  if (workerKey !== undefined && workerKey === wait.workerKey) {
    return putWait(pass, task, advanceWait(wait, event));
  }
  const settled = advanceWait(without(wait, 'workerKey', 'moves'), event);
  return putWait(pass, task, workerKey === undefined ? settled : { ...settled, workerKey });
}

/** Keeps the place of a vacancy for a waiting task, and makes room there in time. */
function keepPlace(
  pass: PlacementPass,
  waiting: WaitingTask,
  vacancy: Vacancy,
  mayStop: boolean,
  nowMs: number,
): PlacementPass {
  const { task, wait, candidate } = waiting;
  const { stage } = candidate.ready;
  const awayMs = nowMs - wait.sinceMs;
  const mayClear = mayStop && wait.cause === 'returning';
  const isOverdue = mayClear && awayMs >= CLEAR_AFTER_MS && awayMs + vacancy.waitMs > MAX_DRAIN_MS;
  const cleared = mayClear
    ? clearVacancy(pass, vacancy, stage.needs, isOverdue ? 'all' : 'preemptible')
    : pass;
  const reserved = reserveRoom(cleared, task, vacancy.load, stage);
  return settleWait(reserved, waiting, isOverdue ? 'clear' : 'reserve');
}

/** Goes on keeping the place of a waiting task; undefined if it is lost. */
function keepKnownPlace(
  pass: PlacementPass,
  waiting: WaitingTask,
  mayClear: boolean,
  nowMs: number,
): PlacementPass | undefined {
  const target = slotOf(pass, waiting);
  if (target === undefined || waiting.wait.workerKey === undefined) return undefined;
  const vacancy = keptVacancy(pass, target, waiting.wait.workerKey);
  return vacancy === undefined ? undefined : keepPlace(pass, waiting, vacancy, mayClear, nowMs);
}

/** Keeps the place that is free soonest for a waiting task; undefined if there is none. */
function keepNewPlace(
  pass: PlacementPass,
  waiting: WaitingTask,
  mayClear: boolean,
  nowMs: number,
): PlacementPass | undefined {
  const target = slotOf(pass, waiting);
  if (target === undefined) return undefined;
  const { failedOn } = taskProgress(target.open.progress, waiting.slot);
  const vacancy = findVacancy(pass, target, failedOn);
  return vacancy === undefined ? undefined : keepPlace(pass, waiting, vacancy, mayClear, nowMs);
}

/**
 * Returns whether moves are sought for a task. Nothing that runs makes way for one that has not run
 * yet.
 */
function isMoveDue({ wait }: WaitingTask, nowMs: number): boolean {
  const { cause, sinceMs, movesSoughtAtMs = -Infinity, moves = [] } = wait;
  if (cause === 'starved' || nowMs - sinceMs < CLEAR_AFTER_MS) return false;
  return moves.length > 0 || nowMs - movesSoughtAtMs >= MOVE_SEARCH_MS;
}

/** Adds the work of a search for moves. */
function spendOnMoves(pass: PlacementPass): PlacementPass {
  return spend(pass, pass.loads.size * MOVES_WORK);
}

/** Moves tasks of other jobs to make room for one that has waited; undefined if no move does. */
function movePlace(
  pass: PlacementPass,
  waiting: WaitingTask,
  nowMs: number,
): PlacementPass | undefined {
  const { task, wait } = waiting;
  const { sinceMs, moves: planned = [], workerKey } = wait;
  const target = slotOf(pass, waiting);
  if (target === undefined || !isMoveDue(waiting, nowMs)) return undefined;
  const awayMs = nowMs - sinceMs;
  const isOverdue = awayMs > CLEAR_AFTER_MS + MAX_DRAIN_MS;
  const search = { task, target, plannedKey: workerKey, planned, isOverdue };
  const found = makeRoomByMoves(spendOnMoves(pass), search);
  if (found === undefined) return undefined;
  const settled = settleWait(found.pass, waiting, 'clear');
  const cleared = settled.state.waits.get(task) ?? wait;
  return putWait(settled, task, { ...cleared, moves: found.moves });
}

function giveUp(pass: PlacementPass, waiting: WaitingTask): PlacementPass {
  return settleWait(pass, waiting, 'lose');
}

/** Gives up after moves were sought in vain. */
function giveUpMoves(pass: PlacementPass, waiting: WaitingTask, nowMs: number): PlacementPass {
  return giveUp(pass, { ...waiting, wait: { ...waiting.wait, movesSoughtAtMs: nowMs } });
}

/** Claims a worker with room for a waiting task, or only its kept one; undefined if there is none. */
function claimPlace(
  pass: PlacementPass,
  waiting: WaitingTask,
  onlyKept: boolean,
  nowMs: number,
): PlacementPass | undefined {
  const { task, slot, candidate, wait } = waiting;
  const { jobId, ready } = candidate;
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || isBackingOff(pass, task, nowMs)) return undefined;
  const attempt = 1 + taskProgress(open.progress, slot).attempt;
  const kept = onlyKept ? pass.loads.get(wait.workerKey ?? '') : undefined;
  const loads = kept === undefined ? pass.loads : Map([[kept.workerKey, kept]]);
  const placed = placeTask(pass, jobId, ready, slot, attempt, nowMs, { loads });
  return placed === undefined ? undefined : settleWait(placed, waiting, 'claim');
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

function placeUnitTask(before: Search, waiting: WaitingTask, nowMs: number): Search {
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
  const claimed = mayClaim ? claimPlace(pass, waiting, onlyKept, nowMs) : undefined;
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

/** Places all members of a gang, or keeps a place for each of them. */
function placeUnitGang(
  pass: PlacementPass,
  members: readonly WaitingTask[],
  nowMs: number,
): PlacementPass {
  const [first] = members;
  if (first === undefined) return pass;
  const mustWait = members.some(({ task }) => isBackingOff(pass, task, nowMs));
  const placed = mustWait ? pass : placeGang(pass, first.candidate, nowMs);
  if (placed !== pass) {
    return members.reduce((current, member) => settleWait(current, member, 'claim'), placed);
  }
  // Nothing is stopped for a gang while some of its members still run elsewhere.
  const { stage } = first.candidate.ready;
  const mayClear = !mustWait && members.length === stage.taskCount;
  const kept = members.reduce<PlacementPass | undefined>(
    (current, member) =>
      current === undefined
        ? undefined
        : (keepKnownPlace(current, member, mayClear, nowMs) ??
          keepNewPlace(current, member, mayClear, nowMs) ??
          movePlace(current, member, nowMs)),
    pass,
  );
  if (kept !== undefined) return kept;
  // The first member without a place ends the search.
  const sought = members.some((member) => isMoveDue(member, nowMs)) ? spendOnMoves(pass) : pass;
  return members.reduce(
    (current, member) =>
      isMoveDue(member, nowMs) ? giveUpMoves(current, member, nowMs) : giveUp(current, member),
    sought,
  );
}

/** Leaves a task to a later pass, and goes on keeping its place without a look at it. */
function leaveOut(pass: PlacementPass, waiting: WaitingTask, nowMs: number): PlacementPass {
  const { task, wait, candidate } = waiting;
  const left = { ...wait, leftOutSinceMs: wait.leftOutSinceMs ?? nowMs };
  const load = pass.loads.get(wait.workerKey ?? '');
  return load === undefined
    ? giveUp(pass, { ...waiting, wait: left })
    : putWait(reserveRoom(pass, task, load, candidate.ready.stage), task, left);
}

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

/** Keeps the room for tasks whose runs are being stopped in order to move them. */
export function reserveForMoves(pass: PlacementPass): PlacementPass {
  return pass.state.waits.reduce((current, { phase, workerKey = '' }, task) => {
    const load = current.loads.get(workerKey);
    const run = current.state.runs.byTask.get(task);
    return phase !== 'moving' || load === undefined || run === undefined
      ? current
      : reserveRoom(current, task, load, run.stage);
  }, pass);
}

/** Starts the waits of tasks that the pass moves. */
function startMoves(pass: PlacementPass, nowMs: number): PlacementPass {
  return pass.stops
    .filter((reason) => reason === 'moved')
    .reduce((current, _, task) => {
      const workerKey = current.reservations.get(task);
      const wait = startMove(nowMs);
      return putWait(current, task, workerKey === undefined ? wait : { ...wait, workerKey });
    }, pass);
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
  const searches = maxSearches(pass.loads.size);
  const search: Search = {
    pass,
    full: new Set(),
    hopeless: new Set(),
    searchesLeft: searches,
    moveSearchesLeft: MAX_MOVE_SEARCHES,
    isCrowded: waiting.length > searches,
    isCut: false,
    hasReachedStarved: false,
    mayHold,
    runsBefore: pass.state.runs.byTask.size,
  };
  const placed = unitsOf(waiting).reduce(
    (current, unit) => placeUnit(current, unit, nowMs),
    search,
  );
  const { searchesLeft, isCut } = placed;
  const hasReachedAll = searchesLeft > 0 && !isCut;
  const forgotten = hasReachedAll ? forgetSearches(placed.pass.state) : placed.pass.state;
  return {
    pass: startMoves({ ...placed.pass, state: forgotten }, nowMs),
    isCut,
    isHeld: mayHold && isHolding(placed),
  };
}
