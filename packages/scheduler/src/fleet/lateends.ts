import type { EndAfterReleaseState, EventFields } from '@bronzeyoke/telemetry';
import { unchanged } from '@bronzeyoke/types';
import type { JobProgress, RunEnd, TaskProgress } from '@bronzeyoke/workflow';
import { parseTaskName, slotKey, taskProgress } from '@bronzeyoke/workflow';
import { isHeldTask } from '../jobs/held';
import { REMEMBER_RELEASED_MS } from './releasedruns';
import { runKey } from '../runs';
import { withEffects } from '../state';
import { knownStage, taskLog } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';
import type { ReleasedRun } from '../views';

/** An end as its worker lists it. */
interface ListedRunEnd {
  readonly workerKey: string;
  readonly task: string;
  readonly attempt: number;
  readonly end: RunEnd;
}

/** Ends that follow from a release or go before it, and so are no sign of a run that went on after it. */
const EXPECTED_ENDS: ReadonlySet<RunEnd> = new Set(['expired', 'stopped']);

/** Returns whether an end of a released run shows that the run went on after the release. */
export function showsLateRun(end: RunEnd): boolean {
  return !EXPECTED_ENDS.has(end);
}

/** Returns what is known of the task of an end; undefined if its job is over, unknown or held. */
export function knownTask({ jobs }: SchedulerState, task: string): TaskProgress | undefined {
  const ref = parseTaskName(task);
  const progress: JobProgress | undefined = ref && jobs.get(ref.jobId)?.progress;
  if (ref === undefined || progress === undefined || progress.outcome !== undefined) {
    return undefined;
  }
  return taskProgress(progress, slotKey(ref.occurrence, ref.stageIndex, ref.index));
}

/** Returns whether nothing is known of the job of a task, neither that it is open nor that it has ended. */
function isOfUnknownJob(state: SchedulerState, task: string): boolean {
  const jobId = parseTaskName(task)?.jobId;
  if (jobId === undefined || isHeldTask(state, task)) return false;
  return !state.jobs.has(jobId) && !state.ended.has(jobId);
}

/** Returns whether an end is not that of the run for which its task is claimed, or was when it was done. */
function isOfOtherRun({ attempt, workerKey, phase }: TaskProgress, ended: ListedRunEnd): boolean {
  const isSameAttempt = attempt === ended.attempt;
  return !isSameAttempt || (phase !== 'done' && workerKey !== ended.workerKey);
}

/** Returns whether an end as done is not that of its task's run. A lasting task runs again in any case. */
function isForeignSuccess(state: SchedulerState, ended: ListedRunEnd): boolean {
  if (ended.end !== 'done') return false;
  const task = knownTask(state, ended.task);
  if (task === undefined) return isOfUnknownJob(state, ended.task);
  return knownStage(state, ended)?.isLasting !== true && isOfOtherRun(task, ended);
}

/** Returns what the task of a late end is at. */
function taskStateOf(state: SchedulerState, ended: ListedRunEnd): EndAfterReleaseState {
  const task = knownTask(state, ended.task);
  const run = state.runs.byTask.get(ended.task);
  if (run !== undefined) return run.isOrdered ? 'ordered' : 'claimed';
  if (task === undefined) return isOfUnknownJob(state, ended.task) ? 'unknownJob' : 'jobOver';
  return task.phase === 'done' ? 'done' : 'unclaimed';
}

/** Returns by whom a run was released, and on what the release rested if this leader remembers it. */
function releaseFields(
  state: SchedulerState,
  released: ReleasedRun | undefined,
  nowMs: number,
): EventFields {
  if (released === undefined) {
    // A leader that leads for longer may have forgotten a release of its own.
    const leadsForMs = nowMs - state.claimedAtMs;
    return {
      releasedBy: leadsForMs < REMEMBER_RELEASED_MS ? 'earlierLeader' : 'unknown',
      leadsForMs: Math.round(leadsForMs),
    };
  }
  const { reason, releasedAtMs, leaseFrom } = released;
  return {
    releasedBy: 'thisLeader',
    reason,
    releasedAgoMs: Math.round(nowMs - releasedAtMs),
    ...(leaseFrom === undefined ? {} : { leaseFrom }),
  };
}

/** Returns what is known of the run that the task is claimed for now, if there is one. */
function laterRunFields(state: SchedulerState, ended: ListedRunEnd, nowMs: number): EventFields {
  const run = state.runs.byTask.get(ended.task);
  const attempt = knownTask(state, ended.task)?.attempt;
  const fields = attempt === undefined ? {} : { lastAttempt: attempt };
  if (run === undefined) return fields;
  const { workerKey: claimedOn, isOrdered, orderedAtMs, claimedAtMs } = run;
  // A run of the leader before counts from the load of this one.
  const repeatedMs = Math.round(nowMs - (orderedAtMs ?? claimedAtMs));
  const repeats = isOrdered && ended.end === 'done' && ended.attempt < run.attempt;
  return { ...fields, claimedOn, ...(repeats ? { repeatedMs } : {}) };
}

/**
 * Logs once that a run has ended which was released, or which is not the one that its task is claimed
 * for. A success tells that the task has run, or will run, again after it.
 */
export function logEndAfterRelease(
  state: SchedulerState,
  ended: ListedRunEnd,
  nowMs: number,
): SchedulerStep {
  const { task, attempt, workerKey, end } = ended;
  const key = runKey(ended);
  const released = state.released.get(key);
  const isLate = released !== undefined && showsLateRun(end);
  const isDue = isLate || isForeignSuccess(state, ended);
  if (!isDue || state.lateEnds.has(key)) return unchanged(state);
  const fields = {
    state: taskStateOf(state, ended),
    worker: workerKey,
    task,
    attempt,
    end,
    ...releaseFields(state, released, nowMs),
    ...laterRunFields(state, ended, nowMs),
  };
  return withEffects({ ...state, lateEnds: state.lateEnds.set(key, nowMs) }, [
    taskLog(knownStage(state, ended), 'endAfterRelease', fields),
  ]);
}

/** Forgets the late ends that were logged long ago. */
export function forgetLateEnds(state: SchedulerState, nowMs: number): SchedulerState {
  if (state.lateEnds.isEmpty()) return state;
  const isRecent = (loggedAtMs: number): boolean => nowMs - loggedAtMs < REMEMBER_RELEASED_MS;
  if (state.lateEnds.every(isRecent)) return state;
  return { ...state, lateEnds: state.lateEnds.filter(isRecent) };
}
