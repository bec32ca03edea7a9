import type { RowCommitResult, RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import { cancelKey, COUNTS_KEY, jobKey, PARTITION, TABLES } from '@bronzeyoke/scheduler';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';
import { z } from 'zod';
import { decodeJob, decodeProgress, statusOf } from '@bronzeyoke/workflow';
import type {
  Inquiry,
  IntakeEffect,
  IntakeEvent,
  IntakeReply,
  IntakeState,
  IntakeStep,
} from './types';

const RETRY_MS = 100;

/** Counts older than this are replaced by a look at the open jobs. */
const FRESH_MS = 2_000;

const countsSchema = z.object({ atMs: z.number(), queues: z.record(z.string(), z.number()) });
const COME_BACK_MS = 1_000;
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

function ask(callId: string, inquiry: Inquiry): IntakeEffect {
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

function put(state: IntakeState, callId: string, inquiry: Inquiry): IntakeState {
  return { ...state, inquiries: state.inquiries.set(callId, inquiry) };
}

function proceed(state: IntakeState, callId: string, inquiry: Inquiry): IntakeStep {
  return { state: put(state, callId, inquiry), effects: [ask(callId, inquiry)] };
}

function finish(
  state: IntakeState,
  callId: string,
  reply: IntakeReply,
  log: readonly IntakeEffect[] = [],
): IntakeStep {
  return {
    state: { ...state, inquiries: state.inquiries.delete(callId) },
    effects: [{ kind: 'reply', callId, reply }, ...log],
  };
}

/** Starts to answer a question of a caller. */
export function inquire(
  state: IntakeState,
  event: Extract<IntakeEvent, { kind: 'cancel' | 'status' | 'pending' }>,
  nowMs: number,
): IntakeStep {
  const { callId } = event;
  const times = {
    giveUpAtMs: nowMs + Math.max(0, event.timeoutMs - REPLY_MARGIN_MS),
    retryAtMs: Infinity,
  };
  switch (event.kind) {
    case 'cancel':
      return proceed(state, callId, {
        kind: 'cancel',
        jobId: event.jobId,
        stage: 'find',
        ...times,
      });
    case 'status':
      return proceed(state, callId, {
        kind: 'status',
        jobId: event.jobId,
        stage: 'progress',
        ...times,
      });
    case 'pending':
      return proceed(state, callId, {
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

function statusIn(rows: readonly StoredRow[]): IntakeReply | undefined {
  const [row] = rows;
  const progress = row === undefined ? undefined : decodeProgress(row.value);
  return progress === undefined ? undefined : { kind: 'status', status: statusOf(progress) };
}

function onRows(
  state: IntakeState,
  callId: string,
  inquiry: Inquiry,
  rows: readonly StoredRow[],
  wallMs: number,
): IntakeStep {
  switch (inquiry.kind) {
    case 'pending': {
      if (inquiry.stage === 'scan') {
        const count = countJobs(rows, inquiry.queue);
        return finish(state, callId, { kind: 'pending', count });
      }
      const row = rows.find(({ key }) => key === COUNTS_KEY.key);
      const counts = countsSchema.safeParse(row?.value);
      const isFresh = counts.success && Math.abs(wallMs - counts.data.atMs) <= FRESH_MS;
      return isFresh
        ? finish(state, callId, { kind: 'pending', count: counts.data.queues[inquiry.queue] ?? 0 })
        : proceed(state, callId, { ...inquiry, stage: 'scan' });
    }
    case 'status': {
      const { jobId } = inquiry;
      if (inquiry.stage === 'job') {
        // A job that ended between the two reads has its outcome stored by now.
        return rows.some(({ key }) => key === jobKey(jobId).key)
          ? finish(state, callId, { kind: 'status', status: 'queued' })
          : proceed(state, callId, { ...inquiry, stage: 'outcome' });
      }
      const reply = statusIn(rows);
      if (reply !== undefined) return finish(state, callId, reply);
      return inquiry.stage === 'progress'
        ? proceed(state, callId, { ...inquiry, stage: 'job' })
        : finish(state, callId, { kind: 'absent' });
    }
    case 'cancel': {
      const { jobId } = inquiry;
      if (inquiry.stage === 'outcome') {
        return finish(state, callId, { kind: rows.length > 0 ? 'cancelled' : 'absent' });
      }
      const job = rows.find(({ key }) => key === jobKey(jobId).key);
      if (job === undefined) return proceed(state, callId, { ...inquiry, stage: 'outcome' });
      if (rows.some(({ key }) => key === cancelKey(jobId).key)) {
        return finish(state, callId, { kind: 'cancelled' });
      }
      const transaction = {
        conditions: [{ ...jobKey(jobId), version: job.version }],
        writes: [{ kind: 'put', ...cancelKey(jobId), value: {} } as const],
      };
      return {
        state: put(state, callId, { ...inquiry, stage: 'write' }),
        effects: [{ kind: 'commit', callId, transaction }],
      };
    }
    default:
      return assertNever(inquiry);
  }
}

function later(state: IntakeState, callId: string, inquiry: Inquiry, nowMs: number): IntakeStep {
  return { state: put(state, callId, { ...inquiry, retryAtMs: nowMs + RETRY_MS }), effects: [] };
}

/** Takes in rows that answer a question. */
export function onInquiryRows(
  state: IntakeState,
  callId: string,
  result: RowRangeResult,
  nowMs: number,
  wallMs: number,
): IntakeStep {
  const inquiry = state.inquiries.get(callId);
  if (inquiry === undefined) return { state, effects: [] };
  return result.kind === 'unavailable'
    ? later(state, callId, inquiry, nowMs)
    : onRows(state, callId, inquiry, result.rows, wallMs);
}

/** Takes in how the writing of a cancellation ended. */
export function onCancelWritten(
  state: IntakeState,
  callId: string,
  result: RowCommitResult,
  nowMs: number,
): IntakeStep {
  const inquiry = state.inquiries.get(callId);
  if (inquiry?.kind !== 'cancel') return { state, effects: [] };
  switch (result.kind) {
    case 'committed':
      return finish(state, callId, { kind: 'cancelled' }, [
        logEffect('jobCancelled', { job: inquiry.jobId }),
      ]);
    case 'conflict':
      return proceed(state, callId, { ...inquiry, stage: 'find' });
    case 'unavailable':
    case 'unknown':
      return later(state, callId, { ...inquiry, stage: 'find' }, nowMs);
    default:
      return assertNever(result);
  }
}

/** Repeats questions that the store did not answer, and gives those up whose time is over. */
export function retryInquiries(state: IntakeState, nowMs: number): IntakeStep {
  const waiting = state.inquiries.filter(({ retryAtMs }) => retryAtMs !== Infinity);
  return [...waiting].reduce<IntakeStep>(
    (step, [callId, inquiry]) => {
      if (nowMs < Math.min(inquiry.giveUpAtMs, inquiry.retryAtMs)) return step;
      const next =
        nowMs >= inquiry.giveUpAtMs
          ? finish(step.state, callId, { kind: 'unavailable', retryAfterMs: COME_BACK_MS })
          : proceed(step.state, callId, { ...inquiry, retryAtMs: Infinity });
      return { state: next.state, effects: [...step.effects, ...next.effects] };
    },
    { state, effects: [] },
  );
}
