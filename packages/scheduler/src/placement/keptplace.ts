import { Map } from 'immutable';
import { without } from '@bronzeyoke/types';
import { taskProgress } from '@bronzeyoke/workflow';
import type { PlacementPass } from './pass';
import { isBackingOff, placeTask } from './pass';
import type { PlaceWait, WaitEvent } from './placewait';
import { advanceWait } from './placewait';
import type { Vacancy } from './reserve';
import { clearVacancy, findVacancy, keptVacancy, reserveRoom, slotOf } from './reserve';
import type { WaitingTask } from './waits';

/** Time after which the runs that keep a lasting task from its reserved place are stopped. */
export const MAX_DRAIN_MS = 2_500;

/** Time after which other tasks are stopped or moved. */
export const CLEAR_AFTER_MS = 1_000;

export function putWait(pass: PlacementPass, task: string, wait: PlaceWait): PlacementPass {
  return { ...pass, state: { ...pass.state, waits: pass.state.waits.set(task, wait) } };
}

/** Advances a wait, with the worker that the pass keeps for it. Moves belong to one worker. */
export function settleWait(
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
export function keepKnownPlace(
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
export function keepNewPlace(
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

export function giveUp(pass: PlacementPass, waiting: WaitingTask): PlacementPass {
  return settleWait(pass, waiting, 'lose');
}

/** Leaves a task to a later pass, and goes on keeping its place without a look at it. */
export function leaveOut(pass: PlacementPass, waiting: WaitingTask, nowMs: number): PlacementPass {
  const { task, wait, candidate } = waiting;
  const left = { ...wait, leftOutSinceMs: wait.leftOutSinceMs ?? nowMs };
  const load = pass.loads.get(wait.workerKey ?? '');
  return load === undefined
    ? giveUp(pass, { ...waiting, wait: left })
    : putWait(reserveRoom(pass, task, load, candidate.ready.stage), task, left);
}

/** Claims a worker with room for a waiting task, or only a given one; undefined if there is none. */
export function claimPlace(
  pass: PlacementPass,
  waiting: WaitingTask,
  onlyWorkerKey: string | undefined,
  nowMs: number,
): PlacementPass | undefined {
  const { task, slot, candidate } = waiting;
  const { jobId, ready } = candidate;
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || isBackingOff(pass, task, nowMs)) return undefined;
  const attempt = 1 + taskProgress(open.progress, slot).attempt;
  const only = pass.loads.get(onlyWorkerKey ?? '');
  const loads = only === undefined ? pass.loads : Map([[only.workerKey, only]]);
  const placed = placeTask(pass, jobId, ready, slot, attempt, nowMs, { loads });
  if (placed === undefined) return undefined;
  // A task that fails or is refused after a claim is searched for, and does not come back to that worker.
  const wait = without(waiting.wait, 'formerAddress');
  return settleWait(placed, { ...waiting, wait }, 'claim');
}
