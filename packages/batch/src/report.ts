import type { Resources, TaskId } from '@bronzeyoke/types';
import { addResources, assertNever, fitsIn, taskKey, unchanged } from '@bronzeyoke/types';
import type { TaskReport } from '@bronzeyoke/wire';
import { shardOfJob } from './keys';
import { hasSucceeded, learnPeak, learnRun } from './learn';
import type { TaskPatch } from './transition';
import { advanceTask } from './transition';
import { HEALTHY, countFailure, endProbe } from './quarantine';
import { isEnded, isOnWorker } from './records';
import type { BatchState, BatchStep, BatchContext, JobRecord, TaskRecord } from './types';

const MAX_FAILED_WORKERS = 3;
/** Bound for fleets with fewer than three workers. */
const MAX_FAILURES = 6;
const FIRST_RESTART_DELAY_MS = 1_000;
const MAX_RESTART_DELAY_MS = 60_000;
const GROWTH_FACTOR = 1.25;

function sendRecorded(state: BatchState, agentId: string, id: TaskId, epoch: number): BatchStep {
  return {
    state,
    effects: [{ kind: 'send', agentId, message: { kind: 'recorded', id, epoch } }],
  };
}

function sendStop(state: BatchState, agentId: string, id: TaskId, epoch: number): BatchStep {
  const message = { kind: 'stopTask', id, epoch, mode: 'cancel' } as const;
  return { state, effects: [{ kind: 'send', agentId, message }] };
}

/** Returns whether a report is about a task that is on its worker, not about its end. */
function isOngoing(report: TaskReport): boolean {
  return report.kind === 'started' || report.kind === 'checkpointed';
}

/** Adds a reservation to the free resources of its agent, until the agent reports them. */
function freeReservation(state: BatchState, task: TaskRecord): BatchState {
  if (task.claim === undefined) return state;
  const agentId = state.agentByWorker.get(task.claim.worker) ?? '';
  const candidate = state.candidates.get(agentId);
  if (candidate === undefined) return state;
  const free = addResources(candidate.free, task.claim.reserved);
  return { ...state, candidates: state.candidates.set(agentId, { ...candidate, free }) };
}

function recordSuccess(
  state: BatchState,
  task: TaskRecord,
  job: JobRecord,
  report: Extract<TaskReport, { readonly kind: 'finished' }>,
): BatchState {
  const { team, workKind } = job.job;
  const learned = learnPeak(
    learnRun(state.learned, team, workKind, report.runMs),
    workKind,
    report.peak,
  );
  const worker = task.claim?.worker;
  const health = worker === undefined ? state.health : state.health.delete(worker);
  return { ...state, learned, health };
}

function restartDelayMs(failures: number): number {
  return Math.min(MAX_RESTART_DELAY_MS, FIRST_RESTART_DELAY_MS * 2 ** Math.min(10, failures - 1));
}

function enlarge(peak: Resources): Resources {
  return {
    processorsMilli: Math.ceil(peak.processorsMilli * GROWTH_FACTOR),
    memoryMb: Math.ceil(peak.memoryMb * GROWTH_FACTOR),
    accelerators: peak.accelerators,
  };
}

function onFailed(
  state: BatchState,
  task: TaskRecord,
  job: JobRecord,
  report: Extract<TaskReport, { readonly kind: 'failed' }>,
  patch: TaskPatch,
  context: BatchContext,
): BatchStep {
  const { worker = '', reserved } = task.claim ?? {};
  // A task that exceeded its reservation did not fail; it needs a larger one.
  if (reserved !== undefined && !fitsIn(report.peak, reserved)) {
    const learned = learnPeak(state.learned, job.job.workKind, report.peak);
    const floor = enlarge(report.peak);
    return advanceTask({ ...state, learned }, task.key, 'release', { ...patch, floor }, context);
  }
  const { team, workKind, role } = job.job;
  const succeedsElsewhere = hasSucceeded(state.learned, team, workKind);
  const health = countFailure(
    state.health.get(worker) ?? HEALTHY,
    { workKind, succeedsElsewhere },
    context.nowMs,
  );
  const updated = { ...state, health: state.health.set(worker, health) };
  const failures = task.failures + 1;
  const failedOn = [...new Set([...task.failedOn, worker])];
  // Quarantined workers fail any task, so their failures do not count against this one.
  const counted = failedOn.filter((name) => updated.health.get(name)?.quarantine === undefined);
  const failsEverywhere = counted.length >= MAX_FAILED_WORKERS || failures >= MAX_FAILURES;
  const next = { ...patch, failures, failedOn };
  if (role === 'batch' && failsEverywhere) {
    const parkReason = { kind: 'failsEverywhere', failures } as const;
    return advanceTask(updated, task.key, 'park', { ...next, parkReason }, context);
  }
  const isWatcher = role === 'watcher';
  const notBeforeMs = isWatcher ? context.nowMs + restartDelayMs(failures) : 0;
  // After failures on the maximum number of workers a watcher may run on all of them again.
  const avoidedWorkers = isWatcher && failedOn.length >= MAX_FAILED_WORKERS ? [] : failedOn;
  return advanceTask(
    updated,
    task.key,
    'release',
    { ...next, failedOn: avoidedWorkers, notBeforeMs },
    context,
  );
}

