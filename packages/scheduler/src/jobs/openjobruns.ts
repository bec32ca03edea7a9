import type { Moment } from '@bronzeyoke/latency';
import { logEffect } from '@bronzeyoke/telemetry';
import type { JobProgress, WorkflowJob } from '@bronzeyoke/workflow';
import { statusOf } from '@bronzeyoke/workflow';
import { adoptJobRuns } from '../fleet/adopt';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import { createOpenJob } from './openjob';

/** Opens a job with stored progress while this entry leads, with its runs. */
export function openWithRuns(
  state: SchedulerState,
  job: WorkflowJob,
  progress: JobProgress,
  moment: Moment,
): SchedulerStep {
  const { jobId } = job;
  const open = createOpenJob(job, progress, moment);
  const opened = { ...state, jobs: state.jobs.set(jobId, open), needsPlacement: true };
  const fields = { job: jobId, queue: job.policy.queue, status: statusOf(progress) };
  return withEffects(adoptJobRuns(opened, open, moment.nowMs), [logEffect('jobSeen', fields)]);
}
