import type { Map } from 'immutable';
import type { WorkerLoad } from '@bronzeyoke/placement';
import { withTask } from '@bronzeyoke/placement';
import type { StageCandidate } from './candidates';
import type { PlacementPass } from './pass';
import { chooseWorkerFor } from './pass';
import { runsOn } from './runs';
import type { RunView, SchedulerState } from './types';

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
function loadsWithoutFills(
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
function fillsToStop(
  state: SchedulerState,
  load: WorkerLoad,
  priority: number,
  stopped: Map<string, unknown>,
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

/**
 * Reserves workers for tasks that lack only memory held by less urgent filling tasks, and adds these
 * to the tasks to stop. A later pass places the tasks once the stopped ones have ended.
 */
export function preemptFills(
  pass: PlacementPass,
  { jobId, ready, priority }: StageCandidate,
  slots: readonly string[],
): PlacementPass {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || slots.length === 0) return pass;
  const withoutFills = loadsWithoutFills(pass.state, pass.loads, priority);
  return slots.reduce<{
    readonly pass: PlacementPass;
    readonly withoutFills: PlacementPass['loads'];
    readonly isFull: boolean;
  }>(
    (current, slot) => {
      if (current.isFull) return current;
      const chosen = chooseWorkerFor(current.pass, open, ready, slot, current.withoutFills, false);
      const load = chosen === undefined ? undefined : current.pass.loads.get(chosen.workerKey);
      if (chosen === undefined || load === undefined) return { ...current, isFull: true };
      const { workerKey } = chosen;
      const reserved = withTask(load, ready.stage);
      const stops = fillsToStop(pass.state, reserved, priority, current.pass.stops);
      return {
        pass: {
          ...current.pass,
          loads: current.pass.loads.set(workerKey, reserved),
          stops: current.pass.stops.merge(stops.map((task) => [task, 'preempted'])),
        },
        withoutFills: current.withoutFills.set(workerKey, withTask(chosen, ready.stage)),
        isFull: false,
      };
    },
    { pass, withoutFills, isFull: false },
  ).pass;
}
