import { listOf } from '@bronzeyoke/decoding';
import { isHost, isPort, parseAddress } from '@bronzeyoke/types';
import { z } from 'zod';

/** Schema of the reference to a run. */
export const runSchema = z.object({ task: z.string(), attempt: z.int() });
const workerKey = z.string();
const host = z.string().refine(isHost);
const port = z.number().refine(isPort);

/** Schema of a worker's state. */
export const workerSchema = z.object({
  id: z.string(),
  address: z.string().refine((text) => parseAddress(text) !== undefined),
  bornAtMs: z.number(),
  service: z.string(),
  domain: z.string(),
  version: z.string(),
  isDraining: z.boolean(),
  capacity: z.object({
    processorsMilli: z.number(),
    memoryMb: z.number(),
    accelerators: z.number(),
  }),
  labels: listOf(z.string()),
  rack: z.string(),
  sequence: z.number(),
});

/** Schema of a listed end. */
export const endSchema = z.object({
  sequence: z.int(),
  task: z.string(),
  attempt: z.int(),
  end: z.enum(['done', 'failed', 'stopped', 'expired', 'gangBroken', 'gangIncomplete']),
  checkpoint: z.string(),
});

const endFields = {
  workerKey,
  // Absent in messages of agents that do not tell the cause.
  cause: z.enum(['crashed', 'left', 'unreachable']).default('left'),
  reason: z.enum(['restarted', 'otherWorker', 'leaseEnded', 'unknown']).catch('unknown'),
  recentStarts: listOf(runSchema.extend({ ageMs: z.number().nonnegative() })).default([]),
};

/** Schema of messages to an entry. */
export const runnerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('report'),
    agentId: z.string(),
    term: z.int(),
    workerKey,
    worker: workerSchema,
    clockMs: z.number(),
    running: listOf(
      z.object({
        task: z.string(),
        attempt: z.int(),
        checkpoint: z.string(),
        percent: z.number(),
        load: z.number(),
      }),
    ),
    ended: listOf(endSchema),
    lapsedSequence: z.int().optional(),
    pending: listOf(runSchema),
    lastOrder: z.int(),
  }),
  z.object({ kind: z.literal('refused'), workerKey, run: runSchema, reason: z.string() }),
  z.object({ kind: z.literal('workerEnded'), openRuns: listOf(runSchema), ...endFields }),
  z.object({ kind: z.literal('workerGone'), ...endFields }),
  z.object({
    kind: z.literal('leaderChanged'),
    entryId: z.string(),
    host,
    port,
    term: z.int(),
  }),
]);

/** Schema of messages to an agent. */
export const leaderSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('leader'),
    term: z.int(),
    host,
    port,
    entryId: z.string().optional(),
  }),
  z.object({
    kind: z.literal('grant'),
    workerKey,
    leaseUntilClockMs: z.number(),
    reportIntervalMs: z.number().optional(),
  }),
  z.object({
    kind: z.literal('start'),
    workerKey,
    order: z.int(),
    run: runSchema,
    payload: z.string(),
    checkpoint: z.string().optional(),
    ticket: z.string().optional(),
  }),
  z.object({ kind: z.literal('stop'), workerKey, run: runSchema }),
  z.object({ kind: z.literal('pace'), workerKey, run: runSchema, percent: z.number() }),
  z.object({ kind: z.literal('acknowledge'), workerKey, sequence: z.int() }),
  z.object({ kind: z.literal('goneRecorded'), workerKey }),
]);
