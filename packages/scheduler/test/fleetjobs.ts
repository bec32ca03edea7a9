import type { Resources } from '@bronzeyoke/types';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
import { jobOf, stageOf } from './fixture';

const MEMORY_PER_CORE_MB = 2_000;
const LATENCY_TARGET_MS = 100;

/** Short, because lasting jobs are past their objective for most of their life. */
const LASTING_ESTIMATE_MS = 500;

/** Less urgent than quick and lasting tasks. */
const FILL_PRIORITY = 2;

/** Returns the resources of a worker with some cores. */
export function capacityOf(cores: number): Resources {
  return { processorsMilli: cores * 1_000, memoryMb: cores * MEMORY_PER_CORE_MB, accelerators: 0 };
}

/** Returns the resources of a task with some cores; workers have memory for twice as many. */
export function needsOf(cores: number): Resources {
  return {
    processorsMilli: Math.round(cores * 1_000),
    memoryMb: Math.round((cores * MEMORY_PER_CORE_MB) / 2),
    accelerators: 0,
  };
}

/** Returns a job of lasting tasks that serve with an image of their own. */
export function lastingJob(
  jobId: string,
  taskCount: number,
  cores: number,
  changes: Partial<Stage> = {},
): WorkflowJob {
  const stage = stageOf(taskCount, {
    needs: needsOf(cores),
    estimateMs: LASTING_ESTIMATE_MS,
    isLasting: true,
    image: `image-${jobId}`,
    latencyTargetMs: LATENCY_TARGET_MS,
    ...changes,
  });
  return jobOf(jobId, [stage]);
}

/** Returns a job with one quick task. */
export function quickJob(jobId: string, cores: number, estimateMs = 1_000): WorkflowJob {
  return jobOf(jobId, [stageOf(1, { needs: needsOf(cores), estimateMs })]);
}

/** Returns a job of filling tasks. */
export function fillJob(jobId: string, taskCount: number, memoryMb: number): WorkflowJob {
  const needs = { processorsMilli: 2_000, memoryMb, accelerators: 0 };
  const stage = stageOf(taskCount, { needs, estimateMs: 3_000, fillsIdle: true, image: 'fill' });
  const job = jobOf(jobId, [stage]);
  return { ...job, policy: { ...job.policy, priority: FILL_PRIORITY } };
}
