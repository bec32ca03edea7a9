import type { RowCommitResult, RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import { cancelKey, COUNTS_KEY, jobKey, PARTITION, TABLES } from '@bronzeyoke/scheduler';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';
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

const RETRY_MS = 100;

/** Counts older than this are replaced by a look at the open jobs. */
const MAX_COUNTS_AGE_MS = 2_000;

const countsSchema = z.object({ atMs: z.number(), queues: z.record(z.string(), z.number()) });
const CALLER_RETRY_AFTER_MS = 1_000;
const REPLY_MARGIN_MS = 200;

/** Key after the last one that starts with a given one and a slash. */
function afterPrefix(jobId: string): string {
  return `${jobId}0`;
}

function jobRange(jobId: string) {
  return {
    table: TABLES.jobs,
    partition: PARTITION,
    fromKey: `${jobId}/`,
    untilKey: afterPrefix(jobId),
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

function readEffect(callId: string, inquiry: Query): IntakeEffect {
  switch (inquiry.kind) {
    case 'pending': {
      const table = inquiry.stage === 'counts' ? TABLES.notes : TABLES.jobs;
      return { kind: 'range', callId, range: { table, partition: PARTITION } };
    }
    case 'cancel':
      return {
        kind: 'range',
        callId,
        range:
          inquiry.stage === 'find' || inquiry.stage === 'write'
            ? jobRange(inquiry.jobId)
            : progressRange(inquiry.jobId),
      };
    case 'status':
      return {
        kind: 'range',
        callId,
        range: inquiry.stage === 'job' ? jobRange(inquiry.jobId) : progressRange(inquiry.jobId),
      };
    default:
      return assertNever(inquiry);
  }
}

function withQuery(state: IntakeState, callId: string, inquiry: Query): IntakeState {
  return { ...state, queries: state.queries.set(callId, inquiry) };
}

function readRows(state: IntakeState, callId: string, inquiry: Query): IntakeStep {
  return { state: withQuery(state, callId, inquiry), effects: [readEffect(callId, inquiry)] };
}

function endQuery(
  state: IntakeState,
  callId: string,
  reply: IntakeReply,
  log: readonly IntakeEffect[] = [],
): IntakeStep {
  return {
    state: { ...state, queries: state.queries.delete(callId) },
    effects: [{ kind: 'reply', callId, reply }, ...log],
  };
}

/** Starts to answer a question of a caller. */
export function startQuery(
  state: IntakeState,
  event: Extract<IntakeEvent, { kind: 'cancel' | 'status' | 'pending' }>,
  nowMs: number,
): IntakeStep {
  const { callId } = event;
  const times = {
    expiresAtMs: nowMs + Math.max(0, event.timeoutMs - REPLY_MARGIN_MS),
    retryAtMs: Infinity,
  };
  switch (event.kind) {
    case 'cancel':
      return readRows(state, callId, {
        kind: 'cancel',
        jobId: event.jobId,
        stage: 'find',
        ...times,
      });
    case 'status':
      return readRows(state, callId, {
        kind: 'status',
        jobId: event.jobId,
        stage: 'progress',
        ...times,
      });
    case 'pending':
      return readRows(state, callId, {
        kind: 'pending',
        queue: event.queue,
        stage: 'counts',
        ...times,
      });
    default:
      return assertNever(event);
  }
}

/** Open jobs of a queue, whether or not a task of them has run: more may wait than do, never fewer. */
function countJobs(rows: readonly StoredRow[], queue: string): number {
  return rows.filter(({ value }) => decodeJob(value)?.policy.queue === queue).length;
}

function statusReply(rows: readonly StoredRow[]): IntakeReply | undefined {
  const [row] = rows;
  const progress = row === undefined ? undefined : decodeProgress(row.value);
  return progress === undefined ? undefined : { kind: 'status', status: statusOf(progress) };
}

function applyRows(
  state: IntakeState,
  callId: string,
  inquiry: Query,
  rows: readonly StoredRow[],
  wallMs: number,
): IntakeStep {
  switch (inquiry.kind) {
    case 'pending': {
      if (inquiry.stage === 'scan') {
        const count = countJobs(rows, inquiry.queue);
        return endQuery(state, callId, { kind: 'pending', count });
      }
      const row = rows.find(({ key }) => key === COUNTS_KEY.key);
      const counts = countsSchema.safeParse(row?.value);
      const isFresh = counts.success && Math.abs(wallMs - counts.data.atMs) <= MAX_COUNTS_AGE_MS;
      return isFresh
        ? endQuery(state, callId, {
            kind: 'pending',
            count: counts.data.queues[inquiry.queue] ?? 0,
          })
        : readRows(state, callId, { ...inquiry, stage: 'scan' });
    }
    case 'status': {
      const { jobId } = inquiry;
      if (inquiry.stage === 'job') {
        // A job that ended between the two reads has its outcome stored by now.
        return rows.some(({ key }) => key === jobKey(jobId).key)
          ? endQuery(state, callId, { kind: 'status', status: 'queued' })
          : readRows(state, callId, { ...inquiry, stage: 'outcome' });
      }
      const reply = statusReply(rows);
      if (reply !== undefined) return endQuery(state, callId, reply);
      return inquiry.stage === 'progress'
        ? readRows(state, callId, { ...inquiry, stage: 'job' })
        : endQuery(state, callId, { kind: 'absent' });
    }
    case 'cancel': {
      const { jobId } = inquiry;
      if (inquiry.stage === 'outcome') {
        return endQuery(state, callId, { kind: rows.length > 0 ? 'cancelled' : 'absent' });
      }
      const job = rows.find(({ key }) => key === jobKey(jobId).key);
      if (job === undefined) return readRows(state, callId, { ...inquiry, stage: 'outcome' });
      if (rows.some(({ key }) => key === cancelKey(jobId).key)) {
        return endQuery(state, callId, { kind: 'cancelled' });
      }
      const transaction = {
        conditions: [{ ...jobKey(jobId), version: job.version }],
        writes: [{ kind: 'put', ...cancelKey(jobId), value: {} } as const],
      };
      return {
        state: withQuery(state, callId, { ...inquiry, stage: 'write' }),
        effects: [{ kind: 'commit', callId, transaction }],
      };
    }
    default:
      return assertNever(inquiry);
  }
}

function scheduleRetry(
  state: IntakeState,
  callId: string,
  inquiry: Query,
  nowMs: number,
): IntakeStep {
  return {
    state: withQuery(state, callId, { ...inquiry, retryAtMs: nowMs + RETRY_MS }),
    effects: [],
  };
}

/** Takes in rows that answer a question. */
export function onQueryRows(
  state: IntakeState,
  callId: string,
  result: RowRangeResult,
  nowMs: number,
  wallMs: number,
): IntakeStep {
  const inquiry = state.queries.get(callId);
  if (inquiry === undefined) return { state, effects: [] };
  return result.kind === 'unavailable'
    ? scheduleRetry(state, callId, inquiry, nowMs)
    : applyRows(state, callId, inquiry, result.rows, wallMs);
}

/** Takes in how the writing of a cancellation ended. */
export function onCancelOutcome(
  state: IntakeState,
  callId: string,
  result: RowCommitResult,
  nowMs: number,
): IntakeStep {
  const inquiry = state.queries.get(callId);
  if (inquiry?.kind !== 'cancel') return { state, effects: [] };
  switch (result.kind) {
    case 'committed':
      return endQuery(state, callId, { kind: 'cancelled' }, [
        logEffect('jobCancelled', { job: inquiry.jobId }),
      ]);
    case 'conflict':
      return readRows(state, callId, { ...inquiry, stage: 'find' });
    case 'unavailable':
    case 'unknown':
      return scheduleRetry(state, callId, { ...inquiry, stage: 'find' }, nowMs);
    default:
      return assertNever(result);
  }
}

/** Repeats questions that the store did not answer, and gives those up whose time is over. */
export function retryQueries(state: IntakeState, nowMs: number): IntakeStep {
  const waiting = state.queries.filter(({ retryAtMs }) => retryAtMs !== Infinity);
  return [...waiting].reduce<IntakeStep>(
    (step, [callId, inquiry]) => {
      if (nowMs < Math.min(inquiry.expiresAtMs, inquiry.retryAtMs)) return step;
      const next =
        nowMs >= inquiry.expiresAtMs
          ? endQuery(step.state, callId, {
              kind: 'unavailable',
              retryAfterMs: CALLER_RETRY_AFTER_MS,
            })
          : readRows(step.state, callId, { ...inquiry, retryAtMs: Infinity });
      return { state: next.state, effects: [...step.effects, ...next.effects] };
    },
    { state, effects: [] },
  );
}
