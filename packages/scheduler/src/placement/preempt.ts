import type { Map } from 'immutable';
import type { Candidate, WorkerLoad } from '@bronzeyoke/placement';
import { bestCandidate, findCandidates, updateCandidate, withTask } from '@bronzeyoke/placement';
import { taskProgress } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import type { PlacementPass } from './pass';
import { effectsOf, loadsOfService, siblingCounter, spend } from './pass';
import { PREEMPTION_WORK } from './passbudget';
import { runsOn } from '../runs';
import type { StageSearch } from './search';
import type { SchedulerState } from '../types';
import type { OpenJob, RunView } from '../views';

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

/** Returns the workers with filling tasks of less urgent jobs, without the memory of these. */
function loadsWithoutFills(
  pass: PlacementPass,
  open: OpenJob,
  priority: number,
): readonly WorkerLoad[] {
  return loadsOfService(pass, open).flatMap((load) => {
    const fills = fillsOn(pass.state, load.workerKey, priority);
    return fills.length === 0 ? [] : [withMemory(load, -memoryOf(fills))];
  });
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

/** A pass, with the workers that have room for a task once filling tasks are stopped. */
interface Preemption extends StageSearch {
  readonly candidates: readonly Candidate[];
}

/**
 * Reserves workers for tasks that lack only memory held by less urgent filling tasks, and adds these
 * to the tasks to stop. A later pass places the tasks once the stopped ones have ended. Returns the tasks
 * for which no worker is left.
 */
export function preemptFills(
  pass: PlacementPass,
  { jobId, ready, priority }: StageCandidate,
  slots: readonly string[],
): StageSearch {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || slots.length === 0) return { pass, left: [] };
  const { stage } = ready;
  const effects = effectsOf(pass);
  const constraints = { siblingCount: siblingCounter(pass, open, ready) };
  const loads = loadsWithoutFills(pass, open, priority);
  const first = {
    pass: spend(pass, pass.loads.size * PREEMPTION_WORK),
    left: [],
    candidates: findCandidates(stage, loads, effects, constraints),
  };
  return slots.reduce<Preemption>((current, slot, index) => {
    if (current.left.length > 0) return current;
    const { failedOn } = taskProgress(open.progress, slot);
    const chosen = bestCandidate(current.candidates, failedOn)?.load;
    const load = chosen === undefined ? undefined : current.pass.loads.get(chosen.workerKey);
    if (chosen === undefined || load === undefined) {
      return { ...current, left: slots.slice(index) };
    }
    const reserved = withTask(load, stage);
    const stops = fillsToStop(pass.state, reserved, priority, current.pass.stops);
    const { candidates } = current;
    const taken = withTask(chosen, stage);
    return {
      left: current.left,
      pass: {
        ...current.pass,
        loads: current.pass.loads.set(chosen.workerKey, reserved),
        stops: current.pass.stops.merge(stops.map((task) => [task, 'preempted'])),
      },
      candidates: updateCandidate(candidates, stage, taken, effects, constraints),
    };
  }, first);
}
