import { advance } from '@bronzeyoke/chart';
import type { ReadResult, Row } from '@bronzeyoke/ports';
import type { Job } from '@bronzeyoke/types';
import { taskKey, unchanged, chainAll } from '@bronzeyoke/types';
import { sendAccess } from './call';
import { shardChart } from './chart';
import { jobOf, keys, taskIdOf, taskRowOf } from './keys';
import { cancelIfUnwanted, advanceTask } from './transition';
import { createJobRecord, putTask } from './records';
import { reservationOf } from './learn';
import { areWatchersKnown, watchersOf } from './watcher';
import type {
  BatchState,
  BatchStep,
  Claim,
  BatchContext,
  JobRecord,
  LoadProgress,
  ShardView,
  TaskRecord,
} from './types';

const PAGE_ROWS = 500;

function readPage(state: BatchState, shard: number, load: LoadProgress): BatchStep {
  const view = state.shards.get(shard);
  if (view === undefined) return unchanged(state);
  const shards = state.shards.set(shard, { ...view, load: { ...load, isReading: true } });
  const prefix = load.stage === 'jobs' ? `job/${shard}/` : `task/${shard}/`;
  return sendAccess(
    { ...state, shards },
    { kind: 'load', shard, version: view.version },
    { kind: 'scan', prefix, afterKey: load.afterKey, limit: PAGE_ROWS },
  );
}

/** Starts to read the rows of a shard that this entry has just taken. */
export function startLoad(state: BatchState, shard: number): BatchStep {
  const load = { stage: 'jobs', afterKey: '', jobs: [], tasks: [], isReading: false } as const;
  return readPage(state, shard, load);
}

/** Resumes loads that stopped because the table was unavailable. */
export function resumeLoads(state: BatchState): BatchStep {
  const stopped = [...state.shards.values()].flatMap(({ shard, load }) =>
    load !== undefined && !load.isReading ? [{ shard, load }] : [],
  );
  return chainAll(
    state,
    stopped.map(
      ({ shard, load }) =>
        (from) =>
          readPage(from, shard, load),
    ),
  );
}

function recoverClaim(
  state: BatchState,
  job: Job,
  worker: string,
  offerId: string,
  nowMs: number,
): Claim {
  const reserved = reservationOf(state.learned, job.workKind, job.declared, undefined);
  const times = { offeredAtMs: nowMs, acceptedAtMs: nowMs, committedAtMs: nowMs };
  const agentId = state.agentByWorker.get(worker) ?? '';
  const domain = state.candidates.get(agentId)?.profile.domain ?? '';
  return { offerId, worker, domain, reserved, ...times };
}

/** Builds a task from its row. A claimed one is unconfirmed: it may or may not have started. */
function taskFromRow(
  state: BatchState,
  job: JobRecord,
  index: number,
  row: Row | undefined,
  nowMs: number,
): TaskRecord {
  const id = { jobId: job.job.jobId, index };
  const value = taskRowOf(row);
  const base: TaskRecord = {
    key: taskKey(id),
    id,
    shard: job.shard,
    phase: 'pending',
    phaseSinceMs: nowMs,
    epoch: value?.epoch ?? 0,
    rowVersion: row?.version ?? 0,
    failedOn: [],
    failures: 0,
    notBeforeMs: 0,
  };
  if (value === undefined) return base;
  const { state: saved } = value;
  const checkpoint =
    'checkpointRef' in saved && saved.checkpointRef !== undefined
      ? { checkpointRef: saved.checkpointRef }
      : {};
  return saved.kind === 'claimed'
    ? {
        ...base,
        ...checkpoint,
        phase: 'unconfirmed',
        claim: recoverClaim(state, job.job, saved.worker, saved.claimToken, nowMs),
      }
    : {
        ...base,
        ...checkpoint,
        phase: saved.kind,
        ...(saved.kind === 'parked' ? { parkReason: saved.reason } : {}),
      };
}

