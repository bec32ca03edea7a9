import type { WorkflowJob } from '@bronzeyoke/workflow';

/** A job without stages. */
export const JOB: WorkflowJob = {
  jobId: 'job1',
  policy: {
    queue: 'quick',
    service: 'quoter',
    priority: 0,
    maxAttempts: 2,
    slackFactor: 2,
    targetDurationMs: 1_000,
    needsAdvice: false,
  },
  payload: 'work',
  stages: [],
  acceptedAtMs: 0,
};
