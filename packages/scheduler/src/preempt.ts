import type { Map } from 'immutable';
import type { WorkerLoad } from '@bronzeyoke/placement';
import type { RunView, SchedulerState } from './types';
import { runsOn } from './runs';

/** A task that fills a worker, by name. */
type Fill = readonly [task: string, run: RunView];

function fillsOn(state: SchedulerState, workerKey: string, priority: number): readonly Fill[] {
  return [...runsOn(state.runs, workerKey)].filter(([, { stage, jobId }]) => {
    const job = state.jobs.get(jobId)?.job;
    return stage.fillsIdle && job !== undefined && job.policy.priority > priority;
  });
}

function memoryOf(fills: readonly Fill[]): number {
  return fills.reduce((sum, [, { stage }]) => sum + stage.needs.memoryMb, 0);
}

function withMemory(load: WorkerLoad, addedMb: number): WorkerLoad {
  const { reserved } = load;
  return { ...load, reserved: { ...reserved, memoryMb: reserved.memoryMb + addedMb } };
}

/** Loads as they would be without the tasks that fill idle capacity for less urgent jobs. */
export function loadsWithoutFills(
  state: SchedulerState,
  loads: Map<string, WorkerLoad>,
  priority: number,
): Map<string, WorkerLoad> {
  return loads.map((load, workerKey) =>
    withMemory(load, -memoryOf(fillsOn(state, workerKey, priority))),
  );
}

/**
 * Filling tasks to stop so that a worker has memory again for tasks that are placed there beyond it.
 * Those that save checkpoints and those that began last lose least.
 */
export function fillsToStop(
  state: SchedulerState,
  load: WorkerLoad,
  priority: number,
  stopped: ReadonlySet<string>,
): readonly string[] {
  const fills = fillsOn(state, load.workerKey, priority);
  const isEnding = ([task, run]: Fill): boolean =>
    run.stopSentAtMs !== undefined || stopped.has(task);
  const missingMb =
    load.reserved.memoryMb - load.capacity.memoryMb - memoryOf(fills.filter(isEnding));
  const candidates = fills
    .filter((fill) => !isEnding(fill))
    .sort(
      ([, left], [, right]) =>
        Number(right.stage.savesCheckpoints) - Number(left.stage.savesCheckpoints) ||
        right.claimedAtMs - left.claimedAtMs,
    );
  return candidates.reduce<{ readonly tasks: readonly string[]; readonly leftMb: number }>(
    (picked, [task, { stage }]) =>
      picked.leftMb <= 0
        ? picked
        : { tasks: [...picked.tasks, task], leftMb: picked.leftMb - stage.needs.memoryMb },
    { tasks: [], leftMb: missingMb },
  ).tasks;
}
