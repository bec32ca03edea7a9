import { z } from 'zod';
import type { Row } from '@bronzeyoke/ports';
import type { Job, TaskId, TaskRow } from '@bronzeyoke/types';

/** Parts into which the jobs are divided; each has one owner. */
export const SHARD_COUNT = 16;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** The shard of a team: all jobs of a team have one owner, which enforces its quota. */
export function shardOfTeam(team: string): number {
  const hash = [...team].reduce(
    // eslint-disable-next-line no-bitwise -- FNV-1a is defined with exclusive or
    (sum, letter) => Math.imul(sum ^ (letter.codePointAt(0) ?? 0), FNV_PRIME) >>> 0,
    FNV_OFFSET,
  );
  return hash % SHARD_COUNT;
}

/** The shard that a job id names, or -1. */
export function shardOfJob(jobId: string): number {
  const shard = Number.parseInt(jobId, 10);
  return shard >= 0 && shard < SHARD_COUNT ? shard : -1;
}

/** Row keys of batch work. */
export const keys = {
  shard: (shard: number) => `shard/${shard}`,
  shardLease: (shard: number) => `shardlease/${shard}`,
  entry: (entryId: string) => `entry/${entryId}`,
  inbox: (shard: number, jobId: string) => `inbox/${shard}/${jobId}`,
  job: (shard: number, jobId: string) => `job/${shard}/${jobId}`,
  jobKey: (team: string, key: string) => `jobkey/${team}/${key}`,
  task: (shard: number, id: TaskId) => `task/${shard}/${id.jobId}/${id.index}`,
};

const resources = z.object({
  processorsMilli: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const jobSchema = z.object({
  jobId: z.string(),
  team: z.string(),
  key: z.string(),
  workKind: z.string(),
  role: z.enum(['batch', 'watcher']),
  declared: resources,
  declaredRunMs: z.number(),
  deadlineAtMs: z.number().optional(),
  submittedAtMs: z.number(),
  urgency: z.enum(['urgent', 'normal']),
  taskCount: z.int(),
  payload: z.string(),
  cancelled: z.boolean(),
});

const checkpointRef = z.string().optional();
const taskSchema = z.object({
  epoch: z.int().min(0),
  state: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('pending'), checkpointRef }),
    z.object({
      kind: z.literal('claimed'),
      worker: z.string(),
      claimToken: z.string(),
      checkpointRef,
    }),
    z.object({ kind: z.literal('finished'), resultRef: z.string() }),
    z.object({ kind: z.literal('cancelled') }),
    z.object({
      kind: z.literal('parked'),
      reason: z.discriminatedUnion('kind', [
        z.object({ kind: z.literal('tooLarge'), wanted: resources }),
        z.object({ kind: z.literal('failsEverywhere'), failures: z.number() }),
        z.object({ kind: z.literal('overQuota'), team: z.string() }),
      ]),
    }),
  ]),
});

/** The job that a row holds. */
export function jobOf(row: Row | undefined): Job | undefined {
  const parsed = jobSchema.safeParse(row?.value);
  return parsed.success ? (parsed.data as Job) : undefined;
}

/** The state of a task that a row holds. */
export function taskRowOf(row: Row | undefined): TaskRow | undefined {
  const parsed = taskSchema.safeParse(row?.value);
  return parsed.success ? (parsed.data as TaskRow) : undefined;
}

/** The task that the key of a row names. */
export function taskIdOf(rowKey: string): TaskId | undefined {
  const [, , jobId, index] = rowKey.split('/');
  return jobId === undefined || index === undefined ? undefined : { jobId, index: Number(index) };
}
