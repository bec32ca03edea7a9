import { Map } from 'immutable';
import { chainAll, unchanged } from '@bronzeyoke/types';
import { taskProgress, withTasks } from '@bronzeyoke/workflow';
import { stopRun } from '../placement/runorders';
import { recordFailure } from './ends';
import { runsOn } from '../runs';
import type { SchedulerState, SchedulerStep } from '../types';
import type { RunView } from '../views';

/** Shortest time without progress after which a running task is moved to another worker. */
const MIN_STALL_MS = 2_500;

/** Workers list progress in whole percent. */
const PERCENT_STEPS = 100;

/** A run may take this many times as long for a step as expected: estimates are rough. */
const STEP_SLACK = 4;

/** Limits the allowance of a task that is stopped again and again. */
const MAX_DOUBLINGS = 10;

function stallCount({ jobs }: SchedulerState, { jobId, slot }: RunView): number {
  return jobs.get(jobId)?.stalls?.get(slot) ?? 0;
}

/** Returns the expected time of one percent, by the declared run time and by the run's own progress. */
function stepMs({ stage, pace, percent, percentAtMs, listedAtMs }: RunView): number {
  const declaredMs = stage.estimateMs / PERCENT_STEPS / (pace / 100);
  const observedMs = percent > 0 ? (percentAtMs - listedAtMs) / percent : 0;
  return Math.max(declaredMs, observedMs);
}

/**
 * Returns the time without progress after which a run counts as stalled. It doubles with each stop, so
 * that a task whose declared run time is far too short gets done in the end.
 */
function stallMs(run: RunView, stalls: number): number {
  const allowedMs = Math.max(MIN_STALL_MS, STEP_SLACK * stepMs(run));
  return allowedMs * 2 ** Math.min(stalls, MAX_DOUBLINGS);
}

function isStalled(state: SchedulerState, run: RunView, nowMs: number): boolean {
  return (
    run.isListed &&
    !run.stage.isLasting &&
    run.pace > 0 &&
    run.stopSentAtMs === undefined &&
    nowMs - Math.max(run.percentAtMs, run.pacedAtMs) >= stallMs(run, stallCount(state, run))
  );
}

/** Counts a stall of a task, and marks its worker as one that the next run avoids. */
function noteStall(state: SchedulerState, run: RunView): SchedulerState {
  const open = state.jobs.get(run.jobId);
  if (open === undefined) return state;
  const task = { ...taskProgress(open.progress, run.slot), failedOn: run.workerKey };
  const progress = withTasks(open.progress, [[run.slot, task]]);
  const stalls = (open.stalls ?? Map<string, number>()).set(run.slot, stallCount(state, run) + 1);
  return { ...state, jobs: state.jobs.set(run.jobId, { ...open, progress, stalls }) };
}

/** Stops a worker's runs without progress, and counts each as a failure of the worker. */
export function stopStalledRuns(
  state: SchedulerState,
  workerKey: string,
  nowMs: number,
): SchedulerStep {
  const stalled = [...runsOn(state.runs, workerKey)].filter(([, run]) =>
    isStalled(state, run, nowMs),
  );
  return chainAll(
    state,
    stalled.flatMap(([task, run]) => [
      (current: SchedulerState) => unchanged(noteStall(current, run)),
      (current: SchedulerState) => stopRun(current, task, 'stalled', nowMs),
      (current: SchedulerState) => recordFailure(current, workerKey, run.jobId, nowMs),
    ]),
  );
}
