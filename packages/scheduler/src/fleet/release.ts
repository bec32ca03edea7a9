import type { Map } from 'immutable';
import type { WastedCause } from '@bronzeyoke/latency';
import type { EventFields } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, chainAll, unchanged, without } from '@bronzeyoke/types';
import type { RunRef } from '@bronzeyoke/wire';
import { advanceRun, taskProgress, withTasks } from '@bronzeyoke/workflow';
import { addressOf, dropInstance } from './identities';
import { lateRunsEndMs, lateStartsEndMs } from './latestarts';
import { leaseBasisFields } from './leasebasis';
import { rememberReleased } from './releasedruns';
import { taskTime } from '../jobs/openjob';
import type { PlaceWait } from '../placement/placewait';
import { startWait } from '../placement/placewait';
import { policyOf } from '../policy';
import { dropRun, dropRuns, runsOn } from '../runs';
import { putJob, withEffects } from '../state';
import { taskLog } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';
import type { RunView, WorkerView } from '../views';

/** Delay before a task is placed again that a worker refused. */
const REFUSAL_BACK_OFF_MS = 150;

/** Reasons to release a run whose end its worker did not list. */
export type ReleaseReason =
  | 'workerGone'
  | 'leaseExpired'
  | 'neverStarted'
  /** The agent had no connection when the claim was stored, and did not come back in time. */
  | 'notConnected'
  /** The run was stopped before the claim was stored. */
  | 'stoppedBeforeOrder'
  /** The worker's room became smaller between the claim and the order. */
  | 'roomShrunk'
  /** The worker's domain was evacuated between the claim and the order, or may have been. */
  | 'domainOut'
  | 'refused';

/** Returns what became of the time of a released run. */
function wastedCause(reason: ReleaseReason): WastedCause {
  switch (reason) {
    case 'workerGone':
    case 'leaseExpired':
      return 'lost';
    case 'neverStarted':
    case 'notConnected':
    case 'stoppedBeforeOrder':
    case 'roomShrunk':
    case 'domainOut':
    case 'refused':
      return 'notStarted';
    default:
      return assertNever(reason);
  }
}

/** Returns what a release rests on, for its log line. */
function evidenceOf(
  { workers }: SchedulerState,
  { workerKey, isListed, order }: RunView,
  reason: ReleaseReason,
  nowMs: number,
): EventFields {
  const view = workers.get(workerKey);
  const fields = {
    wasListed: isListed,
    ...(view?.reportedAtMs === undefined
      ? {}
      : { reportAgeMs: Math.round(nowMs - view.reportedAtMs) }),
  };
  switch (reason) {
    case 'neverStarted':
      return { ...fields, order };
    case 'leaseExpired':
      return view === undefined
        ? fields
        : {
            leaseEndedAgoMs: Math.round(nowMs - view.expiresAtMs),
            ...leaseBasisFields(view.leaseFrom, nowMs),
            ...fields,
          };
    case 'workerGone':
    case 'notConnected':
    case 'stoppedBeforeOrder':
    case 'roomShrunk':
    case 'domainOut':
    case 'refused':
      return fields;
    default:
      return assertNever(reason);
  }
}

/** Returns a task to placement. Callers have proof that its worker does not run it and never will. */
export function releaseRun(
  state: SchedulerState,
  task: string,
  reason: ReleaseReason,
  nowMs: number,
  evidence: EventFields = {},
): SchedulerStep {
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  if (run === undefined) return unchanged(state);
  if (open === undefined) return unchanged({ ...state, runs: dropRun(state.runs, task) });
  const { workerKey, attempt, jobId, slot } = run;
  const known = without(taskProgress(open.progress, slot), 'workerKey', 'workerAddress');
  const released = advanceRun(known, 'release');
  const time = taskTime(open, slot, { kind: 'released', cause: wastedCause(reason) }, nowMs);
  const next = putJob(
    {
      ...rememberReleased(state, task, run, reason, nowMs),
      runs: dropRun(state.runs, task),
      backOff:
        reason === 'refused' ? state.backOff.set(task, nowMs + REFUSAL_BACK_OFF_MS) : state.backOff,
    },
    jobId,
    { ...open, progress: withTasks(open.progress, [[slot, released]]), ...time },
  );
  return withEffects(next, [
    // Users keep the first 200 characters of a line.
    taskLog(run.stage, 'taskReleased', {
      reason,
      worker: workerKey,
      task,
      attempt,
      ...evidenceOf(state, run, reason, nowMs),
      ...evidence,
      claimedForMs: Math.round(nowMs - run.claimedAtMs),
      job: jobId,
    }),
  ]);
}

