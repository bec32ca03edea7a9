import { chainAll, unchanged } from '@bronzeyoke/types';
import { taskProgress, withTasks } from '@bronzeyoke/workflow';
import { stopRun } from './pace';
import { recordFailure } from './release';
import { runsOn } from './runs';
import type { SchedulerState, SchedulerStep } from './types';
import type { RunView } from './views';

/** Time without progress after which a running task is moved to another worker. */
const STALL_MS = 2_500;

function isStalled(run: RunView, nowMs: number): boolean {
  return (
    run.isListed &&
    !run.stage.isLasting &&
    run.pace > 0 &&
    run.stopSentAtMs === undefined &&
    nowMs - Math.max(run.percentAtMs, run.pacedAtMs) >= STALL_MS
  );
}

/** Marks the worker of a run as one that the task's next run avoids. */
function avoidWorker(state: SchedulerState, run: RunView): SchedulerState {
  const open = state.jobs.get(run.jobId);
  if (open === undefined) return state;
  const task = { ...taskProgress(open.progress, run.slot), failedOn: run.workerKey };
  const progress = withTasks(open.progress, [[run.slot, task]]);
  return { ...state, jobs: state.jobs.set(run.jobId, { ...open, progress }) };
}

/** Stops a worker's runs without progress, and counts each as a failure of the worker. */
export function stopStalledRuns(
  state: SchedulerState,
  workerKey: string,
  nowMs: number,
): SchedulerStep {
  const stalled = [...runsOn(state.runs, workerKey)].filter(([, run]) => isStalled(run, nowMs));
  return chainAll(
    state,
    stalled.flatMap(([task, run]) => [
      (current: SchedulerState) => unchanged(avoidWorker(current, run)),
      (current: SchedulerState) => stopRun(current, task, 'stalled', nowMs),
      (current: SchedulerState) => recordFailure(current, workerKey, run.jobId, nowMs),
    ]),
  );
}
