import { Map, OrderedMap } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import {
  addUpstream,
  chooseUpstream,
  countEnded,
  countSent,
  createRouting,
  hasUpstream,
  markLeaving,
  removeUpstream,
  totalSlots,
} from '@bronzeyoke/routing';
import type {
  CallerRequest,
  Instant,
  NotRunReason,
  Step,
  UnknownReason,
  UpstreamAnswer,
} from '@bronzeyoke/types';
import { assertNever, draws, unchanged } from '@bronzeyoke/types';
import type { RequestAction } from './chart';
import { requestChart } from './chart';
import type {
  Intent,
  RequestRecord,
  RequestsEffect,
  RequestsEvent,
  RequestsState,
  SentAttempt,
} from './types';

/** Requests that may wait for each slot of a service before new ones are refused. */
const QUEUE_PER_SLOT = 8;

/** Attempts of one request, the first one included. */
const MAX_ATTEMPTS = 3;

type RequestsStep = Step<RequestsState, RequestsEffect>;

type ChartEvent =
  | { readonly kind: 'enqueue' }
  | { readonly kind: 'dispatch'; readonly agentId: string }
  | { readonly kind: 'record'; readonly agentId: string }
  | { readonly kind: 'intentStored' }
  | { readonly kind: 'intentFound'; readonly intent: Intent }
  | { readonly kind: 'answer'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'retry' }
  | { readonly kind: 'refuse'; readonly reason: NotRunReason }
  | { readonly kind: 'giveUp'; readonly reason: UnknownReason }
  | { readonly kind: 'expire' };

/** The state before the first request. */
export function createRequests(homeDomain: string): RequestsState {
  return {
    routing: createRouting(homeDomain),
    isDraining: false,
    records: Map(),
    queue: OrderedMap(),
  };
}

/** Whether a planned stop can go ahead: no request is in progress. */
export function isIdle(state: RequestsState): boolean {
  return state.records.isEmpty();
}

function newAttempt(record: RequestRecord, agentId: string, nowMs: number): RequestRecord {
  const attemptId = `${record.request.requestId}.${record.attemptCount + 1}`;
  const attempt: SentAttempt = { attemptId, agentId, sentAtMs: nowMs };
  return {
    ...record,
    attemptCount: record.attemptCount + 1,
    attempts: [...record.attempts, attempt],
    intent: { requestId: record.request.requestId, attemptId, agentId },
  };
}

function amend(record: RequestRecord, event: ChartEvent, nowMs: number): RequestRecord {
  switch (event.kind) {
    case 'dispatch':
    case 'record':
      return newAttempt(record, event.agentId, nowMs);
    case 'intentFound':
      return { ...record, intent: event.intent, attempts: [] };
    case 'enqueue':
    case 'intentStored':
    case 'answer':
    case 'retry':
    case 'refuse':
    case 'giveUp':
    case 'expire':
      return record;
    default:
      return assertNever(event);
  }
}

function effectsOf(
  record: RequestRecord,
  event: ChartEvent,
  action: RequestAction,
  instant: Instant,
): readonly RequestsEffect[] {
  const { request, intent } = record;
  const { requestId } = request;
  switch (action) {
    case 'sendAttempt': {
      const attempt = record.attempts.at(-1);
      if (attempt === undefined) return [];
      const message = {
        kind: 'request',
        requestId,
        attemptId: attempt.attemptId,
        idempotencyKey: request.idempotencyKey,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        timeoutMs: Math.max(1, record.deadlineAtMs - instant.nowMs),
        traceparent: request.traceparent,
      } as const;
      return [{ kind: 'send', agentId: attempt.agentId, message }];
    }
    case 'sendCollect':
      return intent === undefined
        ? []
        : [{ kind: 'send', agentId: intent.agentId, message: { ...intent, kind: 'collect' } }];
    case 'cancelAttempts':
      return record.attempts.map(({ agentId, attemptId }) => ({
        kind: 'send',
        agentId,
        message: { kind: 'cancelRequest', requestId, attemptId },
      }));
    case 'storeIntent':
      return intent === undefined || request.idempotencyKey === undefined
        ? []
        : [{ kind: 'storeIntent', key: request.idempotencyKey, intent }];
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
    default:
      return assertNever(action);
  }
}

