import { advance } from '@bronzeyoke/chart';
import type { AttemptEnd } from '@bronzeyoke/routing';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import type { RequestAction } from './chart';
import { requestChart } from './chart';
import { intentTransaction } from './intent';
import { replaceRecord } from './records';
import type {
  Attempt,
  RequestChartEvent,
  Intent,
  RequestRecord,
  RequestsEffect,
  RequestsState,
  RequestsStep,
} from './types';

function planAttempt(record: RequestRecord, agentId: string, plannedAtWallMs: number): Attempt {
  const { requestId } = record.request;
  const attemptId = `${requestId}.${record.plannedCount + 1}`;
  return { attemptId, requestId, agentId, sentAtMs: 0, plannedAtWallMs, isMeasured: false };
}

function withSentAttempt(record: RequestRecord, planned: Attempt, nowMs: number): RequestRecord {
  const attempt = { ...planned, sentAtMs: nowMs, isMeasured: true };
  return {
    ...record,
    sentCount: record.sentCount + 1,
    attempts: [...record.attempts, attempt],
    triedAgentIds: [...record.triedAgentIds, planned.agentId],
  };
}

function withVersion(intent: Intent | undefined, version: number): Partial<RequestRecord> {
  return intent === undefined ? {} : { intent: { ...intent, version } };
}

function withNextCall(record: RequestRecord, change: Partial<Intent>): RequestRecord {
  const { intent } = record;
  if (intent === undefined) return record;
  const callCount = intent.callCount + 1;
  const callId = `${record.request.requestId}#${callCount}`;
  return { ...record, intent: { ...intent, ...change, callCount, callId } };
}

function updateRecord(
  record: RequestRecord,
  event: RequestChartEvent,
  nowMs: number,
  wallMs: number,
): RequestRecord {
  const { planned, ...unplanned } = record;
  switch (event.kind) {
    case 'dispatch':
    case 'hedge': {
      const attempt = planAttempt(record, event.agentId, wallMs);
      return withSentAttempt(
        { ...unplanned, plannedCount: record.plannedCount + 1 },
        attempt,
        nowMs,
      );
    }
    case 'record': {
      const attempt = planAttempt(record, event.agentId, wallMs);
      const next = { ...record, plannedCount: record.plannedCount + 1, planned: attempt };
      return withNextCall(next, { committedAtMs: nowMs, commitCount: 1 });
    }
    case 'stored': {
      const stored = { ...unplanned, ...withVersion(record.intent, event.version) };
      return planned === undefined ? stored : withSentAttempt(stored, planned, nowMs);
    }
    case 'recommit':
      return withNextCall(record, { commitCount: (record.intent?.commitCount ?? 0) + 1 });
    case 'readBack':
      return withNextCall(record, {});
    case 'requeue':
      return { ...unplanned, ...withVersion(record.intent, event.version) };
    case 'found': {
      const { requestId, attemptId, agentId, plannedAtWallMs } = event.row;
      const plan = { requestId, attemptId, agentId, plannedAtWallMs };
      const attempt = { ...plan, sentAtMs: nowMs, isMeasured: false };
      const found = { ...unplanned, ...withVersion(record.intent, event.version) };
      return { ...found, attempts: [attempt] };
    }
    case 'enqueue':
    case 'reused':
    case 'answer':
    case 'retry':
    case 'disconnect':
    case 'collect':
    case 'refuse':
    case 'giveUp':
      return record;
    default:
      return assertNever(event);
  }
}

function collectEffects(record: RequestRecord, agentId: string): readonly RequestsEffect[] {
  return record.attempts
    .filter((attempt) => attempt.agentId === agentId)
    .map(({ requestId, attemptId }) => ({
      kind: 'send',
      agentId,
      message: { kind: 'collect', requestId, attemptId },
    }));
}

function commitEffects(record: RequestRecord): readonly RequestsEffect[] {
  const { intent, planned } = record;
  if (intent === undefined || planned === undefined) return [];
  const transaction = intentTransaction(intent, planned);
  return [{ kind: 'commit', origin: 'requests', callId: intent.callId, transaction }];
}

