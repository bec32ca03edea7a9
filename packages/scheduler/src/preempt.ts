import type { Map } from 'immutable';
import type { WorkerLoad } from '@bronzeyoke/placement';
import type { RunView, SchedulerState } from './types';
import { runsOn } from './runs';

/** Name and run of a filling task. */
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

/** Returns the loads without the memory of filling tasks that belong to less urgent jobs. */
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
 * Returns the filling tasks to stop so that a worker's reserved memory fits its capacity again.
 * Tasks that save checkpoints come first, then the latest ones, because they lose the least work.
 */
export function fillsToStop(
  state: SchedulerState,
  load: WorkerLoad,
  priority: number,
  stopped: ReadonlySet<string>,
): readonly string[] {
  const fills = fillsOn(state, load.workerKey, priority);
  const isStopping = ([task, run]: Fill): boolean =>
    run.stopSentAtMs !== undefined || stopped.has(task);
  const missingMb =
    load.reserved.memoryMb - load.capacity.memoryMb - memoryOf(fills.filter(isStopping));
  const candidates = fills
    .filter((fill) => !isStopping(fill))
    .sort(
      ([, left], [, right]) =>
        Number(right.stage.savesCheckpoints) - Number(left.stage.savesCheckpoints) ||
        right.claimedAtMs - left.claimedAtMs,
    );
  return candidates.reduce<{ readonly tasks: readonly string[]; readonly remainingMb: number }>(
    (picked, [task, { stage }]) =>
      picked.remainingMb <= 0
        ? picked
        : {
            tasks: [...picked.tasks, task],
            remainingMb: picked.remainingMb - stage.needs.memoryMb,
          },
    { tasks: [], remainingMb: missingMb },
  ).tasks;
}