function apply(
  state: RequestsState,
  record: RequestRecord,
  event: ChartEvent,
  instant: Instant,
): RequestsStep {
  const next = advance(requestChart, record.phase, event.kind);
  if (next.state === record.phase && next.actions.length === 0) return unchanged(state);
  const { requestId } = record.request;
  const amended = { ...amend(record, event, instant.nowMs), phase: next.state };
  const queue =
    next.state === 'queued' ? state.queue.set(requestId, true) : state.queue.delete(requestId);
  const records =
    next.state === 'ended'
      ? state.records.delete(requestId)
      : state.records.set(requestId, amended);
  const isSent = event.kind === 'dispatch' || event.kind === 'record';
  const sentRouting = isSent ? countSent(state.routing, event.agentId) : state.routing;
  // A request that ends releases the upstreams of the attempts that it still had.
  const routing =
    next.state === 'ended'
      ? record.attempts.reduce(
          (current, attempt) => countEnded(current, attempt.agentId, undefined),
          sentRouting,
        )
      : sentRouting;
  return {
    state: { ...state, records, queue, routing },
    effects: next.actions.flatMap((action) => effectsOf(amended, event, action, instant)),
  };
}

function place(state: RequestsState, record: RequestRecord, instant: Instant): RequestsStep {
  const { request } = record;
  const agentId = chooseUpstream(state.routing, request.service, [], instant.random);
  if (agentId !== undefined) {
    const kind = request.idempotencyKey === undefined ? 'dispatch' : 'record';
    return apply(state, record, { kind, agentId }, instant);
  }
  const isFull = state.queue.size >= QUEUE_PER_SLOT * totalSlots(state.routing, request.service);
  if (!hasUpstream(state.routing, request.service)) {
    return apply(state, record, { kind: 'refuse', reason: 'noUpstream' }, instant);
  }
  return isFull
    ? apply(state, record, { kind: 'refuse', reason: 'overloaded' }, instant)
    : apply(state, record, { kind: 'enqueue' }, instant);
}

function arrived(state: RequestsState, request: CallerRequest, instant: Instant): RequestsStep {
  const record: RequestRecord = {
    request,
    phase: requestChart.initial,
    arrivedAtMs: instant.nowMs,
    deadlineAtMs: instant.nowMs + request.timeoutMs,
    attemptCount: 0,
    attempts: [],
  };
  const placed = state.isDraining
    ? apply(state, record, { kind: 'refuse', reason: 'draining' }, instant)
    : place(state, record, instant);
  const expiry: RequestsEffect = {
    kind: 'expireLater',
    requestId: request.requestId,
    afterMs: request.timeoutMs,
  };
  return placed.state.records.has(request.requestId)
    ? { ...placed, effects: [...placed.effects, expiry] }
    : placed;
}

/** Takes an ended attempt off the record and its upstream. Late and crossed ones are not found. */
function takeAttempt(
  state: RequestsState,
  requestId: string,
  attemptId: string,
  latencyFrom: number | undefined,
): { readonly state: RequestsState; readonly record: RequestRecord } | undefined {
  const record = state.records.get(requestId);
  if (record === undefined) return undefined;
  const attempt = record.attempts.find((candidate) => candidate.attemptId === attemptId);
  if (attempt === undefined) {
    const isCollected = record.phase === 'collecting' && record.intent?.attemptId === attemptId;
    return isCollected ? { state, record } : undefined;
  }
  const latencyMs = latencyFrom === undefined ? undefined : latencyFrom - attempt.sentAtMs;
  const attempts = record.attempts.filter((candidate) => candidate !== attempt);
  const left = { ...record, attempts };
  return {
    state: {
      ...state,
      routing: countEnded(state.routing, attempt.agentId, latencyMs),
      records: state.records.set(requestId, left),
    },
    record: left,
  };
}

function attemptNotRun(
  state: RequestsState,
  requestId: string,
  attemptId: string,
  reason: NotRunReason,
  instant: Instant,
): RequestsStep {
  const taken = takeAttempt(state, requestId, attemptId, undefined);
  if (taken === undefined) return unchanged(state);
  const { record } = taken;
  // A non-idempotent request would need its intent moved to the next attempt.
  const mayRetry =
    record.attemptCount < MAX_ATTEMPTS && record.request.idempotencyKey === undefined;
  const event: ChartEvent = mayRetry ? { kind: 'retry' } : { kind: 'refuse', reason };
  return apply(taken.state, record, event, instant);
}

