import type { WorkerLoad } from '@bronzeyoke/placement';
import { hasRoom } from '@bronzeyoke/placement';
import type { Resources } from '@bronzeyoke/types';
import { fitsIn, subtractResources } from '@bronzeyoke/types';
import { parseTaskName, stageSlots } from '@bronzeyoke/workflow';
import type { PlacementPass } from './pass';
import { chooseWorkerFor } from './pass';
import type { PlacedSlot } from './reserve';
import { allowedLoads, isEnding, lastingShortage, reserveRoom } from './reserve';
import { runsOn } from './runs';
import type { OpenJob, RunView } from './types';

/** Workers that one search considers, those that lack the least first. */
const MAX_WORKERS = 16;

/** A lasting run that may be moved to another worker. */
interface MovableRun {
  readonly task: string;
  readonly run: RunView;
  readonly open: OpenJob;
}

function isAtWork(pass: PlacementPass, task: string): boolean {
  const run = pass.state.runs.byTask.get(task);
  return run !== undefined && run.isListed && run.percent === 100 && !isEnding(pass, task);
}

/** Returns whether so few other tasks of a run's stage are away that one more may be. */
function mayBeAway(pass: PlacementPass, task: string, { stage, jobId }: RunView): boolean {
  const ref = parseTaskName(task);
  if (ref === undefined) return false;
  const away = stageSlots(stage, ref.occurrence, ref.stageIndex)
    .map((slot) => `${jobId}.${slot}`)
    .filter((other) => other !== task && !isAtWork(pass, other));
  return away.length < (stage.maxUnavailable ?? 0);
}

function movableRuns(pass: PlacementPass, load: WorkerLoad): readonly MovableRun[] {
  const { runs, jobs } = pass.state;
  return [...runsOn(runs, load.workerKey)].flatMap(([task, run]): readonly MovableRun[] => {
    const { stage, jobId } = run;
    const open = jobs.get(jobId);
    const isMovable =
      stage.isLasting && !stage.isGang && isAtWork(pass, task) && mayBeAway(pass, task, run);
    if (open === undefined || !isMovable) return [];
    const hasOther = pass.loads.some(
      (other) => other.workerKey !== load.workerKey && hasRoom(stage, other),
    );
    return hasOther ? [{ task, run, open }] : [];
  });
}

/** Picks the smallest run that makes the room, or else the largest ones; undefined if all do not. */
function pickRuns(
  ascending: readonly MovableRun[],
  missing: Resources,
): readonly MovableRun[] | undefined {
  const single = ascending.find(({ run }) => fitsIn(missing, run.stage.needs));
  if (single !== undefined) return [single];
  const largest = ascending.at(-1);
  if (largest === undefined) return undefined;
  const rest = subtractResources(missing, largest.run.stage.needs);
  const others = pickRuns(ascending.slice(0, -1), rest);
  return others === undefined ? undefined : [largest, ...others];
}

/** Stops a run and keeps room for its task on another worker; undefined if none has room. */
function moveRun(
  pass: PlacementPass,
  { task, run, open }: MovableRun,
  fromKey: string,
): PlacementPass | undefined {
  const ref = parseTaskName(task);
  if (ref === undefined) return undefined;
  const { occurrence, stageIndex } = ref;
  const { stage, slot } = run;
  const ready = { occurrence, stageIndex, stage, slots: [slot] };
  const target = chooseWorkerFor(pass, open, ready, slot, pass.loads.delete(fromKey), false);
  if (target === undefined) return undefined;
  return reserveRoom({ ...pass, stops: pass.stops.set(task, 'moved') }, task, target, stage);
}

function moveAll(
  pass: PlacementPass,
  runs: readonly MovableRun[],
  fromKey: string,
): PlacementPass | undefined {
  return runs.reduce<PlacementPass | undefined>((current, movable) => {
    const isAllowed = current !== undefined && mayBeAway(current, movable.task, movable.run);
    return isAllowed ? moveRun(current, movable, fromKey) : undefined;
  }, pass);
}

/**
 * Makes room for a task on a worker by moving lasting tasks of other jobs to workers that have room
 * for them, as far as their stages allow tasks to be unavailable. Undefined if no move makes room.
 */
export function makeRoomByMoves(
  pass: PlacementPass,
  task: string,
  target: PlacedSlot,
  nowMs: number,
): PlacementPass | undefined {
  const { stage } = target.ready;
  const shortages = allowedLoads(pass, target)
    .map((load) => ({ load, missing: lastingShortage(pass, load, target, nowMs) }))
    .toSorted((left, right) => left.missing.processorsMilli - right.missing.processorsMilli)
    .slice(0, MAX_WORKERS);
  return shortages.reduce<PlacementPass | undefined>((found, { load, missing }) => {
    if (found !== undefined) return found;
    const ascending = movableRuns(pass, load).toSorted(
      (left, right) => left.run.stage.needs.processorsMilli - right.run.stage.needs.processorsMilli,
    );
    const runs = pickRuns(ascending, missing);
    const moved = runs === undefined ? undefined : moveAll(pass, runs, load.workerKey);
    return moved === undefined ? undefined : reserveRoom(moved, task, load, stage);
  }, undefined);
}
