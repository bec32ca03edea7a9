import { Map } from 'immutable';
import { logEffect } from '@bronzeyoke/telemetry';
import { chainAll, unchanged, without } from '@bronzeyoke/types';
import type { RunRef } from '@bronzeyoke/wire';
import type { JobProgress, RunEnd, TaskProgress } from '@bronzeyoke/workflow';
import {
  acceptsEvent,
  advanceRun,
  isComplete,
  parseTaskName,
  slotKey,
  stageSlots,
  taskProgress,
  withTasks,
} from '@bronzeyoke/workflow';
import { abandonRuns, endJob, orphanRuns } from './jobend';
import { startWait } from './placewait';
import { delayRestart } from './restarts';
import { dropRun, dropRuns, runsOn } from './runs';
import { putJob, withEffects } from './state';
import { taskLog } from './tasklog';
import type { SchedulerState, SchedulerStep } from './types';
import type { RunView } from './views';
import { endClaim } from './waits';

/** Delay before a task is placed again that a worker refused. */
const REFUSAL_BACK_OFF_MS = 150;

/** Reasons to release a run whose end its worker did not list. */
export type ReleaseReason =
  | 'workerGone'
  | 'leaseExpired'
  | 'neverStarted'
  /** The agent had no connection when the claim was stored. */
  | 'notOrdered'
  /** The worker's room became smaller between the claim and the order. */
  | 'roomShrunk'
  | 'refused';

/** Returns a task to placement. Callers have proof that its worker does not run it and never will. */
export function releaseRun(
  state: SchedulerState,
  task: string,
  reason: ReleaseReason,
  nowMs: number,
): SchedulerStep {
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  if (run === undefined) return unchanged(state);
  if (open === undefined) return unchanged({ ...state, runs: dropRun(state.runs, task) });
  const { workerKey, attempt, jobId, slot } = run;
  const known = without(taskProgress(open.progress, slot), 'workerKey', 'workerAddress');
  const released = advanceRun(known, 'release');
  const next = putJob(
    {
      ...state,
      runs: dropRun(state.runs, task),
      backOff:
        reason === 'refused' ? state.backOff.set(task, nowMs + REFUSAL_BACK_OFF_MS) : state.backOff,
    },
    jobId,
    { ...open, progress: withTasks(open.progress, [[slot, released]]) },
  );
  return withEffects(next, [
    taskLog(run.stage, 'taskReleased', {
      job: jobId,
      task,
      attempt,
      worker: workerKey,
      reason,
      claimedForMs: Math.round(nowMs - run.claimedAtMs),
    }),
  ]);
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
  const waits = Map(lasting.map((task) => [task, startWait(lastSeenMs)])).merge(state.waits);
  return chainAll(
    { ...state, waits },
    tasks.map((task) => (current: SchedulerState) => releaseRun(current, task, reason, nowMs)),
  );
}

/** Releases all tasks of a worker that is gone, and removes the worker. */
export function releaseWorker(
  state: SchedulerState,
  workerKey: string,
  reason: 'workerGone' | 'leaseExpired',
  nowMs: number,
): SchedulerStep {
  const tasks = [...runsOn(state.runs, workerKey).keys()];
  if (tasks.length === 0 && !state.workers.has(workerKey)) return unchanged(state);
  const step = releaseRuns(state, workerKey, tasks, reason, nowMs);
  const removed: SchedulerState = {
    ...step.state,
    workers: step.state.workers.delete(workerKey),
    awaited: step.state.awaited.delete(workerKey),
    orphans: dropRuns(step.state.orphans, runsOn(step.state.orphans, workerKey).keys()),
  };
  return withEffects(removed, [
    logEffect('workerGone', { worker: workerKey, reason, runs: tasks.length }),
    ...step.effects,
  ]);
}

/** Releases the tasks of a worker that has ended, but for those that may still begin. */
export function releaseEndedRuns(
  state: SchedulerState,
  workerKey: string,
  openRuns: readonly RunRef[],
  nowMs: number,
): SchedulerStep {
  const view = state.workers.get(workerKey);
  if (view === undefined) return unchanged(state);
  const isOpen = (task: string, { attempt }: RunView): boolean =>
    openRuns.some((open) => open.task === task && open.attempt === attempt);
  const tasks = [...runsOn(state.runs, workerKey)].flatMap(([task, run]) =>
    isOpen(task, run) ? [] : [task],
  );
  const workers = state.workers.set(workerKey, { ...view, hasEnded: true });
  return releaseRuns({ ...state, workers }, workerKey, tasks, 'workerGone', nowMs);
}

