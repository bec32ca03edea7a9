import { assertNever, without } from '@bronzeyoke/types';
import { fitsEmptyWorker, hasRoom } from '@bronzeyoke/placement';
import { taskProgress } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import type { PlacementPass } from './pass';
import { loadsOfService, placeGang, placeTask } from './pass';
import { makeRoomByMoves } from './relocate';
import type { PlacedSlot } from './reserve';
import { allowedLoads, clearVacancy, findVacancy, reserveRoom } from './reserve';
import { taskLog } from './tasklog';
import type { SchedulerEffect, SchedulerState } from './types';
import type { PlaceWait, WaitEvent, WaitingTask } from './waits';
import { advanceWait, startWait } from './waits';

/** Time after which the runs that keep a lasting task from its reserved place are stopped. */
const MAX_DRAIN_MS = 2_500;

/** Time after which tasks of other jobs are moved, and between two searches for such moves. */
const MOVE_AFTER_MS = 1_000;
const MOVE_SEARCH_MS = 500;

/** Time after which a wait is logged. */
const LOG_AFTER_MS = 1_000;

/** A task, or all members of a gang, to place in one decision. */
type PlacementUnit =
  | { readonly kind: 'task'; readonly task: WaitingTask }
  | { readonly kind: 'gang'; readonly members: readonly WaitingTask[] };

/** A pass, with the stages for which it has found no place. */
interface Search {
  readonly pass: PlacementPass;
  readonly hopeless: ReadonlySet<string>;
}

function stageKey({ jobId, ready }: StageCandidate): string {
  return `${jobId}.${ready.occurrence}.${ready.stageIndex}`;
}

function unitsOf(waiting: readonly WaitingTask[]): readonly PlacementUnit[] {
  return waiting.flatMap((task, index): readonly PlacementUnit[] => {
    const { candidate } = task;
    if (!candidate.ready.stage.isGang) return [{ kind: 'task', task }];
    const key = stageKey(candidate);
    const isMember = (other: WaitingTask): boolean => stageKey(other.candidate) === key;
    const members = waiting.filter(isMember);
    return waiting.findIndex(isMember) === index ? [{ kind: 'gang', members }] : [];
  });
}

function putWait(pass: PlacementPass, task: string, wait: PlaceWait): PlacementPass {
  return { ...pass, state: { ...pass.state, waits: pass.state.waits.set(task, wait) } };
}

function settleWait(
  pass: PlacementPass,
  { task, wait }: WaitingTask,
  event: WaitEvent,
): PlacementPass {
  const workerKey = pass.reservations.get(task);
  const settled = advanceWait(without(wait, 'workerKey', 'moves'), event);
  return putWait(pass, task, workerKey === undefined ? settled : { ...settled, workerKey });
}

function isBackingOff({ state }: PlacementPass, task: string, nowMs: number): boolean {
  return (state.backOff.get(task) ?? 0) > nowMs;
}

function slotOf(
  { state }: PlacementPass,
  { candidate, slot }: WaitingTask,
): PlacedSlot | undefined {
  const { jobId, ready, priority } = candidate;
  const open = state.jobs.get(jobId);
  return open === undefined ? undefined : { open, ready, slot, priority };
}

/** Keeps a place for a waiting task, and makes room there in time; undefined if there is none. */
function reservePlace(
  pass: PlacementPass,
  waiting: WaitingTask,
  nowMs: number,
): PlacementPass | undefined {
  const { task, slot, wait } = waiting;
  const target = slotOf(pass, waiting);
  if (target === undefined) return undefined;
  const { open, ready } = target;
  const { failedOn } = taskProgress(open.progress, slot);
  const vacancy = findVacancy(pass, target, wait.workerKey, failedOn, nowMs);
  if (vacancy === undefined) return undefined;
  const { stage } = ready;
  const isOverdue = nowMs - wait.sinceMs + vacancy.waitMs > MAX_DRAIN_MS;
  const kinds = isOverdue ? (['preemptible', 'temporary'] as const) : (['preemptible'] as const);
  const cleared = isBackingOff(pass, task, nowMs)
    ? pass
    : clearVacancy(pass, vacancy, stage.needs, kinds);
  const reserved = reserveRoom(cleared, task, vacancy.load, stage);
  return settleWait(reserved, waiting, isOverdue ? 'clear' : 'reserve');
}

/** Moves tasks of other jobs to make room for one that has waited; undefined if no move does. */
function movePlace(
  pass: PlacementPass,
  waiting: WaitingTask,
  nowMs: number,
): PlacementPass | undefined {
  const { task, wait } = waiting;
  const { sinceMs, movesSoughtAtMs = -Infinity, moves: planned = [], workerKey } = wait;
  const target = slotOf(pass, waiting);
  const awayMs = nowMs - sinceMs;
  const isDue = planned.length > 0 || nowMs - movesSoughtAtMs >= MOVE_SEARCH_MS;
  if (target === undefined || awayMs < MOVE_AFTER_MS || !isDue) return undefined;
  const isOverdue = awayMs > MOVE_AFTER_MS + MAX_DRAIN_MS;
  const search = { task, target, plannedKey: workerKey, planned, isOverdue, nowMs };
  const found = makeRoomByMoves(pass, search);
  if (found === undefined) return undefined;
  const settled = settleWait(found.pass, waiting, 'clear');
  const cleared = settled.state.waits.get(task) ?? wait;
  return putWait(settled, task, { ...cleared, moves: found.moves });
}