function applyReport(
  state: BatchState,
  task: TaskRecord,
  job: JobRecord,
  agentId: string,
  report: TaskReport,
  context: BatchContext,
): BatchStep {
  const ref =
    'checkpointRef' in report && report.checkpointRef !== undefined
      ? { checkpointRef: report.checkpointRef }
      : {};
  const patch: TaskPatch = { reportedBy: agentId, ...ref };
  switch (report.kind) {
    case 'started':
      return advanceTask(state, task.key, 'start', {}, context);
    case 'checkpointed':
      return unchanged({ ...state, tasks: state.tasks.set(task.key, { ...task, ...ref }) });
    case 'finished': {
      const learned = recordSuccess(freeReservation(state, task), task, job, report);
      // A watcher is not meant to finish; one that does is started again.
      if (job.job.role === 'watcher') {
        const notBeforeMs = context.nowMs + restartDelayMs(task.failures + 1);
        const failures = task.failures + 1;
        const retryPatch = { ...patch, failures, notBeforeMs };
        return advanceTask(learned, task.key, 'release', retryPatch, context);
      }
      const { resultRef } = report;
      return advanceTask(learned, task.key, 'finish', { ...patch, resultRef }, context);
    }
    case 'failed':
      return onFailed(freeReservation(state, task), task, job, report, patch, context);
    case 'evicted':
    case 'notStarted':
    case 'stopped': {
      const { worker = '' } = task.claim ?? {};
      const health = state.health.get(worker);
      const evicted = report.kind === 'evicted' ? { evictedAtMs: context.nowMs } : {};
      const freed = freeReservation(state, task);
      const probed =
        health === undefined
          ? freed
          : { ...freed, health: freed.health.set(worker, endProbe(health)) };
      return advanceTask(probed, task.key, 'release', { ...patch, ...evicted }, context);
    }
    default:
      return assertNever(report);
  }
}

/** Handles a report of an agent. Reports are repeated until they are recorded, and may be late. */
export function onReport(
  state: BatchState,
  agentId: string,
  id: TaskId,
  epoch: number,
  report: TaskReport,
  context: BatchContext,
): BatchStep {
  const shard = state.shards.get(shardOfJob(id.jobId));
  // Only the owner of the shard answers. Until a new owner has loaded it, the agent repeats.
  if (shard?.phase !== 'owned') return unchanged(state);
  const task = state.tasks.get(taskKey(id));
  const job = state.jobs.get(id.jobId);
  if (task === undefined || job === undefined || epoch < task.epoch) {
    return isOngoing(report)
      ? sendStop(state, agentId, id, epoch)
      : sendRecorded(state, agentId, id, epoch);
  }
  if (epoch > task.epoch) return unchanged(state);
  if (isOnWorker(task)) {
    const worker = state.candidates.get(agentId)?.profile.worker;
    return worker === task.claim?.worker
      ? applyReport(state, task, job, agentId, report, context)
      : unchanged(state);
  }
  if (task.phase === 'pending' || isEnded(task)) {
    return isOngoing(report)
      ? sendStop(state, agentId, id, epoch)
      : sendRecorded(state, agentId, id, epoch);
  }
  // A transaction about this epoch is in progress; its end answers the repeated report.
  return unchanged(state);
}
