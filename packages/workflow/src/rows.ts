import { z } from 'zod';
import type { JobProgress } from './job';
import type { TaskProgress } from './run';
import type { WorkflowJob } from './types';

const resourcesSchema = z.object({
  processorsMilli: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const stageSchema = z.object({
  taskCount: z.int().positive(),
  needs: resourcesSchema,
  estimateMs: z.number(),
  dependsOn: z.array(z.int()),
  savesCheckpoints: z.boolean(),
  isGang: z.boolean(),
  prefersOneRack: z.boolean(),
  requiredLabel: z.string().optional(),
  dataRack: z.string().optional(),
  maxPerWorker: z.number().optional(),
  allowsCopies: z.boolean(),
  isLasting: z.boolean(),
  image: z.string().optional(),
  latencyTargetMs: z.number().optional(),
  fillsIdle: z.boolean(),
  maxUnavailable: z.number().optional(),
});

const jobSchema = z.object({
  jobId: z.string(),
  policy: z.object({
    queue: z.string(),
    service: z.string(),
    priority: z.number(),
    maxAttempts: z.number(),
    slackFactor: z.number(),
    targetDurationMs: z.number(),
    needsAdvice: z.boolean(),
  }),
  payload: z.string(),
  stages: z.array(stageSchema).min(1),
  schedule: z
    .object({ firstAtMs: z.number(), periodMs: z.number(), occurrences: z.number() })
    .optional(),
  acceptedAtMs: z.number(),
});

const taskSchema = z.object({
  phase: z.enum(['waiting', 'claimed', 'running', 'stopping', 'done']),
  attempt: z.int(),
  failures: z.int(),
  workerKey: z.string().optional(),
  workerAddress: z.string().optional(),
  checkpoint: z.string().optional(),
  failedOn: z.string().optional(),
});

const progressSchema = z.object({
  tasks: z.record(z.string(), taskSchema),
  outcome: z.enum(['complete', 'failed', 'cancelled']).optional(),
  endedAtMs: z.number().optional(),
});

/** Decodes a stored job; undefined when the row was not written by this program. */
export function decodeJob(value: unknown): WorkflowJob | undefined {
  const parsed = jobSchema.safeParse(value);
  return parsed.success ? (parsed.data as WorkflowJob) : undefined;
}

/** Returns the row value of a job's progress. Tasks are left out once the job has an outcome. */
export function encodeProgress(value: JobProgress): unknown {
  const { outcome, endedAtMs, tasks } = value;
  return outcome === undefined
    ? { tasks: Object.fromEntries(tasks) }
    : { tasks: {}, outcome, endedAtMs };
}

/** Bytes of a row value, and of each task in it, as the store counts them. */
const ROW_BYTES = 100;
const TASK_BYTES = 200;

/** Estimates the size of the row value of a job's progress. */
export function progressBytes({ outcome, tasks }: JobProgress): number {
  return outcome === undefined ? ROW_BYTES + tasks.size * TASK_BYTES : ROW_BYTES;
}

/** Decodes stored progress; undefined when it is malformed. */
export function decodeProgress(value: unknown): JobProgress | undefined {
  const parsed = progressSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { tasks, ...rest } = parsed.data;
  return {
    ...rest,
    tasks: new Map(Object.entries(tasks) as [string, TaskProgress][]),
  } as JobProgress;
}