function giveUp(pass: PlacementPass, waiting: WaitingTask, nowMs: number): PlacementPass {
  const { wait } = waiting;
  const isSought = nowMs - wait.sinceMs >= MOVE_AFTER_MS;
  const isFresh = nowMs - (wait.movesSoughtAtMs ?? -Infinity) < MOVE_SEARCH_MS;
  const sought = isSought && !isFresh ? { ...wait, movesSoughtAtMs: nowMs } : wait;
  return settleWait(pass, { ...waiting, wait: sought }, 'lose');
}

function placeUnitTask(search: Search, waiting: WaitingTask, nowMs: number): Search {
  const { pass, hopeless } = search;
  const { task, slot, candidate } = waiting;
  const { jobId, ready } = candidate;
  const open = pass.state.jobs.get(jobId);
  const key = stageKey(candidate);
  if (open === undefined || hopeless.has(key))
    return { ...search, pass: giveUp(pass, waiting, nowMs) };
  const attempt = 1 + taskProgress(open.progress, slot).attempt;
  const placed = isBackingOff(pass, task, nowMs)
    ? undefined
    : placeTask(pass, jobId, ready, slot, attempt, nowMs);
  if (placed !== undefined) return { ...search, pass: settleWait(placed, waiting, 'claim') };
  const reserved = reservePlace(pass, waiting, nowMs) ?? movePlace(pass, waiting, nowMs);
  return reserved === undefined
    ? { pass: giveUp(pass, waiting, nowMs), hopeless: new Set([...hopeless, key]) }
    : { ...search, pass: reserved };
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
  const reserved = members.reduce<PlacementPass | undefined>(
    (current, member) =>
      current === undefined
        ? undefined
        : (reservePlace(current, member, nowMs) ?? movePlace(current, member, nowMs)),
    pass,
  );
  return reserved ?? members.reduce((current, member) => giveUp(current, member, nowMs), pass);
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
      const wait = startWait('moving', nowMs);
      return putWait(current, task, workerKey === undefined ? wait : { ...wait, workerKey });
    }, pass);
}

/**
 * Places the lasting tasks that have run and wait, the one that is away longest first. Those that find
 * no room keep a place that becomes free or is made free.
 */
export function placeReturning(
  pass: PlacementPass,
  waiting: readonly WaitingTask[],
  nowMs: number,
): PlacementPass {
  const search: Search = { pass, hopeless: new Set() };
  const { pass: placed } = unitsOf(waiting).reduce(
    (current, unit) => placeUnit(current, unit, nowMs),
    search,
  );
  return startMoves(placed, nowMs);
}

function describeWait(
  pass: PlacementPass,
  waiting: WaitingTask,
  wait: PlaceWait,
  nowMs: number,
): SchedulerEffect {
  const { task, candidate } = waiting;
  const { jobId, ready, priority } = candidate;
  const target = slotOf(pass, waiting);
  const { stage } = ready;
  const loads = target === undefined ? [] : loadsOfService(pass, target.open);
  const allowed = target === undefined ? [] : allowedLoads(pass, target);
  const fitting = loads.filter((load) => fitsEmptyWorker(stage, load));
  return taskLog(stage, 'placeAwaited', {
    job: jobId,
    task,
    priority,
    ...stage.needs,
    fitsEmpty: fitting.length,
    withRoom: fitting.filter((load) => hasRoom(stage, load)).length,
    belowLimit: allowed.filter((load) => hasRoom(stage, load)).length,
    awaitedMs: Math.round(nowMs - wait.sinceMs),
    plan: wait.phase,
    worker: wait.workerKey ?? '',
  });
}

/** Logs waits that have become long, and the ends of such waits. */
export function logWaits(
  pass: PlacementPass,
  waiting: readonly WaitingTask[],
  nowMs: number,
): { readonly state: SchedulerState; readonly effects: readonly SchedulerEffect[] } {
  const known = waiting.flatMap((task) => {
    const wait = pass.state.waits.get(task.task);
    return wait === undefined ? [] : [{ task, wait }];
  });
  const late = known.filter(
    ({ wait }) =>
      wait.phase !== 'claimed' && !wait.isLogged && nowMs - wait.sinceMs >= LOG_AFTER_MS,
  );
  const found = known.filter(({ wait }) => wait.phase === 'claimed' && wait.isLogged);
  const waits = pass.state.waits
    .merge(late.map(({ task, wait }) => [task.task, { ...wait, isLogged: true }]))
    .merge(found.map(({ task, wait }) => [task.task, { ...wait, isLogged: false }]));
  return {
    state: { ...pass.state, waits },
    effects: [
      ...late.map(({ task, wait }) => describeWait(pass, task, wait, nowMs)),
      ...found.map(({ task: { task, candidate }, wait }) =>
        taskLog(candidate.ready.stage, 'placeFound', {
          job: candidate.jobId,
          task,
          worker: pass.state.runs.byTask.get(task)?.workerKey ?? '',
          awaitedMs: Math.round(nowMs - wait.sinceMs),
        }),
      ),
    ],
  };
}
