import type { TaskChange } from '@bronzeyoke/latency';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, chainAll, unchanged, without } from '@bronzeyoke/types';
import type { JobProgress, RunEnd, Stage, TaskProgress, TaskRef } from '@bronzeyoke/workflow';
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
import type { JobEnd } from './jobend';
import { abandonRuns, endJob, orphanRuns } from './jobend';
import { taskTime } from './openjob';
import { delayRestart } from './restarts';
import { learnRunTime } from './runtimes';
import { dropRun } from '../runs';
import { putJob, withEffects } from '../state';
import { taskLog } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';
import type { OpenJob } from '../views';
import { endClaim } from '../placement/waits';

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

/** A listed end that changes the progress of its job, with the task that it belongs to. */
interface CurrentEnd {
  readonly ended: EndedRun;
  readonly ref: TaskRef;
  readonly open: OpenJob;
  readonly stage: Stage;
  readonly slot: string;
  readonly task: TaskProgress;
  readonly event: 'done' | 'release';
  /** The run is the one that its task was last claimed for. */
  readonly isOwnRun: boolean;
}

/** Returns what an end applies to; undefined for the end of an older run or of an ended job. */
function findCurrentEnd(state: SchedulerState, ended: EndedRun): CurrentEnd | undefined {
  const ref = parseTaskName(ended.task);
  const open = ref === undefined ? undefined : state.jobs.get(ref.jobId);
  if (ref === undefined || open === undefined) return undefined;
  const stage = open.job.stages[ref.stageIndex];
  if (stage === undefined || open.progress.outcome !== undefined) return undefined;
  const slot = slotKey(ref.occurrence, ref.stageIndex, ref.index);
  const task = taskProgress(open.progress, slot);
  // A lasting task runs until its job is cancelled, however its runs end.
  const isSuccess = ended.end === 'done' && !stage.isLasting;
  const event = isSuccess ? 'done' : 'release';
  // A success also counts when the run was released meanwhile, and ends a run that was claimed since.
  const isLateSuccess = isSuccess && ended.attempt <= task.attempt;
  const isOwnRun = task.attempt === ended.attempt && task.workerKey === ended.workerKey;
  if (!(isOwnRun || isLateSuccess) || !acceptsEvent(task, event)) return undefined;
  return { ended, ref, open, stage, slot, task, event, isOwnRun };
}

/**
 * Returns the other slots for which the end of a gang's member stands: the members are done together.
 * Those of a lasting gang end with the run of that attempt.
 */
function otherEndedSlots({ ended, ref, open, stage, slot, event }: CurrentEnd): readonly string[] {
  if (!stage.isGang || ended.end !== 'done') return [];
  const isEnded = (other: string): boolean => {
    const member = taskProgress(open.progress, other);
    return (
      event === 'done' || (member.attempt === ended.attempt && acceptsEvent(member, 'release'))
    );
  };
  return stageSlots(stage, ref.occurrence, ref.stageIndex).filter(
    (other) => other !== slot && isEnded(other),
  );
}

function withoutWorker(task: TaskProgress): TaskProgress {
  return without(task, 'workerKey', 'workerAddress');
}

/** Returns the progress of a job after an end of a task and of some other members of its gang. */
function progressAfter(
  { ended, open, stage, slot, task, event }: CurrentEnd,
  others: readonly string[],
): JobProgress {
  const keepsCheckpoint = stage.savesCheckpoints && ended.checkpoint !== '';
  const moved = {
    ...advanceRun(withoutWorker(task), event),
    ...(keepsCheckpoint ? { checkpoint: ended.checkpoint } : {}),
    ...(ended.end === 'failed' ? { failures: task.failures + 1, failedOn: ended.workerKey } : {}),
  };
  const members = others.map((other) => {
    const member = taskProgress(open.progress, other);
    return [other, advanceRun(event === 'done' ? member : withoutWorker(member), event)] as const;
  });
  return withTasks(open.progress, [[slot, moved], ...members]);
}

/** Returns what an end of a task means for the record of its time. */
function timeChange({ ended, event, stage }: CurrentEnd): TaskChange {
  if (event === 'done') return { kind: 'done' };
  switch (ended.end) {
    case 'stopped':
      return {
        kind: 'released',
        cause: 'stopped',
        keepsWork: stage.savesCheckpoints && ended.checkpoint !== '',
      };
    case 'expired':
      return { kind: 'released', cause: 'lost' };
    case 'done':
    case 'failed':
    case 'gangBroken':
    case 'gangIncomplete':
      return { kind: 'released', cause: 'failed' };
    default:
      return assertNever(ended.end);
  }
}

/** Returns a job after an end of a task and of some other members of its gang. */
function jobAfter(current: CurrentEnd, others: readonly string[], nowMs: number): OpenJob {
  const change = timeChange(current);
  const ended = { ...current.open, progress: progressAfter(current, others) };
  return [current.slot, ...others].reduce<OpenJob>(
    (open, slot) => ({ ...open, ...taskTime(open, slot, change, nowMs) }),
    ended,
  );
}

/** Returns how a job ends with an end of a task, if it does. */
function jobEndOf(
  { ended, open, stage, slot }: CurrentEnd,
  progress: JobProgress,
): JobEnd | undefined {
  const { job } = open;
  const { failures } = taskProgress(progress, slot);
  const hasNoAttemptLeft =
    !stage.isLasting && ended.end === 'failed' && failures >= job.policy.maxAttempts;
  if (hasNoAttemptLeft) return { outcome: 'failed', failure: 'attemptsUsed' };
  return isComplete(job, progress) ? { outcome: 'complete' } : undefined;
}

/** Learns from the time of a run that is done. */
function learnFrom(
  state: SchedulerState,
  { ended, open, event, isOwnRun }: CurrentEnd,
  nowMs: number,
): SchedulerState {
  const run = state.runs.byTask.get(ended.task);
  if (event !== 'done' || !isOwnRun || run === undefined) return state;
  return learnRunTime(state, open, run, nowMs);
}

/** Applies a listed end to the job's progress. The end of an older run is ignored. */
export function applyEnd(
  state: SchedulerState,
  ended: EndedRun,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const current = findCurrentEnd(state, ended);
  if (current === undefined) return unchanged(state);
  const { open, stage, isOwnRun } = current;
  const { jobId } = open.job;
  const { task, attempt, workerKey: worker, end } = ended;
  const { state: recorded, effects } = chainAll(learnFrom(state, current, nowMs), [
    (next) => recordEnd(next, ended, jobId, nowMs),
    (next) => (isOwnRun ? unchanged(next) : abandonRuns(next, [task])),
  ]);
  const others = otherEndedSlots(current);
  const otherTasks = others.map((slot) => `${jobId}.${slot}`);
  const delayed = [task, ...otherTasks].reduce(
    (next, name) => delayRestart(next, { task: name, end, stage }, nowMs),
    recorded,
  );
  // The workers of the other members may list them for a while.
  const taken = orphanRuns(delayed, otherTasks);
  const changed = jobAfter(current, others, nowMs);
  const next = putJob(
    { ...taken, runs: dropRun(taken.runs, task), waits: endClaim(recorded, task) },
    jobId,
    changed,
  );
  const log = [taskLog(stage, 'taskEnded', { job: jobId, task, attempt, worker, end }), ...effects];
  const jobEnd = jobEndOf(current, changed.progress);
  if (jobEnd === undefined) return withEffects(next, log);
  const step = endJob(next, jobId, jobEnd, wallMs, { slot: current.slot, nowMs });
  return withEffects(step.state, [...log, ...step.effects]);
}
