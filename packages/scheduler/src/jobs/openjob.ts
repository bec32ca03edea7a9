import type { JobLatency, LatencyBreakdown, Moment, TaskChange } from '@bronzeyoke/latency';
import { changeJobTask, explainLatency, LATENCY_CAUSES, openJobLatency } from '@bronzeyoke/latency';
import type { EventFields, LogEffect } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import type { JobProgress, WorkflowJob } from '@bronzeyoke/workflow';
import { restartLasting, statusOf } from '@bronzeyoke/workflow';
import type { SchedulerState } from '../types';
import type { OpenJob } from '../views';

/** Returns a job as this leader opens it. */
export function createOpenJob(job: WorkflowJob, stored: JobProgress, moment: Moment): OpenJob {
  const progress = restartLasting(job, stored);
  return { job, progress, isCancelled: false, latency: openJobLatency(job, progress, moment) };
}

/** How a leader came to know of a job. */
export type JobSource =
  /** The reads of a new leader, with the progress table. */
  | 'load'
  /** A full read of the job table while this entry leads. */
  | 'fullRead'
  /** A change of the job table. */
  | 'change'
  /** The job was held, and its progress has become readable. */
  | 'held';

/** When and how a leader came to know of a job. */
export interface JobSighting extends Moment {
  readonly source: JobSource;
}

/**
 * Creates the log effect of a job that a leader opens. One that comes without progress long after its
 * acceptance may have tasks that are done, and would run them again.
 */
export function jobSeenLog(
  { jobId, policy, acceptedAtMs }: WorkflowJob,
  progress: JobProgress,
  { source, wallMs }: JobSighting,
): LogEffect {
  return logEffect('jobSeen', {
    job: jobId,
    queue: policy.queue,
    status: statusOf(progress),
    source,
    hasProgress: progress.tasks.size > 0,
    ageMs: Math.round(wallMs - acceptedAtMs),
  });
}

/** Returns the record of a job's time after a change of one of its tasks. */
export function taskTime(
  { latency }: OpenJob,
  slot: string,
  change: TaskChange,
  nowMs: number,
): Pick<OpenJob, 'latency'> {
  return { latency: changeJobTask(latency, slot, change, nowMs) };
}

/** Records a change of a task that leaves the progress of its job as it is. */
export function recordTaskTime(
  state: SchedulerState,
  { jobId, slot }: { readonly jobId: string; readonly slot: string },
  change: TaskChange,
  nowMs: number,
): SchedulerState {
  const open = state.jobs.get(jobId);
  if (open === undefined) return state;
  const { latency } = taskTime(open, slot, change, nowMs);
  if (latency === open.latency) return state;
  return { ...state, jobs: state.jobs.set(jobId, { ...open, latency }) };
}

/** A job's end, with the task whose end led to it. */
export interface DecisiveEnd {
  readonly slot: string;
  readonly nowMs: number;
}

/** Returns the fields of a breakdown; a cause without time has none. */
function breakdownFields(breakdown: LatencyBreakdown): EventFields {
  const { durations, path, runCount, retryWaitMs, lastTasksMs, totalMs } = breakdown;
  const byCause = LATENCY_CAUSES.flatMap((cause): readonly [string, number][] => {
    const ms = Math.round(durations[cause] ?? 0);
    return ms === 0 ? [] : [[`${cause}Ms`, ms]];
  });
  return {
    totalMs: Math.round(totalMs),
    ...Object.fromEntries(byCause),
    path: path.join(','),
    runs: runCount,
    retryWaitMs: Math.round(retryWaitMs),
    lastTasksMs: Math.round(lastTasksMs),
  };
}

/** Returns where the time of a job went that ends with the end of a task, for its log line. */
export function latencyFields(
  { job, latency }: { readonly job: WorkflowJob; readonly latency: JobLatency },
  { slot, nowMs }: DecisiveEnd,
): EventFields {
  return breakdownFields(explainLatency(job, latency, slot, nowMs));
}
