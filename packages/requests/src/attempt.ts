import type { AttemptEnd } from '@bronzeyoke/routing';
import type { Instant, NotRunReason, UnknownReason } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import { finish, takeRetry } from './place';
import { chain, replaceRecord } from './records';
import { apply } from './transition';
import type { Attempt, AttemptResult, RequestRecord, RequestsState, RequestsStep } from './types';

const SERVER_ERROR = 500;

function refusalEnd(reason: NotRunReason): AttemptEnd {
  switch (reason) {
    case 'overloaded':
    case 'connectionLimit':
    case 'deadlineExpired':
      return { kind: 'refused' };
    case 'noUpstream':
      return { kind: 'failed' };
    case 'draining':
    case 'storeUnavailable':
    case 'cancelled':
      return { kind: 'released' };
    default:
      return assertNever(reason);
  }
}

function unknownEnd(reason: UnknownReason): AttemptEnd {
  switch (reason) {
    case 'deadlineExpired':
      return { kind: 'timedOut' };
    case 'upstreamFailed':
    case 'connectionLost':
    case 'agentRestarted':
      return { kind: 'failed' };
    case 'recordUnreadable':
      return { kind: 'released' };
    default:
      return assertNever(reason);
  }
}

function endOf(attempt: Attempt, result: AttemptResult, nowMs: number): AttemptEnd {
  switch (result.kind) {
    case 'answered': {
      const isFailure = result.answer.status >= SERVER_ERROR;
      return { kind: 'answered', latencyMs: nowMs - attempt.sentAtMs, isFailure };
    }
    case 'notRun':
      return refusalEnd(result.reason);
    case 'neverArrived':
      return { kind: 'released' };
    case 'outcomeUnknown':
      return unknownEnd(result.reason);
    default:
      return assertNever(result);
  }
}

/** Sends a request again if it may be; ends it otherwise, once none of its attempts is open. */
function goOn(
  state: RequestsState,
  record: RequestRecord,
  reason: NotRunReason,
  instant: Instant,
): RequestsStep {
  // Another attempt is open, or the request waits for another one already.
  if (record.attempts.length > 0 || record.phase === 'queued') return unchanged(state);
  const paid = takeRetry(state, record);
  return paid === undefined
    ? finish(state, record, reason, instant)
    : apply(paid, record, { kind: 'retry' }, instant);
}

function ended(
  state: RequestsState,
  record: RequestRecord,
  result: AttemptResult,
  instant: Instant,
): RequestsStep {
  switch (result.kind) {
    case 'answered':
      return apply(state, record, { kind: 'answer', answer: result.answer }, instant);
    case 'notRun':
      return goOn(state, record, result.reason, instant);
    case 'neverArrived':
      return goOn(state, record, 'noUpstream', instant);
    case 'outcomeUnknown': {
      // A non-idempotent request that may have run is never sent again.
      if (record.intent !== undefined) {
        return apply(state, record, { kind: 'giveUp', reason: result.reason }, instant);
      }
      const paid = record.attempts.length > 0 || record.phase === 'queued';
      const retried = paid ? state : takeRetry(state, record);
      if (retried === undefined) {
        return apply(state, record, { kind: 'giveUp', reason: result.reason }, instant);
      }
      return paid ? unchanged(state) : apply(retried, record, { kind: 'retry' }, instant);
    }
    default:
      return assertNever(result);
  }
}

/** Ends one attempt of a request. */
export function endAttempt(
  state: RequestsState,
  record: RequestRecord,
  attempt: Attempt,
  result: AttemptResult,
  instant: Instant,
): RequestsStep {
  const left: RequestRecord = {
    ...record,
    attempts: record.attempts.filter((candidate) => candidate !== attempt),
    mayHaveRun: record.mayHaveRun || result.kind === 'outcomeUnknown',
  };
  const end = endOf(attempt, result, instant.nowMs);
  const replaced = replaceRecord(state, record, left, () => end, instant.nowMs);
  return chain(replaced, (current) => ended(current, left, result, instant));
}

/**
 * The records that wait for an attempt of an agent. Late and crossed results find none: the ids of
 * the request, of the attempt and of the agent have to match.
 */
export function waitingFor(
  state: RequestsState,
  agentId: string,
  requestId: string,
  attemptId: string,
): readonly { readonly record: RequestRecord; readonly attempt: Attempt }[] {
  return [requestId, ...(state.collectors.get(attemptId) ?? [])].flatMap((id) => {
    const record = state.records.get(id);
    const attempt = record?.attempts.find(
      (candidate) =>
        candidate.attemptId === attemptId &&
        candidate.requestId === requestId &&
        candidate.agentId === agentId,
    );
    return record === undefined || attempt === undefined ? [] : [{ record, attempt }];
  });
}
