import { acceptValue, recordOf } from '@bronzeyoke/decoding';
import type { RowKey, StoredRow } from '@bronzeyoke/ports';
import { isHost, isPort } from '@bronzeyoke/types';
import { z } from 'zod';

/** The entry that places tasks, as stored in its row. The term rises with every change of leader. */
export interface Leader {
  readonly entryId: string;
  readonly host: string;
  readonly port: number;
  readonly term: number;
}

/** All rows that change together lie in one partition, because a transaction spans only one. */
export const PARTITION = 'main';

/** Tables of the scheduler. */
export const TABLES = {
  /** Definitions of open jobs, and cancellations. */
  jobs: 'job',
  /** Progress and outcome of jobs. */
  progress: 'progress',
  leader: 'leader',
  /** Verdicts on queues. Agents follow the leader's table, so these lie in one of their own. */
  verdicts: 'verdicts',
  /** Lease of the leader; every transaction of the leader writes it. */
  lease: 'lease',
  /** Counts of queued jobs, and learned estimates for pairs of images. */
  notes: 'notes',
  /** Ids of jobs that callers were told do not exist when they cancelled them. */
  withdrawals: 'withdrawn',
} as const;

/**
 * Rows of the progress table on one page. A row with seven running tasks takes 1.3 KB in Base64, and
 * 260 KB arrive within the timeout of a store call even over a quarter of a 10 Mbit/s link.
 */
export const PROGRESS_PAGE_ROWS = 200;

/** Rows of the job table on one page. */
export const JOB_PAGE_ROWS = 120;

/** The same after a page that failed. A row takes 7 KB with a payload of 4 KB. */
export const SMALL_JOB_PAGE_ROWS = 30;

/** Keys of single rows. */
export const LEADER_KEY: RowKey = { table: TABLES.leader, partition: PARTITION, key: 'leader' };
/** Row of the verdicts on queues. */
export const ADMISSION_KEY: RowKey = {
  table: TABLES.verdicts,
  partition: PARTITION,
  key: 'admission',
};
export const LEASE_KEY: RowKey = { table: TABLES.lease, partition: PARTITION, key: 'lease' };
export const PAIRS_KEY: RowKey = { table: TABLES.notes, partition: PARTITION, key: 'pairs' };
export const COUNTS_KEY: RowKey = { table: TABLES.notes, partition: PARTITION, key: 'counts' };

const JOB_SUFFIX = '/job';
const CANCEL_SUFFIX = '/cancel';

/** Returns the key of a job's definition. */
export function jobKey(jobId: string): RowKey {
  return { table: TABLES.jobs, partition: PARTITION, key: `${jobId}${JOB_SUFFIX}` };
}

/** Returns the key of a job's cancellation. */
export function cancelKey(jobId: string): RowKey {
  return { table: TABLES.jobs, partition: PARTITION, key: `${jobId}${CANCEL_SUFFIX}` };
}

/** Returns the key of a job's progress. */
export function progressKey(jobId: string): RowKey {
  return { table: TABLES.progress, partition: PARTITION, key: jobId };
}

/** Returns the key of the row that keeps a cancelled id from being submitted. */
export function withdrawalKey(jobId: string): RowKey {
  return { table: TABLES.withdrawals, partition: PARTITION, key: jobId };
}

/** Kind of a row of the job table. */
export type JobRowKey =
  | { readonly kind: 'job'; readonly jobId: string }
  | { readonly kind: 'cancel'; readonly jobId: string }
  | { readonly kind: 'other' };

/** Parses the key of a row of the job table. */
export function parseJobKey(key: string): JobRowKey {
  if (key.endsWith(JOB_SUFFIX)) return { kind: 'job', jobId: key.slice(0, -JOB_SUFFIX.length) };
  if (key.endsWith(CANCEL_SUFFIX)) {
    return { kind: 'cancel', jobId: key.slice(0, -CANCEL_SUFFIX.length) };
  }
  return { kind: 'other' };
}

const leaderSchema = z.object({
  entryId: z.string(),
  host: z.string().refine(isHost),
  port: z.number().refine(isPort),
  term: z.int().nonnegative(),
});

const grantsSchema = z.object({
  /** Longest time from the write of the row to the end of its holder's leases; 0 if it granted none. */
  lastEndMs: z.number(),
  /** The same for the leases of earlier holders. */
  earlierEndMs: z.number(),
  /** The same for each worker that has not reported to the holder lately, and gets no lease of it. */
  awaitedEndMs: recordOf(z.number()),
  /** The same for each worker whose lease may end later than `lastEndMs` says. */
  longEndMs: recordOf(z.number()).optional(),
});

const offerSchema = z.object({
  /** How long events of the holder waited when it offered its lease. */
  waitMs: z.number().nonnegative(),
});

/** The leader's row repeats the offer, because followers learn of its changes at once. */
const offeringLeaderSchema = z.object({ offer: offerSchema });

const leaseSchema = z.object({
  entryId: z.string(),
  number: z.int(),
  isReleased: z.boolean(),
  grants: grantsSchema.optional(),
  /** The holder is overloaded, and leaves its lease to an entry with more room. */
  offer: offerSchema.optional(),
});

/** Leases of workers that the holder of the lease row and earlier ones may have granted. */
export type LeaseGrants = z.infer<typeof grantsSchema>;

/** Offer of the lease to other entries. */
export type LeaseOffer = z.infer<typeof offerSchema>;

/** Value of the lease row. */
export type LeaseValue = z.infer<typeof leaseSchema>;

/** Decodes the leader's row; undefined when it is absent or malformed. */
export function decodeLeader(row: StoredRow | undefined): Leader | undefined {
  return acceptValue(leaderSchema, row?.value);
}

/** Decodes the offer in the leader's row; undefined when there is none. */
export function decodeLeaderOffer(row: StoredRow | undefined): LeaseOffer | undefined {
  return acceptValue(offeringLeaderSchema, row?.value)?.offer;
}

/** Decodes the lease row; undefined when it is absent or malformed. */
export function decodeLease(row: StoredRow | undefined): LeaseValue | undefined {
  return acceptValue(leaseSchema, row?.value);
}