/** Returns the waits of released tasks with the address of their worker, to which they may return. */
function withFormerAddress(
  { settings, workers }: SchedulerState,
  waits: Map<string, PlaceWait>,
  tasks: readonly string[],
  workerKey: string,
): Map<string, PlaceWait> {
  const view = workers.get(workerKey);
  const formerAddress = view === undefined ? undefined : addressOf(view);
  if (!policyOf(settings).restoresPlaces || formerAddress === undefined) return waits;
  return tasks.reduce((known, task) => {
    const wait = known.get(task);
    return wait === undefined ? known : known.set(task, { ...wait, formerAddress });
  }, waits);
}

/** Releases some tasks of a worker, and lets the lasting ones wait for a place from its last report on. */
function releaseRuns(
  state: SchedulerState,
  workerKey: string,
  tasks: readonly string[],
  reason: 'workerGone' | 'leaseExpired',
  nowMs: number,
): SchedulerStep {
  // An adopted run may have ended long before this leader's claim, which is the latest that is known.
  const lastSeenMs = state.workers.get(workerKey)?.reportedAtMs ?? state.claimedAtMs;
  const lasting = tasks.filter((task) => state.runs.byTask.get(task)?.stage.isLasting);
  const waits = lasting.reduce(
    (known, task) => (known.has(task) ? known : known.set(task, startWait(lastSeenMs))),
    state.waits,
  );
  return chainAll(
    { ...state, waits: withFormerAddress(state, waits, lasting, workerKey) },
    tasks.map((task) => (current: SchedulerState) => releaseRun(current, task, reason, nowMs)),
  );
}

/** Releases all tasks of a worker that is gone, and removes the worker. `proof` is logged. */
export function releaseWorker(
  state: SchedulerState,
  workerKey: string,
  reason: 'workerGone' | 'leaseExpired',
  nowMs: number,
  proof: EventFields = {},
): SchedulerStep {
  const tasks = [...runsOn(state.runs, workerKey).keys()];
  if (tasks.length === 0 && !state.workers.has(workerKey)) return unchanged(state);
  const step = releaseRuns(state, workerKey, tasks, reason, nowMs);
  const removed: SchedulerState = {
    ...step.state,
    workers: step.state.workers.delete(workerKey),
    instances: dropInstance(step.state.instances, step.state.workers.get(workerKey)),
    awaited: step.state.awaited.delete(workerKey),
    dueGrants: step.state.dueGrants.delete(workerKey),
    orphans: dropRuns(step.state.orphans, runsOn(step.state.orphans, workerKey).keys()),
  };
  return withEffects(removed, [
    logEffect('workerGone', { worker: workerKey, reason, runs: tasks.length, ...proof }),
    ...step.effects,
  ]);
}

/** Returns the time until which runs of an ended worker may go on that a later instance may begin. */
function openRunsEndMs(
  state: SchedulerState,
  workerKey: string,
  reason: 'workerGone' | 'leaseExpired',
): number {
  switch (reason) {
    case 'workerGone':
      // The agent that tells of the end goes on, and reports what a later instance begins.
      return lateStartsEndMs(state, workerKey);
    case 'leaseExpired':
      return lateRunsEndMs(state, workerKey);
    default:
      return assertNever(reason);
  }
}

/** Releases the tasks of a worker that has ended, but for those that may still begin. `proof` is logged. */
export function releaseEndedRuns(
  state: SchedulerState,
  workerKey: string,
  openRuns: readonly RunRef[],
  nowMs: number,
  reason: 'workerGone' | 'leaseExpired',
  proof: EventFields = {},
): SchedulerStep {
  const view = state.workers.get(workerKey);
  if (view === undefined) return unchanged(state);
  const isOpen = (task: string, { attempt }: RunView): boolean =>
    openRuns.some((open) => open.task === task && open.attempt === attempt);
  const tasks = [...runsOn(state.runs, workerKey)].flatMap(([task, run]) =>
    isOpen(task, run) ? [] : [task],
  );
  const lateEndAtMs = openRunsEndMs(state, workerKey, reason);
  const kept = {
    expiresAtMs: lateEndAtMs,
    leaseFrom: { kind: 'lateStart', baseAtMs: nowMs },
  } as const;
  const ended: WorkerView = {
    ...view,
    hasEnded: true,
    ...(lateEndAtMs > view.expiresAtMs ? kept : {}),
  };
  // The lines of the releases tell of the lease that has ended.
  const released = releaseRuns(state, workerKey, tasks, reason, nowMs);
  const workers = released.state.workers.set(workerKey, ended);
  const step = withEffects({ ...released.state, workers }, released.effects);
  // Agents repeat the message.
  if (view.hasEnded === true && tasks.length === 0) return step;
  const sign = reason === 'workerGone' ? 'workerEnded' : reason;
  const fields = { worker: workerKey, reason: sign, runs: tasks.length, ...proof };
  const log = logEffect('workerGone', { ...fields, openRuns: openRuns.length });
  return withEffects(step.state, [log, ...step.effects]);
}