/** The end of a run, as listed by its worker. */
export interface EndedRun {
  readonly workerKey: string;
  readonly task: string;
  readonly attempt: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** Different jobs that have to fail on a worker, without a success in between, to quarantine it. */
const QUARANTINE_JOBS = 3;
const QUARANTINE_MS = 3_000;

/** Counts a failure of a worker, and quarantines one that fails job after job. */
export function recordFailure(
  state: SchedulerState,
  workerKey: string,
  jobId: string,
  nowMs: number,
): SchedulerStep {
  const view = state.workers.get(workerKey);
  if (view === undefined) return unchanged(state);
  const failedJobs = [...new Set([...view.failedJobs, jobId])];
  const isQuarantined = failedJobs.length >= QUARANTINE_JOBS;
  // One further failure after the quarantine renews it.
  const updated = isQuarantined
    ? {
        ...view,
        failedJobs: failedJobs.slice(1 - QUARANTINE_JOBS),
        quarantinedUntilMs: nowMs + QUARANTINE_MS,
      }
    : { ...view, failedJobs };
  return withEffects(
    { ...state, workers: state.workers.set(workerKey, updated) },
    isQuarantined
      ? [logEffect('workerQuarantined', { worker: workerKey, forMs: QUARANTINE_MS })]
      : [],
  );
}

function recordEnd(
  state: SchedulerState,
  ended: EndedRun,
  jobId: string,
  nowMs: number,
): SchedulerStep {
  const view = state.workers.get(ended.workerKey);
  if (view === undefined) return unchanged(state);
  switch (ended.end) {
    case 'done':
      return unchanged({
        ...state,
        workers: state.workers.set(ended.workerKey, { ...view, failedJobs: [] }),
      });
    case 'failed':
      return recordFailure(state, ended.workerKey, jobId, nowMs);
    case 'stopped':
    case 'expired':
    case 'gangBroken':
    case 'gangIncomplete':
      return unchanged(state);
  }
}

/** Returns whether the end of a gang's member stands for another one: all but lasting ones are done. */
function isOfSameRun(
  progress: JobProgress,
  slot: string,
  { attempt }: EndedRun,
  isSuccess: boolean,
): boolean {
  const member = taskProgress(progress, slot);
  return isSuccess || (member.attempt === attempt && acceptsEvent(member, 'release'));
}

function endMember(member: TaskProgress, event: 'done' | 'release'): TaskProgress {
  return event === 'done'
    ? advanceRun(member, event)
    : advanceRun(without(member, 'workerKey', 'workerAddress'), event);
}

/** Applies a listed end to the job's progress. The end of an older run is ignored. */
export function applyEnd(
  state: SchedulerState,
  ended: EndedRun,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const ref = parseTaskName(ended.task);
  const open = ref === undefined ? undefined : state.jobs.get(ref.jobId);
  if (ref === undefined || open === undefined) return unchanged(state);
  const stage = open.job.stages[ref.stageIndex];
  const slot = slotKey(ref.occurrence, ref.stageIndex, ref.index);
  const task = taskProgress(open.progress, slot);
  // A lasting task runs until its job is cancelled, however its runs end.
  const isSuccess = ended.end === 'done' && stage?.isLasting === false;
  const event = isSuccess ? 'done' : 'release';
  // A success also counts when the run was released meanwhile, and ends a run that was claimed since.
  const isLateSuccess = isSuccess && ended.attempt <= task.attempt;
  const isOwnRun = task.attempt === ended.attempt && task.workerKey === ended.workerKey;
  const isCurrent =
    (isOwnRun || isLateSuccess) &&
    open.progress.outcome === undefined &&
    stage !== undefined &&
    acceptsEvent(task, event);
  if (!isCurrent) return unchanged(state);
  const { job } = open;
  const fields = {
    job: ref.jobId,
    task: ended.task,
    attempt: ended.attempt,
    worker: ended.workerKey,
    end: ended.end,
  };
  const { state: recorded, effects } = chainAll(state, [
    (current) => recordEnd(current, ended, ref.jobId, nowMs),
    (current) => (isOwnRun ? unchanged(current) : abandonRuns(current, [ended.task])),
  ]);
  const rest = without(task, 'workerKey', 'workerAddress');
  const keepsCheckpoint = stage.savesCheckpoints && ended.checkpoint !== '';
  const moved = {
    ...advanceRun(rest, event),
    ...(keepsCheckpoint ? { checkpoint: ended.checkpoint } : {}),
    ...(ended.end === 'failed' ? { failures: task.failures + 1, failedOn: ended.workerKey } : {}),
  };
  // The members of a gang are done together, and the end of one stands for all of them.
  const others =
    stage.isGang && ended.end === 'done'
      ? stageSlots(stage, ref.occurrence, ref.stageIndex).filter(
          (other) => other !== slot && isOfSameRun(open.progress, other, ended, isSuccess),
        )
      : [];
  const changed = [
    [slot, moved] as const,
    ...others.map(
      (other) => [other, endMember(taskProgress(open.progress, other), event)] as const,
    ),
  ];
  const progress = withTasks(open.progress, changed);
  const otherTasks = others.map((other) => `${ref.jobId}.${other}`);
  // The workers of the other members may list them for a while.
  const delayed = [ended.task, ...otherTasks].reduce(
    (current, name) => delayRestart(current, { task: name, end: ended.end, stage }, nowMs),
    recorded,
  );
  const taken = orphanRuns(delayed, otherTasks);
  const next = putJob(
    {
      ...taken,
      runs: dropRun(taken.runs, ended.task),
      waits: endClaim(recorded, ended.task),
    },
    ref.jobId,
    {
      ...open,
      progress,
    },
  );
  const log = [taskLog(stage, 'taskEnded', fields), ...effects];
  const hasNoAttemptLeft =
    !stage.isLasting && ended.end === 'failed' && moved.failures >= job.policy.maxAttempts;
  if (hasNoAttemptLeft) {
    const step = endJob(next, ref.jobId, { outcome: 'failed', failure: 'attemptsUsed' }, wallMs);
    return withEffects(step.state, [...log, ...step.effects]);
  }
  if (!isComplete(job, progress)) return withEffects(next, log);
  const step = endJob(next, ref.jobId, { outcome: 'complete' }, wallMs);
  return withEffects(step.state, [...log, ...step.effects]);
}
