import type { WorkerReport } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import { chainAll, unchanged } from '@bronzeyoke/types';
import type { RunRef } from '@bronzeyoke/wire';
import { taskProgress, withTasks } from '@bronzeyoke/workflow';
import { putRun } from '../runs';
import { putJob, withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';

function moveRun(
  state: SchedulerState,
  { task, attempt }: RunRef,
  earlier: readonly string[],
  workerKey: string,
  address: string,
): SchedulerStep {
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  const isMoved = run?.attempt === attempt && earlier.includes(run.workerKey);
  if (run === undefined || open === undefined || !isMoved) return unchanged(state);
  const stored = taskProgress(open.progress, run.slot);
  const moved = { ...stored, workerKey, workerAddress: address };
  // No order was sent to the later instance, so a list without the run means that it has ended.
  const runs = putRun(state.runs, task, { ...run, workerKey, order: 0, isOrdered: true });
  const progress = withTasks(open.progress, [[run.slot, moved]]);
  const fields = { job: run.jobId, task, attempt, worker: workerKey, before: run.workerKey };
  return withEffects(putJob({ ...state, runs }, run.jobId, { ...open, progress }), [
    logEffect('taskMoved', fields),
  ]);
}

/**
 * Assigns runs that a worker lists to it, as running or ended, when they are claimed for instances that its
 * report proves to have ended. A start order names the id of a worker only, so a later instance carries out
 * one that was on its way to an earlier one, and the agent that sent it may have ended meanwhile.
 */
export function moveListedRuns(
  state: SchedulerState,
  earlier: readonly string[],
  report: {
    readonly workerKey: string;
    readonly worker: WorkerReport;
  },
  listed: readonly RunRef[],
): SchedulerStep {
  const { workerKey, worker } = report;
  if (earlier.length === 0) return unchanged(state);
  return chainAll(
    state,
    listed.map(
      (run) => (current: SchedulerState) =>
        moveRun(current, run, earlier, workerKey, worker.address),
    ),
  );
}
