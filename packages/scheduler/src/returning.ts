import { Map } from 'immutable';
import { compareRanks } from '@bronzeyoke/placement';
import { assertNever, without } from '@bronzeyoke/types';
import { taskProgress } from '@bronzeyoke/workflow';
import { searchKey } from './candidates';
import type { PlacementPass } from './pass';
import { isBackingOff, placeGang, placeTask } from './pass';
import type { PlaceWait, WaitEvent } from './placewait';
import { advanceWait, startMove } from './placewait';
import { makeRoomByMoves } from './relocate';
import type { Vacancy } from './reserve';
import { clearVacancy, findVacancy, keptVacancy, reserveRoom, slotOf } from './reserve';
import type { WaitingTask } from './waits';
import { placeRank } from './waits';

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

/** Searches that a task without a place takes: for a worker with room, and for one to keep a place on. */
const SEARCHES_PER_TASK = 2;

/** Searches for moves in one pass. One looks at the runs of many workers. */
const MAX_MOVE_SEARCHES = 3;

/** Returns how many searches a pass makes on a fleet. */
function maxSearches(workerCount: number): number {
  const searches = Math.floor(MAX_SEARCHED_WORKERS / Math.max(1, workerCount));
  return Math.min(MAX_SEARCHES, Math.max(MIN_SEARCHES, searches));
}

/** A task, or all members of a gang, to place in one decision. */
type PlacementUnit =
  | { readonly kind: 'task'; readonly task: WaitingTask }
  | { readonly kind: 'gang'; readonly members: readonly WaitingTask[] };

/** A pass, with the stages for which it has found no room or no place, and the searches left. */
interface Search {
  readonly pass: PlacementPass;
  readonly full: ReadonlySet<string>;
  readonly hopeless: ReadonlySet<string>;
  readonly searchesLeft: number;
  readonly moveSearchesLeft: number;
  /** So many tasks wait that those with a kept place look for no other one. */
  readonly isCrowded: boolean;
}

function unitsOf(waiting: readonly WaitingTask[]): readonly PlacementUnit[] {
  return waiting.flatMap((task, index): readonly PlacementUnit[] => {
    const { candidate } = task;
    if (!candidate.ready.stage.isGang) return [{ kind: 'task', task }];
    const key = searchKey(candidate);
    const isMember = (other: WaitingTask): boolean => searchKey(other.candidate) === key;
    const members = waiting.filter(isMember);
    return waiting.findIndex(isMember) === index ? [{ kind: 'gang', members }] : [];
  });
}

function putWait(pass: PlacementPass, task: string, wait: PlaceWait): PlacementPass {
  return { ...pass, state: { ...pass.state, waits: pass.state.waits.set(task, wait) } };
}

/** Advances a wait, with the worker that the pass keeps for it. Moves belong to one worker. */
function settleWait(
  pass: PlacementPass,
  { task, wait }: WaitingTask,
  event: WaitEvent,
): PlacementPass {
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
  const found = makeRoomByMoves(pass, search);
  if (found === undefined) return undefined;
  const settled = settleWait(found.pass, waiting, 'clear');
  const cleared = settled.state.waits.get(task) ?? wait;
  return putWait(settled, task, { ...cleared, moves: found.moves });
}

function giveUp(pass: PlacementPass, waiting: WaitingTask): PlacementPass {
  return settleWait(pass, waiting, 'lose');
}

/** Gives up after the stage was searched in vain. */
function giveUpSearch(pass: PlacementPass, waiting: WaitingTask, nowMs: number): PlacementPass {
  return giveUp(pass, { ...waiting, wait: { ...waiting.wait, soughtAtMs: nowMs } });
}

