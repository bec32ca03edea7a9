import type { JobProgress, WorkflowJob } from '@bronzeyoke/workflow';
import { adoptJobRuns } from '../fleet/adopt';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import type { JobSighting } from './openjob';
import { createOpenJob, jobSeenLog } from './openjob';

/** Opens a job with stored progress while this entry leads, with its runs. */
export function openWithRuns(
  state: SchedulerState,
  job: WorkflowJob,
  progress: JobProgress,
  sighting: JobSighting,
): SchedulerStep {
  const { jobId } = job;
  const open = createOpenJob(job, progress, sighting);
  const opened = { ...state, jobs: state.jobs.set(jobId, open), needsPlacement: true };
  return withEffects(adoptJobRuns(opened, open, sighting.nowMs), [
    jobSeenLog(job, progress, sighting),
  ]);
}
