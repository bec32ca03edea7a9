import { blockAttempt, holdKey, recordAttempt } from './history';
import type { AdmissionState, AttemptRecord } from './types';

/** Time for which an ended attempt can be collected over another connection. */
const ANSWER_RETENTION_MS = 60_000;

/** Maximum ended attempts that are kept. */
const MAX_ENDED = 512;

/** Maximum refused attempts that are kept. */
const MAX_REFUSED = 1_024;

/** Maximum bytes of answer bodies that are kept. */
const MAX_ENDED_BYTES = 4 * 1_048_576;

/** Final phases of an attempt. */
export const ENDED_PHASES: ReadonlySet<string> = new Set(['answered', 'lost', 'refused']);

const NO_BODY = new Uint8Array(0);

function pruneEnded(state: AdmissionState, nowMs: number): AdmissionState {
  const oldest = state.ended.entrySeq().first();
  if (oldest === undefined) return state;
  const [attemptId, endedAtMs] = oldest;
  const isOverLimit =
    state.ended.size > MAX_ENDED ||
    state.endedBytes > MAX_ENDED_BYTES ||
    nowMs - endedAtMs > ANSWER_RETENTION_MS;
  if (!isOverLimit) return state;
  const bytes = state.records.get(attemptId)?.answer?.body.length ?? 0;
  return pruneEnded(
    {
      ...state,
      records: state.records.delete(attemptId),
      ended: state.ended.delete(attemptId),
      endedBytes: state.endedBytes - bytes,
    },
    nowMs,
  );
}

function pruneRefused(state: AdmissionState, nowMs: number): AdmissionState {
  const oldest = state.refused.entrySeq().first();
  if (oldest === undefined) return state;
  const [attemptId, refusedAtMs] = oldest;
  const isOverLimit = state.refused.size > MAX_REFUSED || nowMs - refusedAtMs > ANSWER_RETENTION_MS;
  if (!isOverLimit) return state;
  const records = state.records.delete(attemptId);
  return pruneRefused({ ...state, records, refused: state.refused.delete(attemptId) }, nowMs);
}

/** Keeps an ended attempt for a limited time, without its headers, body and waiters. */
export function retainEnded(
  state: AdmissionState,
  record: AttemptRecord,
  nowMs: number,
): AdmissionState {
  const { attempt, phase } = record;
  const { attemptId, idempotencyKey } = attempt;
  const kept = { ...record, attempt: { ...attempt, headers: {}, body: NO_BODY }, waiters: [] };
  const records = state.records.set(attemptId, kept);
  if (phase === 'refused') {
    const history =
      idempotencyKey === undefined
        ? state.history
        : blockAttempt(state.history, idempotencyKey, attemptId, nowMs);
    const refused = state.refused.set(attemptId, nowMs);
    return pruneRefused({ ...state, records, refused, history }, nowMs);
  }
  const endedBytes = state.endedBytes + (record.answer?.body.length ?? 0);
  const ended = state.ended.set(attemptId, nowMs);
  return pruneEnded({ ...state, records, ended, endedBytes }, nowMs);
}

/** Records that a non-idempotent attempt is queued or runs, before it is sent to the upstream. */
export function recordKeyUse(
  state: AdmissionState,
  record: AttemptRecord,
  nowMs: number,
): AdmissionState {
  const { attemptId, idempotencyKey: key } = record.attempt;
  if (key === undefined || (record.phase !== 'queued' && record.phase !== 'running')) return state;
  const held = holdKey(state.history, key, attemptId);
  const history =
    record.phase === 'running'
      ? recordAttempt(held, attemptId, { kind: 'ran', atMs: nowMs, key })
      : held;
  return { ...state, history };
}