function attemptUnknown(
  state: RequestsState,
  requestId: string,
  attemptId: string,
  reason: UnknownReason,
  instant: Instant,
): RequestsStep {
  const taken = takeAttempt(state, requestId, attemptId, undefined);
  if (taken === undefined) return unchanged(state);
  const { record } = taken;
  const mayRetry =
    record.attemptCount < MAX_ATTEMPTS && record.request.idempotencyKey === undefined;
  const event: ChartEvent = mayRetry ? { kind: 'retry' } : { kind: 'giveUp', reason };
  return apply(taken.state, record, event, instant);
}

function upstreamDown(state: RequestsState, agentId: string, instant: Instant): RequestsStep {
  const routing = removeUpstream(state.routing, agentId);
  const lost = state.records
    .valueSeq()
    .flatMap(({ request, attempts }) =>
      attempts
        .filter((attempt) => attempt.agentId === agentId)
        .map(({ attemptId }) => ({ requestId: request.requestId, attemptId })),
    )
    .toArray();
  return lost.reduce<RequestsStep>(
    (step, { requestId, attemptId }) => {
      const next = attemptUnknown(step.state, requestId, attemptId, 'connectionLost', instant);
      return { state: next.state, effects: [...step.effects, ...next.effects] };
    },
    { state: { ...state, routing }, effects: [] },
  );
}

function withRecord(
  state: RequestsState,
  requestId: string,
  event: ChartEvent,
  instant: Instant,
): RequestsStep {
  const record = state.records.get(requestId);
  return record === undefined ? unchanged(state) : apply(state, record, event, instant);
}

function decide(state: RequestsState, event: RequestsEvent, instant: Instant): RequestsStep {
  switch (event.kind) {
    case 'arrived':
      return arrived(state, event.request, instant);
    case 'upstreamUp':
      return unchanged({ ...state, routing: addUpstream(state.routing, event.upstream) });
    case 'upstreamLeaving':
      return unchanged({ ...state, routing: markLeaving(state.routing, event.agentId) });
    case 'upstreamDown':
      return upstreamDown(state, event.agentId, instant);
    case 'answered': {
      const taken = takeAttempt(state, event.requestId, event.attemptId, instant.nowMs);
      return taken === undefined
        ? unchanged(state)
        : apply(taken.state, taken.record, { kind: 'answer', answer: event.answer }, instant);
    }
    case 'notRun':
      return attemptNotRun(state, event.requestId, event.attemptId, event.reason, instant);
    case 'outcomeUnknown':
      return attemptUnknown(state, event.requestId, event.attemptId, event.reason, instant);
    case 'intentStored':
      return withRecord(state, event.requestId, { kind: 'intentStored' }, instant);
    case 'intentFound':
      return withRecord(
        state,
        event.requestId,
        { kind: 'intentFound', intent: event.intent },
        instant,
      );
    case 'intentFailed':
      return withRecord(
        state,
        event.requestId,
        { kind: 'refuse', reason: 'storeUnavailable' },
        instant,
      );
    case 'expire':
      return withRecord(state, event.requestId, { kind: 'expire' }, instant);
    case 'drain':
      return unchanged({ ...state, isDraining: true });
    default:
      return assertNever(event);
  }
}

function dispatchQueued(step: RequestsStep, instant: Instant): RequestsStep {
  const requestId = step.state.queue.keySeq().first();
  const record = requestId === undefined ? undefined : step.state.records.get(requestId);
  if (record === undefined) return step;
  const placed = place(step.state, record, instant);
  if (placed.state.queue.size >= step.state.queue.size) return step;
  const [random = 0] = draws(instant.random, 1);
  return dispatchQueued(
    { state: placed.state, effects: [...step.effects, ...placed.effects] },
    { ...instant, random },
  );
}

/** Decides what happens to callers' requests at an entry. */
export function stepRequests(
  state: RequestsState,
  event: RequestsEvent,
  instant: Instant,
): RequestsStep {
  return dispatchQueued(decide(state, event, instant), instant);
}
