import { acceptValue, recordOf } from '@bronzeyoke/decoding';
import type { RowCommitResult, RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import {
  cancelKey,
  COUNTS_KEY,
  jobKey,
  PARTITION,
  progressKey,
  TABLES,
  withdrawalKey,
} from '@bronzeyoke/scheduler';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, takeToken } from '@bronzeyoke/types';
import { z } from 'zod';
import { decodeJob, decodeProgress, statusOf } from '@bronzeyoke/workflow';
import type {
  Query,
  IntakeEffect,
  IntakeEvent,
  IntakeReply,
  IntakeState,
  IntakeStep,
} from './types';

const RETRY_DELAY_MS = 100;

/** Age from which stored counts are ignored and the open jobs are counted instead. */
const MAX_COUNTS_AGE_MS = 2_000;

const countsSchema = z.object({ atMs: z.number(), queues: recordOf(z.number()) });
const CALLER_RETRY_AFTER_MS = 1_000;

/** Cancellations of ids without a job at one entry. Each costs a write and a row. */
const WITHDRAWAL_LIMIT = { ratePerSecond: 20, burst: 60 };
const REPLY_MARGIN_MS = 200;

/** Returns the end of the range of keys that start with the job id and a slash. */
function jobRangeEnd(jobId: string): string {
  return `${jobId}0`;
}

function jobRange(jobId: string) {
  return {
    table: TABLES.jobs,
    partition: PARTITION,
    fromKey: `${jobId}/`,
    untilKey: jobRangeEnd(jobId),
  };
}

function progressRange(jobId: string) {
  return {
    table: TABLES.progress,
    partition: PARTITION,
    fromKey: jobId,
    untilKey: `${jobId}\u0000`,
  };
}

function readEffect(callId: string, query: Query): IntakeEffect {
  switch (query.kind) {
    case 'pending': {
      const table = query.stage === 'counts' ? TABLES.notes : TABLES.jobs;
      return { kind: 'range', callId, range: { table, partition: PARTITION } };
    }
    case 'cancel':
      return {
        kind: 'range',
        callId,
        range: query.stage === 'outcome' ? progressRange(query.jobId) : jobRange(query.jobId),
      };
    case 'status':
      return {
        kind: 'range',
        callId,
        range: query.stage === 'job' ? jobRange(query.jobId) : progressRange(query.jobId),
      };
    default:
      return assertNever(query);
  }
}

function withQuery(state: IntakeState, callId: string, query: Query): IntakeState {
  return { ...state, queries: state.queries.set(callId, query) };
}

function readRows(state: IntakeState, callId: string, query: Query): IntakeStep {
  return { state: withQuery(state, callId, query), effects: [readEffect(callId, query)] };
}

function endQuery(
  state: IntakeState,
  callId: string,
  reply: IntakeReply,
  logEffects: readonly IntakeEffect[] = [],
): IntakeStep {
  return {
    state: { ...state, queries: state.queries.delete(callId) },
    effects: [{ kind: 'reply', callId, reply }, ...logEffects],
  };
}

/** Starts a cancellation or a query of a caller with its first read. */
export function startQuery(
  state: IntakeState,
  event: Extract<IntakeEvent, { kind: 'cancel' | 'status' | 'pending' }>,
  nowMs: number,
): IntakeStep {
  const { callId } = event;
  const deadlines = {
    expiresAtMs: nowMs + Math.max(0, event.timeoutMs - REPLY_MARGIN_MS),
    retryAtMs: Infinity,
  };
  switch (event.kind) {
    case 'cancel':
      return readRows(state, callId, {
        kind: 'cancel',
        jobId: event.jobId,
        stage: 'find',
        ...deadlines,
      });
    case 'status':
      return readRows(state, callId, {
        kind: 'status',
        jobId: event.jobId,
        stage: 'progress',
        ...deadlines,
      });
    case 'pending':
      return readRows(state, callId, {
        kind: 'pending',
        queue: event.queue,
        stage: 'counts',
        ...deadlines,
      });
    default:
      return assertNever(event);
  }
}

/** Counts the open jobs of a queue. The count is an upper bound: tasks of some may have run. */
function countJobs(rows: readonly StoredRow[], queue: string): number {
  return rows.filter(({ value }) => decodeJob(value)?.policy.queue === queue).length;
}

function statusReply(rows: readonly StoredRow[]): IntakeReply | undefined {
  const [row] = rows;
  const progress = row === undefined ? undefined : decodeProgress(row.value);
  if (progress === undefined) return undefined;
  const { failure } = progress;
  const reply = { kind: 'status', status: statusOf(progress) } as const;
  return failure === undefined ? reply : { ...reply, failure };
}

/**
 * Stores that an id without a job was cancelled, so that a submission which is still on its way fails.
 * Without that row, "no such job" could become untrue.
 */
function withdraw(
  state: IntakeState,
  callId: string,
  query: Extract<Query, { kind: 'cancel' }>,
  nowMs: number,
): IntakeStep {
  const { bucket, retryAfterMs } = takeToken(state.withdrawalBucket, WITHDRAWAL_LIMIT, nowMs);
  const limited = { ...state, withdrawalBucket: bucket };
  if (retryAfterMs !== undefined) {
    return endQuery(limited, callId, { kind: 'unavailable', retryAfterMs });
  }
  const { jobId } = query;
  const transaction = {
    conditions: [
      { ...jobKey(jobId), version: 0 },
      { ...progressKey(jobId), version: 0 },
    ],
    writes: [{ kind: 'put', ...withdrawalKey(jobId), value: {} } as const],
  };
  return {
    state: withQuery(limited, callId, { ...query, stage: 'withdraw' }),
    effects: [{ kind: 'commit', callId, transaction }],
  };
}

