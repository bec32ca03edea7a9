import { z } from 'zod';
import { acceptValue } from '@bronzeyoke/decoding';
import type { Row } from '@bronzeyoke/ports';
import type { Job, TaskId, TaskRow } from '@bronzeyoke/types';

/** Number of shards that divide the jobs; each shard has one owner. */
export const SHARD_COUNT = 16;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the shard of a team. All jobs of a team have one owner, which enforces its quota. */
export function shardOfTeam(team: string): number {
  const hash = [...team].reduce(
    // eslint-disable-next-line no-bitwise -- FNV-1a is defined with exclusive or
    (hashed, character) => Math.imul(hashed ^ (character.codePointAt(0) ?? 0), FNV_PRIME) >>> 0,
    FNV_OFFSET,
  );
  return hash % SHARD_COUNT;
}

/** Returns the shard in a job id, or -1 if it contains none. */
export function shardOfJob(jobId: string): number {
  const shard = Number.parseInt(jobId, 10);
  return shard >= 0 && shard < SHARD_COUNT ? shard : -1;
}

/** Keys of the rows of batch work. */
export const keys = {
  shard: (shard: number) => `shard/${shard}`,
  shardLease: (shard: number) => `shardlease/${shard}`,
  entry: (entryId: string) => `entry/${entryId}`,
  inbox: (shard: number, jobId: string) => `inbox/${shard}/${jobId}`,
  job: (shard: number, jobId: string) => `job/${shard}/${jobId}`,
  jobKey: (team: string, key: string) => `jobkey/${team}/${key}`,
  task: (shard: number, id: TaskId) => `task/${shard}/${id.jobId}/${id.index}`,
};

const resourcesSchema = z.object({
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
  declared: resourcesSchema,
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
        z.object({ kind: z.literal('tooLarge'), wanted: resourcesSchema }),
        z.object({ kind: z.literal('failsEverywhere'), failures: z.number() }),
        z.object({ kind: z.literal('overQuota'), team: z.string() }),
      ]),
    }),
  ]),
});

/** Parses the job in a row. */
export function jobOf(row: Row | undefined): Job | undefined {
  return acceptValue(jobSchema, row?.value) as Job | undefined;
}

/** Parses the state of a task in a row. */
export function taskRowOf(row: Row | undefined): TaskRow | undefined {
  return acceptValue(taskSchema, row?.value) as TaskRow | undefined;
}

/** Parses the task id in the key of a row. */
export function taskIdOf(rowKey: string): TaskId | undefined {
  const [, , jobId, index] = rowKey.split('/');
  return jobId === undefined || index === undefined ? undefined : { jobId, index: Number(index) };
}