/** Gives up after moves were sought in vain. */
function giveUpMoves(pass: PlacementPass, waiting: WaitingTask, nowMs: number): PlacementPass {
  const wait = { ...waiting.wait, movesSoughtAtMs: nowMs };
  return giveUpSearch(pass, { ...waiting, wait }, nowMs);
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
  if (hopeless.has(key)) return { ...search, pass: giveUpSearch(pass, waiting, nowMs) };
  if (searchesLeft === 0) return { ...search, pass: giveUp(pass, waiting) };
  const searched = { ...search, searchesLeft: searchesLeft - 1 };
  const mayClear = !isBackingOff(pass, waiting.task, nowMs);
  const kept = keepNewPlace(pass, waiting, mayClear, nowMs);
  if (kept !== undefined) return { ...searched, pass: kept };
  const inVain = { ...searched, hopeless: new Set([...hopeless, key]) };
  // Without a move search left, the task is not hopeless: the next pass may find moves for it.
  if (!isMoveDue(waiting, nowMs)) return { ...inVain, pass: giveUpSearch(pass, waiting, nowMs) };
  if (moveSearchesLeft === 0) return { ...searched, pass: giveUpSearch(pass, waiting, nowMs) };
  const moved = movePlace(pass, waiting, nowMs);
  const left = moveSearchesLeft - 1;
  return moved === undefined
    ? { ...inVain, moveSearchesLeft: left, pass: giveUpMoves(pass, waiting, nowMs) }
    : { ...searched, moveSearchesLeft: left, pass: moved };
}

function placeUnitTask(search: Search, waiting: WaitingTask, nowMs: number): Search {
  const { pass, full, searchesLeft, isCrowded } = search;
  const { task, wait, candidate } = waiting;
  const key = searchKey(candidate);
  const isReady = !isBackingOff(pass, task, nowMs);
  // Anywhere else a moved task would be in the way of the one that it makes room for.
  const onlyKept = wait.workerKey !== undefined && (wait.isMoved || isCrowded);
  const mayClaim = onlyKept || (!full.has(key) && searchesLeft > 0);
  const claimed = mayClaim ? claimPlace(pass, waiting, onlyKept, nowMs) : undefined;
  if (claimed !== undefined) return { ...search, pass: claimed };
  const searched: Search =
    mayClaim && isReady && !onlyKept
      ? { ...search, full: new Set([...full, key]), searchesLeft: searchesLeft - 1 }
      : search;
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
  return members.reduce(
    (current, member) =>
      isMoveDue(member, nowMs)
        ? giveUpMoves(current, member, nowMs)
        : giveUpSearch(current, member, nowMs),
    pass,
  );
}

function placeUnit(search: Search, unit: PlacementUnit, nowMs: number): Search {
  switch (unit.kind) {
    case 'task':
      return placeUnitTask(search, unit.task, nowMs);
    case 'gang':
      return { ...search, pass: placeUnitGang(search.pass, unit.members, nowMs) };
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

/**
 * Orders tasks of equal rank by the last search that found them no place. In the order of their waits,
 * the same ones would use up the searches of each pass, and those behind them would wait without end.
 */
function inTurn(waiting: readonly WaitingTask[]): readonly WaitingTask[] {
  const soughtAtMs = ({ wait }: WaitingTask): number =>
    wait.phase === 'searching' ? (wait.soughtAtMs ?? -Infinity) : -Infinity;
  return waiting.toSorted((left, right) =>
    compareRanks(
      [placeRank(left.wait), soughtAtMs(left)],
      [placeRank(right.wait), soughtAtMs(right)],
    ),
  );
}

/**
 * Places the lasting tasks that have run and wait, the one that is away longest first. Those that find
 * no room keep a place that becomes free or is made free. When more wait than a pass can search for,
 * they take turns.
 */
export function placeReturning(
  pass: PlacementPass,
  waiting: readonly WaitingTask[],
  nowMs: number,
): PlacementPass {
  const searches = maxSearches(pass.loads.size);
  const mayRunOut = waiting.length * SEARCHES_PER_TASK > searches;
  const search: Search = {
    pass,
    full: new Set(),
    hopeless: new Set(),
    searchesLeft: searches,
    moveSearchesLeft: MAX_MOVE_SEARCHES,
    isCrowded: waiting.length > searches,
  };
  const { pass: placed } = unitsOf(mayRunOut ? inTurn(waiting) : waiting).reduce(
    (current, unit) => placeUnit(current, unit, nowMs),
    search,
  );
  return startMoves(placed, nowMs);
}