function sendEffects(record: RequestRecord, inputs: StepInputs): readonly RequestsEffect[] {
  const attempt = record.attempts.at(-1);
  if (attempt === undefined) return [];
  const { requestId, idempotencyKey, method, path, headers, body, traceparent } = record.request;
  const { attemptId, agentId } = attempt;
  const timeoutMs = Math.max(1, record.deadlineAtMs - inputs.nowMs);
  const message = {
    kind: 'request',
    requestId,
    attemptId,
    idempotencyKey,
    method,
    path,
    headers,
    body,
    timeoutMs,
    traceparent,
  } as const;
  return [{ kind: 'send', agentId, message }];
}

function effectsOf(
  record: RequestRecord,
  event: RequestChartEvent,
  action: RequestAction,
  inputs: StepInputs,
): readonly RequestsEffect[] {
  const { requestId } = record.request;
  switch (action) {
    case 'sendAttempt':
      return sendEffects(record, inputs);
    case 'sendCollect': {
      const agentId = event.kind === 'collect' ? event.agentId : record.attempts.at(-1)?.agentId;
      return agentId === undefined ? [] : collectEffects(record, agentId);
    }
    case 'cancelAttempts':
      // An attempt of another request must not be cancelled.
      return record.attempts
        .filter((attempt) => attempt.requestId === requestId)
        .map(({ agentId, attemptId }) => ({
          kind: 'send',
          agentId,
          message: { kind: 'cancelRequest', requestId, attemptId },
        }));
    case 'commitIntent':
      return commitEffects(record);
    case 'readIntent':
      return record.intent === undefined
        ? []
        : [
            {
              kind: 'read',
              origin: 'requests',
              callId: record.intent.callId,
              keys: [record.intent.key],
            },
          ];
    case 'replyAnswer':
      return event.kind === 'answer'
        ? [{ kind: 'reply', requestId, outcome: { kind: 'answered', answer: event.answer } }]
        : [];
    case 'replyNotRun': {
      const reason = event.kind === 'refuse' ? event.reason : 'deadlineExpired';
      return [{ kind: 'reply', requestId, outcome: { kind: 'notRun', reason } }];
    }
    case 'replyUnknown': {
      const reason = event.kind === 'giveUp' ? event.reason : 'deadlineExpired';
      return [{ kind: 'reply', requestId, outcome: { kind: 'unknown', reason } }];
    }
    case 'replyKeyReused':
      return [{ kind: 'reply', requestId, outcome: { kind: 'keyReused' } }];
    default:
      return assertNever(action);
  }
}

/** Returns how an attempt that is still open ends for its upstream when the request ends. */
function endOf(event: RequestChartEvent, attempt: Attempt, nowMs: number): AttemptEnd {
  return event.kind === 'giveUp' && event.reason === 'deadlineExpired'
    ? { kind: 'timedOut' }
    : { kind: 'abandoned', elapsedMs: nowMs - attempt.sentAtMs };
}

/** Applies a chart event to a request and returns the effects of its actions. */
export function advanceRequest(
  state: RequestsState,
  record: RequestRecord,
  event: RequestChartEvent,
  inputs: StepInputs,
): RequestsStep {
  const next = advance(requestChart, record.phase, event.kind);
  if (next.state === record.phase && next.actions.length === 0) return unchanged(state);
  const wallMs = state.wallOffsetMs + inputs.nowMs;
  const updated = { ...updateRecord(record, event, inputs.nowMs, wallMs), phase: next.state };
  const current = state.records.get(record.request.requestId);
  const after = next.state === 'ended' ? undefined : updated;
  const replaced = replaceRecord(
    state,
    current,
    after,
    (attempt) => endOf(event, attempt, inputs.nowMs),
    inputs.nowMs,
  );
  const effects = next.actions.flatMap((action) => effectsOf(updated, event, action, inputs));
  return { state: replaced.state, effects: [...effects, ...replaced.effects] };
}