function applyRows(
  state: IntakeState,
  callId: string,
  query: Query,
  rows: readonly StoredRow[],
  nowMs: number,
  wallMs: number,
): IntakeStep {
  switch (query.kind) {
    case 'pending': {
      if (query.stage === 'scan') {
        const count = countJobs(rows, query.queue);
        return endQuery(state, callId, { kind: 'pending', count });
      }
      const row = rows.find(({ key }) => key === COUNTS_KEY.key);
      const counts = acceptValue(countsSchema, row?.value);
      return counts !== undefined && Math.abs(wallMs - counts.atMs) <= MAX_COUNTS_AGE_MS
        ? endQuery(state, callId, {
            kind: 'pending',
            count: counts.queues[query.queue] ?? 0,
          })
        : readRows(state, callId, { ...query, stage: 'scan' });
    }
    case 'status': {
      const { jobId } = query;
      if (query.stage === 'job') {
        // If the job ended between the two reads, its outcome is stored by now.
        // The first claim of a task writes the row, so a job with one that cannot be read has begun.
        const status = query.hasUnreadableProgress === true ? 'active' : 'queued';
        return rows.some(({ key }) => key === jobKey(jobId).key)
          ? endQuery(state, callId, { kind: 'status', status })
          : readRows(state, callId, { ...query, stage: 'outcome' });
      }
      const reply = statusReply(rows);
      if (reply !== undefined) return endQuery(state, callId, reply);
      if (query.stage === 'progress') {
        const hasUnreadableProgress = rows.length > 0;
        return readRows(state, callId, { ...query, stage: 'job', hasUnreadableProgress });
      }
      return rows.length > 0
        ? endQuery(state, callId, { kind: 'unavailable', retryAfterMs: CALLER_RETRY_AFTER_MS })
        : endQuery(state, callId, { kind: 'absent' });
    }
    case 'cancel': {
      const { jobId } = query;
      if (query.stage === 'outcome') {
        return rows.length > 0
          ? endQuery(state, callId, { kind: 'cancelled' })
          : withdraw(state, callId, query, nowMs);
      }
      const job = rows.find(({ key }) => key === jobKey(jobId).key);
      if (job === undefined) return readRows(state, callId, { ...query, stage: 'outcome' });
      if (rows.some(({ key }) => key === cancelKey(jobId).key)) {
        return endQuery(state, callId, { kind: 'cancelled' });
      }
      const transaction = {
        conditions: [{ ...jobKey(jobId), version: job.version }],
        writes: [{ kind: 'put', ...cancelKey(jobId), value: {} } as const],
      };
      return {
        state: withQuery(state, callId, { ...query, stage: 'write' }),
        effects: [{ kind: 'commit', callId, transaction }],
      };
    }
    default:
      return assertNever(query);
  }
}

function scheduleRetry(
  state: IntakeState,
  callId: string,
  query: Query,
  nowMs: number,
): IntakeStep {
  return {
    state: withQuery(state, callId, { ...query, retryAtMs: nowMs + RETRY_DELAY_MS }),
    effects: [],
  };
}

/** Applies the rows that a query has read. */
export function onQueryRows(
  state: IntakeState,
  callId: string,
  result: RowRangeResult,
  nowMs: number,
  wallMs: number,
): IntakeStep {
  const query = state.queries.get(callId);
  if (query === undefined) return { state, effects: [] };
  return result.kind === 'unavailable'
    ? scheduleRetry(state, callId, query, nowMs)
    : applyRows(state, callId, query, result.rows, nowMs, wallMs);
}

/** Applies the result of the transaction that cancels a job or withdraws an id. */
export function onCancelOutcome(
  state: IntakeState,
  callId: string,
  result: RowCommitResult,
  nowMs: number,
): IntakeStep {
  const query = state.queries.get(callId);
  if (query?.kind !== 'cancel') return { state, effects: [] };
  switch (result.kind) {
    case 'committed':
      if (query.stage === 'withdraw') {
        return endQuery(state, callId, { kind: 'absent' }, [
          logEffect('jobWithdrawn', { job: query.jobId }),
        ]);
      }
      return endQuery(state, callId, { kind: 'cancelled' }, [
        logEffect('jobCancelled', { job: query.jobId }),
      ]);
    case 'conflict':
      return readRows(state, callId, { ...query, stage: 'find' });
    case 'unavailable':
    case 'unknown':
      return scheduleRetry(state, callId, { ...query, stage: 'find' }, nowMs);
    default:
      return assertNever(result);
  }
}

/** Repeats queries for which the store was unavailable, and ends those that have expired. */
export function retryQueries(state: IntakeState, nowMs: number): IntakeStep {
  const retried = state.queries.filter(({ retryAtMs }) => retryAtMs !== Infinity);
  return [...retried].reduce<IntakeStep>(
    (step, [callId, query]) => {
      if (nowMs < Math.min(query.expiresAtMs, query.retryAtMs)) return step;
      const next =
        nowMs >= query.expiresAtMs
          ? endQuery(step.state, callId, {
              kind: 'unavailable',
              retryAfterMs: CALLER_RETRY_AFTER_MS,
            })
          : readRows(step.state, callId, { ...query, retryAtMs: Infinity });
      return { state: next.state, effects: [...step.effects, ...next.effects] };
    },
    { state, effects: [] },
  );
}
