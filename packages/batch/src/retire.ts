import type { Write } from '@bronzeyoke/ports';
import { taskKey } from '@bronzeyoke/types';
import { keys } from './keys';
import { queuePart } from './transition';
import { dropJob } from './records';
import type { BatchState, BatchContext, JobRecord } from './types';

/** Retention of ended jobs, so that a caller can look them up and repeat their key. */
const RETENTION_MS = 3 * 86_400_000;
const MAX_ENDED_JOBS = 2_000;
const MAX_RETIRED_AT_ONCE = 20;
const ROWS_PER_PART = 90;

function isRetirable(record: JobRecord): boolean {
  return record.job.role === 'batch' && record.endedAtMs !== undefined;
}

function deleteWrites(state: BatchState, record: JobRecord): readonly Write[] {
  const { job, shard } = record;
  const taskIds = Array.from({ length: record.taskTotal }, (_, index) => ({
    jobId: job.jobId,
    index,
  })).filter((id) => (state.tasks.get(taskKey(id))?.rowVersion ?? 0) > 0);
  // The job is deleted last, so that a stop in between leaves no task rows without a job.
  return [
    ...taskIds.map((id) => keys.task(shard, id)),
    keys.jobKey(job.team, job.key),
    keys.job(shard, job.jobId),
  ].map((key) => ({ kind: 'delete', key }));
}

function retireJob(state: BatchState, record: JobRecord): BatchState {
  const view = state.shards.get(record.shard);
  if (view?.phase !== 'owned') return state;
  const deletes = deleteWrites(state, record);
  const count = Math.ceil(deletes.length / ROWS_PER_PART);
  const conditions = [{ key: keys.shard(record.shard), version: view.version }];
  const queued = Array.from({ length: count }, (_, index) =>
    deletes.slice(index * ROWS_PER_PART, (index + 1) * ROWS_PER_PART),
  ).reduce(
    (from, writes) => queuePart(from, { kind: 'cleanUp' }, { conditions, writes }).state,
    state,
  );
  return dropJob(queued, record.job.jobId);
}

/** Deletes the rows of ended jobs that exceed the retention time or the maximum number. */
export function retireJobs(state: BatchState, context: BatchContext): BatchState {
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
