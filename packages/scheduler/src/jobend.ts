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

/** How a job ended. */
export type JobEnd =
  | { readonly outcome: Exclude<JobOutcome, 'failed'> }
  | { readonly outcome: 'failed'; readonly failure: JobFailure };

/** Ends a job and stops its runs. They occupy their workers until these no longer list them. */
export function endJob(
  state: SchedulerState,
  jobId: string,
  end: JobEnd,
  wallMs: number,
): SchedulerStep {
  const open = state.jobs.get(jobId);
  if (open === undefined || open.progress.outcome !== undefined) return unchanged(state);
  const assigned = assignedSlots(open.progress).flatMap(([slot]) => {
    const task = `${jobId}.${slot}`;
    const run = state.runs.byTask.get(task);
    return run === undefined ? [] : [[task, run] as const];
  });
  const orphans = orphansOf(assigned);
  const ended = { ...open, progress: { ...open.progress, ...end, endedAtMs: wallMs } };
  const next = putJob(
    {
      ...state,
      runs: dropRuns(
        state.runs,
        assigned.map(([task]) => task),
      ),
      orphans: orphans.reduce((table, orphan) => putRun(table, orphan.task, orphan), state.orphans),
    },
    jobId,
    ended,
  );
  const stops = orphans.flatMap(({ task, workerKey, attempt }) =>
    sendToWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) }),
  );
  const ageMs = Math.round(wallMs - open.job.acceptedAtMs);
  return withEffects(next, [
    ...stops,
    logEffect('jobEnded', { job: jobId, ...end, queue: open.job.policy.queue, ageMs }),
  ]);
}
