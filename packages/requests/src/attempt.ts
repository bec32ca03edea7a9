import type { AttemptEnd } from '@bronzeyoke/routing';
import type { StepInputs, NotRunReason, UnknownReason } from '@bronzeyoke/types';
import { assertNever, unchanged, chain } from '@bronzeyoke/types';
import { endUnanswered, reserveRetry } from './dispatch';
import { replaceRecord } from './records';
import { advanceRequest } from './transition';
import type { Attempt, AttemptResult, RequestRecord, RequestsState, RequestsStep } from './types';

const SERVER_ERROR = 500;

/**
 * Age up to which an agent's report that an attempt never arrived counts as proof. Agents keep
 * attempts for 15 minutes; the difference allows for clock skew between entries.
 */
const MAX_PROOF_AGE_MS = 600_000;

/** How far the wall clock of the entry that planned an attempt may run ahead of this one. */
const MAX_CLOCK_SKEW_MS = 60_000;

/** Turns `neverArrived` into `outcomeUnknown` when the agent may have dropped the attempt. */
function discardStaleProof(
  state: RequestsState,
  attempt: Attempt,
  result: AttemptResult,
  nowMs: number,
): AttemptResult {
  const ageMs = state.wallOffsetMs + nowMs - attempt.plannedAtWallMs;
  const isProof = ageMs >= -MAX_CLOCK_SKEW_MS && ageMs <= MAX_PROOF_AGE_MS;
  return result.kind === 'neverArrived' && !isProof
    ? { kind: 'outcomeUnknown', reason: 'connectionLost' }
    : result;
}

function notRunEnd(reason: NotRunReason): AttemptEnd {
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
      return notRunEnd(result.reason);
    case 'neverArrived':
      return { kind: 'released' };
    case 'outcomeUnknown':
      return unknownEnd(result.reason);
    default:
      return assertNever(result);
  }
}

/** Retries or ends a request. Does nothing while another attempt is open or the request is queued. */
function retryOrEnd(
  state: RequestsState,
  record: RequestRecord,
  reason: NotRunReason,
  inputs: StepInputs,
): RequestsStep {
  if (record.attempts.length > 0 || record.phase === 'queued') return unchanged(state);
  const reserved = reserveRetry(state, record);
  return reserved === undefined
    ? endUnanswered(state, record, reason, inputs)
    : advanceRequest(reserved, record, { kind: 'retry' }, inputs);
}

function applyResult(
  state: RequestsState,
  record: RequestRecord,
  result: AttemptResult,
  inputs: StepInputs,
): RequestsStep {
  switch (result.kind) {
    case 'answered':
      return advanceRequest(state, record, { kind: 'answer', answer: result.answer }, inputs);
    case 'notRun':
      return retryOrEnd(state, record, result.reason, inputs);
    case 'neverArrived':
      return retryOrEnd(state, record, 'noUpstream', inputs);
    case 'outcomeUnknown': {
      // A non-idempotent request that may have run is never sent again.
      if (record.intent !== undefined) {
        return advanceRequest(state, record, { kind: 'giveUp', reason: result.reason }, inputs);
      }
      const isPending = record.attempts.length > 0 || record.phase === 'queued';
      const reserved = isPending ? state : reserveRetry(state, record);
      if (reserved === undefined) {
        return advanceRequest(state, record, { kind: 'giveUp', reason: result.reason }, inputs);
      }
      return isPending
        ? unchanged(state)
        : advanceRequest(reserved, record, { kind: 'retry' }, inputs);
    }
    default:
      return assertNever(result);
  }
}

/** Ends one attempt of a request, and then answers, retries or ends the request. */
export function endAttempt(
  state: RequestsState,
  record: RequestRecord,
  attempt: Attempt,
  reported: AttemptResult,
  inputs: StepInputs,
): RequestsStep {
  const result = discardStaleProof(state, attempt, reported, inputs.nowMs);
  const remaining: RequestRecord = {
    ...record,
    attempts: record.attempts.filter((candidate) => candidate !== attempt),
    mayHaveRun: record.mayHaveRun || result.kind === 'outcomeUnknown',
  };
  const end = endOf(attempt, result, inputs.nowMs);
  const replaced = replaceRecord(state, record, remaining, () => end, inputs.nowMs);
  return chain(replaced, (current) => applyResult(current, remaining, result, inputs));
}

/**
 * Returns the records that wait for an attempt at an agent. A late or misdirected result matches
 * none, because the ids of the request, the attempt and the agent all have to match.
 */
export function recordsAwaiting(
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
