import { Set } from 'immutable';
import type { Job, Resources } from '@bronzeyoke/types';
import { NO_RESOURCES, addResources, subtractResources } from '@bronzeyoke/types';
import type { TaskPhase } from './chart';
import type { BatchState, JobRecord, TaskRecord } from './types';

const ON_WORKER_PHASES: ReadonlySet<TaskPhase> = new globalThis.Set<TaskPhase>([
  'claimed',
  'unconfirmed',
  'running',
  'evicting',
  'stopping',
]);
const RESERVING_PHASES: ReadonlySet<TaskPhase> = new globalThis.Set<TaskPhase>([
  'offered',
  'claiming',
  ...ON_WORKER_PHASES,
]);
const ENDED_PHASES: ReadonlySet<TaskPhase> = new globalThis.Set<TaskPhase>([
  'finished',
  'cancelled',
  'parked',
]);

/** Returns whether the task may run on a worker according to its row. */
export function isOnWorker(task: TaskRecord): boolean {
  return ON_WORKER_PHASES.has(task.phase);
}

/** Returns whether the task is finished, cancelled or parked, and changes only on request. */
export function isEnded(task: TaskRecord): boolean {
  return ENDED_PHASES.has(task.phase);
}

/** Returns the resources that a team has reserved. */
export function usageOf(state: BatchState, team: string): Resources {
  return state.usage.get(team) ?? NO_RESOURCES;
}

function reservedBy(task: TaskRecord | undefined): Resources {
  return task !== undefined && RESERVING_PHASES.has(task.phase)
    ? (task.claim?.reserved ?? NO_RESOURCES)
    : NO_RESOURCES;
}

function workerOf(task: TaskRecord | undefined): string | undefined {
  return task !== undefined && isOnWorker(task) ? task.claim?.worker : undefined;
}

function withUsage(
  state: BatchState,
  team: string,
  before: TaskRecord | undefined,
  after: TaskRecord | undefined,
): BatchState {
  const released = reservedBy(before);
  const added = reservedBy(after);
  if (released === added) return state;
  const used = addResources(subtractResources(usageOf(state, team), released), added);
  return { ...state, usage: state.usage.set(team, used) };
}

function withWorker(
  state: BatchState,
  key: string,
  before: string | undefined,
  after: string | undefined,
): BatchState {
  if (before === after) return state;
  const removed =
    before === undefined
      ? state.byWorker
      : state.byWorker.update(before, Set<string>(), (tasks) => tasks.delete(key));
  const byWorker =
    after === undefined ? removed : removed.update(after, Set<string>(), (tasks) => tasks.add(key));
  return {
    ...state,
    byWorker:
      before !== undefined && byWorker.get(before)?.isEmpty() === true
        ? byWorker.delete(before)
        : byWorker,
  };
}

function withJobCounts(
  state: BatchState,
  job: JobRecord,
  before: TaskRecord | undefined,
  after: TaskRecord,
  nowMs: number,
): BatchState {
  const { index } = after.id;
  const pending = after.phase === 'pending' ? job.pending.add(index) : job.pending.delete(index);
  const wasEnded = before !== undefined && isEnded(before) ? 1 : 0;
  const endedCount = job.endedCount - wasEnded + (isEnded(after) ? 1 : 0);
  if (pending === job.pending && endedCount === job.endedCount) return state;
  const { endedAtMs, ...rest } = job;
  const isComplete = endedCount >= job.job.taskCount;
  const next: JobRecord = {
    ...rest,
    pending,
    endedCount,
    ...(isComplete ? { endedAtMs: endedAtMs ?? nowMs } : {}),
  };
  return { ...state, jobs: state.jobs.set(job.job.jobId, next) };
}

/** Stores a task, and updates the usage, the index by worker and the counts of its job. */
export function putTask(state: BatchState, task: TaskRecord, nowMs: number): BatchState {
  const before = state.tasks.get(task.key);
  const job = state.jobs.get(task.id.jobId);
  const stored = { ...state, tasks: state.tasks.set(task.key, task) };
  if (job === undefined) return stored;
  const used = withUsage(stored, job.job.team, before, task);
  const placed = withWorker(used, task.key, workerOf(before), workerOf(task));
  return withJobCounts(placed, job, before, task, nowMs);
}

/** Removes a job with its tasks. */
export function dropJob(state: BatchState, jobId: string): BatchState {
  const job = state.jobs.get(jobId);
  if (job === undefined) return state;
  const tasks = Array.from({ length: job.taskTotal }, (_, index) =>
    state.tasks.get(`${jobId}/${index}`),
  ).flatMap((task) => task ?? []);
  const emptied = tasks.reduce((done, task) => {
    const used = withUsage(done, job.job.team, task, undefined);
    return withWorker(used, task.key, workerOf(task), undefined);
  }, state);
  const offerIds = tasks.flatMap((task) => task.claim?.offerId ?? []);
  return {
    ...emptied,
    jobs: emptied.jobs.delete(jobId),
    tasks: emptied.tasks.deleteAll(tasks.map((task) => task.key)),
    offers: emptied.offers.deleteAll(offerIds),
  };
}

/** Creates the record of a job before its tasks are known. */
export function createJobRecord(
  job: Job,
  shard: number,
  conditionKey: string,
  version: number,
  nowMs: number,
): JobRecord {
  const counts = { taskTotal: job.taskCount, endedCount: 0 };
  const pending = Set<number>();
  return { job, shard, conditionKey, version, ...counts, pending, waitingSinceMs: nowMs };
}
