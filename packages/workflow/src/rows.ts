import { z } from 'zod';
import { acceptValue, listOf } from '@bronzeyoke/decoding';
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
  dependsOn: listOf(z.int()),
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
  stages: listOf(stageSchema).refine((stages) => stages.length > 0),
  schedule: z
    .object({ firstAtMs: z.number(), periodMs: z.number(), occurrences: z.number() })
    .optional(),
  acceptedAtMs: z.number(),
  configVersion: z.number().optional(),
  acceptedBy: z.string().optional(),
});

/** Decodes a stored job; undefined when the row was not written by this program. */
export function decodeJob(value: unknown): WorkflowJob | undefined {
  return acceptValue(jobSchema, value) as WorkflowJob | undefined;
}

/** Returns the bytes of a job as it is stored, before the encoding of the store. */
export function jobBytes(job: WorkflowJob): number {
  return Buffer.byteLength(JSON.stringify(job));
}