/** Adds a job with all of its tasks, or applies the changes of a known job. */
export function addJob(
  state: BatchState,
  record: JobRecord,
  rows: ReadonlyMap<string, Row>,
  context: BatchContext,
): BatchStep {
  const known = state.jobs.get(record.job.jobId);
  const { job, version } = record;
  const count = Math.max(job.taskCount, known?.taskTotal ?? 0);
  const merged = { ...(known ?? record), job, version, taskTotal: count };
  const stored = { ...state, needsScheduling: true, jobs: state.jobs.set(job.jobId, merged) };
  const indices = Array.from({ length: count }, (_, index) => index);
  const filled = indices.reduce((from, index) => {
    if (from.tasks.has(taskKey({ jobId: job.jobId, index }))) return from;
    const row = rows.get(keys.task(record.shard, { jobId: job.jobId, index }));
    return putTask(from, taskFromRow(from, merged, index, row, context.nowMs), context.nowMs);
  }, stored);
  const isShrunk = job.cancelled || count > job.taskCount;
  return chainAll(
    filled,
    isShrunk
      ? indices.map(
          (index) => (from) =>
            cancelIfUnwanted(from, taskKey({ jobId: job.jobId, index }), context),
        )
      : [],
  );
}

/** Stops a load; the next poll resumes it after the last page that was read. */
function stopLoad(state: BatchState, view: ShardView, load: LoadProgress): BatchState {
  const stopped = { ...view, load: { ...load, isReading: false } };
  return { ...state, shards: state.shards.set(view.shard, stopped) };
}

function finishLoad(
  state: BatchState,
  shard: number,
  load: LoadProgress,
  context: BatchContext,
): BatchStep {
  const view = state.shards.get(shard);
  if (view === undefined) return unchanged(state);
  const { load: done, ...rest } = view;
  const { state: phase } = advance(shardChart, view.phase, 'loaded');
  const owned = { ...state, shards: state.shards.set(shard, { ...rest, phase }) };
  const rows = new Map(load.tasks.map((row) => [row.key, row]));
  const jobs = load.jobs.flatMap((row) => {
    const job = jobOf(row);
    return job === undefined
      ? []
      : [createJobRecord(job, shard, row.key, row.version, context.nowMs)];
  });
  const jobIds = new Set(jobs.map((record) => record.job.jobId));
  // Watchers have task rows without a job row, so loading them needs their configuration.
  const orphans = load.tasks.filter((row) => !jobIds.has(taskIdOf(row.key)?.jobId ?? ''));
  if (!areWatchersKnown(orphans, context)) return unchanged(stopLoad(state, view, load));
  const step = chainAll(owned, [
    ...jobs.map((record) => (from: BatchState) => addJob(from, record, rows, context)),
    ...watchersOf(shard, orphans, context).map(
      (record) => (from: BatchState) => addJob(from, record, rows, context),
    ),
  ]);
  const unconfirmed = [...step.state.tasks.values()].filter(
    (task) => task.shard === shard && task.phase === 'unconfirmed',
  );
  const synced = chainAll(
    step.state,
    unconfirmed.map((task) => (from) => advanceTask(from, task.key, 'sync', {}, context)),
  );
  return { state: synced.state, effects: [...step.effects, ...synced.effects] };
}

/** Continues a load with a page that was read. */
export function onPageRead(
  state: BatchState,
  shard: number,
  version: number,
  result: ReadResult,
  context: BatchContext,
): BatchStep {
  const view = state.shards.get(shard);
  if (view?.load === undefined || view.version !== version) return unchanged(state);
  const { load } = view;
  if (result.kind === 'unavailable') return unchanged(stopLoad(state, view, load));
  const last = result.rows.at(-1);
  const read: LoadProgress =
    load.stage === 'jobs'
      ? { ...load, jobs: [...load.jobs, ...result.rows] }
      : { ...load, tasks: [...load.tasks, ...result.rows] };
  if (last !== undefined && result.rows.length === PAGE_ROWS) {
    return readPage(state, shard, { ...read, afterKey: last.key });
  }
  return load.stage === 'jobs'
    ? readPage(state, shard, { ...read, stage: 'tasks', afterKey: '' })
    : finishLoad(state, shard, { ...read, afterKey: last?.key ?? load.afterKey }, context);
}
