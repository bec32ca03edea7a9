import { logEffect } from '@bronzeyoke/telemetry';
import { unchanged } from '@bronzeyoke/types';
import type { JobFailure, JobOutcome } from '@bronzeyoke/workflow';
import { assignedSlots } from '@bronzeyoke/workflow';
import { dropRuns, putRun } from './runs';
import { putJob, sendToWorker, withEffects } from './state';
import type { SchedulerState, SchedulerStep } from './types';
import { runRef } from './types';
import type { OrphanRun, RunView } from './views';

function orphansOf(runs: readonly (readonly [string, RunView])[]): readonly OrphanRun[] {
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

/** Stops runs that nothing waits for any more. They occupy their workers until these no longer list them. */
export function abandonRuns(state: SchedulerState, tasks: readonly string[]): SchedulerStep {
  const runs = tasks.flatMap((task) => {
    const run = state.runs.byTask.get(task);
    return run === undefined ? [] : [[task, run] as const];
  });
  const orphans = orphansOf(runs);
  const stops = orphans.flatMap(({ task, workerKey, attempt }) =>
    sendToWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) }),
  );
  return withEffects(
    {
      ...state,
      runs: dropRuns(
        state.runs,
        runs.map(([task]) => task),
      ),
      orphans: orphans.reduce((table, orphan) => putRun(table, orphan.task, orphan), state.orphans),
    },
    stops,
  );
}

/** How a job ended. */
export type JobEnd =
  | { readonly outcome: Exclude<JobOutcome, 'failed'> }
  | { readonly outcome: 'failed'; readonly failure: JobFailure };

/** Ends a job and stops its runs. */
export function endJob(
  state: SchedulerState,
  jobId: string,
  end: JobEnd,
  wallMs: number,
): SchedulerStep {
  const open = state.jobs.get(jobId);
  if (open === undefined || open.progress.outcome !== undefined) return unchanged(state);
  const tasks = assignedSlots(open.progress).map(([slot]) => `${jobId}.${slot}`);
  const { state: stopped, effects } = abandonRuns(state, tasks);
  const ended = { ...open, progress: { ...open.progress, ...end, endedAtMs: wallMs } };
  const ageMs = Math.round(wallMs - open.job.acceptedAtMs);
  return withEffects(putJob(stopped, jobId, ended), [
    ...effects,
    logEffect('jobEnded', { job: jobId, ...end, queue: open.job.policy.queue, ageMs }),
  ]);
}
