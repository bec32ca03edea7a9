import type { Write } from '@bronzeyoke/ports';
import { taskKey } from '@bronzeyoke/types';
import { keys } from './keys';
import { queuePart } from './transition';
import { dropJob } from './records';
import type { BatchState, Context, JobRecord } from './types';

/** Ended jobs are kept this long, so that a caller can look them up and repeat their key. */
const RETENTION_MS = 3 * 86_400_000;
const MAX_ENDED_JOBS = 2_000;
const MAX_RETIRED_AT_ONCE = 20;
const ROWS_PER_PART = 90;

function isRetirable(record: JobRecord): boolean {
  return record.job.role === 'batch' && record.endedAtMs !== undefined;
}

function deletesOf(state: BatchState, record: JobRecord): readonly Write[] {
  const { job, shard } = record;
  const rows = Array.from({ length: record.taskTotal }, (_, index) => ({
    jobId: job.jobId,
    index,
  })).filter((id) => (state.tasks.get(taskKey(id))?.rowVersion ?? 0) > 0);
  // The job goes last, so that a stop in between leaves no task rows without a job.
  return [
    ...rows.map((id) => keys.task(shard, id)),
    keys.jobKey(job.team, job.key),
    keys.job(shard, job.jobId),
  ].map((key) => ({ kind: 'delete', key }));
}

function retireJob(state: BatchState, record: JobRecord): BatchState {
  const view = state.shards.get(record.shard);
  if (view?.phase !== 'owned') return state;
  const deletes = deletesOf(state, record);
  const count = Math.ceil(deletes.length / ROWS_PER_PART);
  const conditions = [{ key: keys.shard(record.shard), version: view.version }];
  const planned = Array.from({ length: count }, (_, index) =>
    deletes.slice(index * ROWS_PER_PART, (index + 1) * ROWS_PER_PART),
  ).reduce(
    (from, writes) => queuePart(from, { kind: 'cleanUp' }, { conditions, writes }).state,
    state,
  );
  return dropJob(planned, record.job.jobId);
}

/** Deletes the rows of jobs that ended long ago, or that are too many. */
export function retireJobs(state: BatchState, context: Context): BatchState {
  const ended = [...state.jobs.values()]
    .filter(isRetirable)
    .sort((left, right) => (left.endedAtMs ?? 0) - (right.endedAtMs ?? 0));
  const surplus = ended.length - MAX_ENDED_JOBS;
  return ended
    .filter(
      (record, index) =>
        index < surplus || context.nowMs - (record.endedAtMs ?? context.nowMs) > RETENTION_MS,
    )
    .slice(0, MAX_RETIRED_AT_ONCE)
    .reduce(retireJob, state);
}
