import { logEffect } from '@bronzeyoke/telemetry';
import { unchanged } from '@bronzeyoke/types';
import type { JobFailure, JobOutcome } from '@bronzeyoke/workflow';
import { assignedSlots } from '@bronzeyoke/workflow';
import type { OrphanTable } from '../runs';
import { dropRuns, putRun, runKey } from '../runs';
import type { DecisiveEnd } from './openjob';
import { latencyFields } from './openjob';
import { putJob, sendToWorker, withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import { runRef } from '../types';
import type { OrphanRun, RunView } from '../views';

/** Returns the runs among these that may be at their workers. */
export function orphansOf(runs: readonly (readonly [string, RunView])[]): readonly OrphanRun[] {
  return runs
    .filter(([, run]) => run.isOrdered)
    .map(([task, { workerKey, attempt, order, stage }]) => ({
      task,
      workerKey,
      attempt,
      order,
      stage,
    }));
}

function runsOfTasks(
  state: SchedulerState,
  tasks: readonly string[],
): readonly (readonly [string, RunView])[] {
  return tasks.flatMap((task) => {
    const run = state.runs.byTask.get(task);
    return run === undefined ? [] : [[task, run] as const];
  });
}

/** Adds a run that occupies its worker although no open job wants it. */
export function addOrphan(table: OrphanTable, orphan: OrphanRun): OrphanTable {
  return putRun(table, runKey(orphan), orphan);
}

/** Takes runs from their jobs. They occupy their workers until these no longer list them. */
export function orphanRuns(state: SchedulerState, tasks: readonly string[]): SchedulerState {
  const runs = runsOfTasks(state, tasks);
  const known = runs.map(([task]) => task);
  return {
    ...state,
    runs: dropRuns(state.runs, known),
    orphans: orphansOf(runs).reduce(addOrphan, state.orphans),
  };
}

/** Takes runs from their jobs and stops them. */
export function abandonRuns(state: SchedulerState, tasks: readonly string[]): SchedulerStep {
  const orphans = orphansOf(runsOfTasks(state, tasks));
  const stops = orphans.flatMap(({ task, workerKey, attempt }) =>
    sendToWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) }),
  );
  return withEffects(orphanRuns(state, tasks), stops);
}

/** How a job ended. */
export type JobEnd =
  | { readonly outcome: Exclude<JobOutcome, 'failed'> }
  | { readonly outcome: 'failed'; readonly failure: JobFailure };

/** Ends a job and stops its runs. The log line tells where its time went if a task's end led to it. */
export function endJob(
  state: SchedulerState,
  jobId: string,
  end: JobEnd,
  wallMs: number,
  decisive?: DecisiveEnd,
): SchedulerStep {
  const open = state.jobs.get(jobId);
  if (open === undefined || open.progress.outcome !== undefined) return unchanged(state);
  const tasks = assignedSlots(open.progress).map(([slot]) => `${jobId}.${slot}`);
  const { state: stopped, effects } = abandonRuns(state, tasks);
  const ended = { ...open, progress: { ...open.progress, ...end, endedAtMs: wallMs } };
  const ageMs = Math.round(wallMs - open.job.acceptedAtMs);
  return withEffects(putJob(stopped, jobId, ended), [
    ...effects,
    logEffect('jobEnded', {
      job: jobId,
      ...end,
      queue: open.job.policy.queue,
      ageMs,
      ...(decisive === undefined ? {} : latencyFields(open, decisive)),
    }),
  ]);
}
