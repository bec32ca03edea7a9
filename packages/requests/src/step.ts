import { Map } from 'immutable';
import type { StoreEvent } from '@bronzeyoke/ports';
import {
  allowProbe,
  chooseUpstream,
  createRouting,
  depositRetry,
  hasSpareSlots,
  isUsable,
  markLeaving,
  setOutDomains,
  setPool,
  setPresence,
} from '@bronzeyoke/routing';
import type { CallerRequest, Instant } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import { endAttempt, recordsAwaiting } from './attempt';
import { requestChart } from './chart';
import type { IntentCommit } from './group';
import { GROUP_DELAY_MS, EMPTY_GROUPS, flushIntents, settleIntents } from './group';
import type { IntentResult } from './intent';
import { newIntent, interpretCommit, interpretRead } from './intent';
import { dispatchQueued, endUnanswered, dispatchOrQueue, withdrawAttempt } from './dispatch';
import { chain } from './records';
import { applyEvent } from './transition';
import type {
  RequestRecord,
  RequestsEffect,
  RequestsEvent,
  RequestsState,
  RequestsStep,
  RequestsTimer,
} from './types';
import { onAgentReturnTimeout, awaitAgent, upstreamDown, upstreamUp } from './upstream';

/**
 * Oldest intent after which an attempt is still sent. Agents remember for a bounded time which
 * attempts they have refused, so none must be sent long after others could read its row.
 */
const MAX_INTENT_AGE_MS = 5_000;

/** The state before the first request. */
export function createRequests(localDomain: string): RequestsState {
  return {
    routing: createRouting(localDomain),
    isDraining: false,
    records: Map(),
    queues: Map(),
    collectors: Map(),
    lostAtMs: Map(),
    groups: EMPTY_GROUPS,
    wallOffsetMs: 0,
  };
}

/** Whether a planned stop can go ahead: no request is in progress. */
export function isIdle(state: RequestsState): boolean {
  return state.records.isEmpty();
}

function onArrival(state: RequestsState, request: CallerRequest, instant: Instant): RequestsStep {
  const { requestId, service, timeoutMs } = request;
  const intent = newIntent(request);
  const record: RequestRecord = {
    request,
    phase: requestChart.initial,
    deadlineAtMs: instant.nowMs + timeoutMs,
    plannedCount: 0,
    sentCount: 0,
    attempts: [],
    mayHaveRun: false,
    triedAgentIds: [],
    ...(intent === undefined ? {} : { intent }),
  };
  if (state.isDraining) return endUnanswered(state, record, 'draining', instant);
  const pool = state.routing.pools.get(service);
  // A service without upstreams gets no pool, so that made-up names take no memory.
  const routing =
    pool === undefined ? state.routing : setPool(state.routing, service, depositRetry(pool));
  const placed = dispatchOrQueue({ ...state, routing }, record, instant);
  const expiry: RequestsEffect = {
    kind: 'wake',
    timer: { kind: 'requestExpiry', requestId },
    afterMs: timeoutMs,
  };
  return placed.state.records.has(requestId)
    ? { ...placed, effects: [...placed.effects, expiry] }
    : placed;
}

function onExpiry(state: RequestsState, requestId: string, instant: Instant): RequestsStep {
  const record = state.records.get(requestId);
  return record === undefined
    ? unchanged(state)
    : endUnanswered(state, record, 'deadlineExpired', instant);
}

function onHedgeTimer(state: RequestsState, requestId: string, instant: Instant): RequestsStep {
  const record = state.records.get(requestId);
  const isWaiting = record?.phase === 'dispatched' && record.sentCount === 1;
  if (record === undefined || !isWaiting || record.intent !== undefined) return unchanged(state);
  const { service } = record.request;
  if (!hasSpareSlots(state.routing, service)) return unchanged(state);
  const { random } = instant;
  const agentId = chooseUpstream(state.routing, service, record.triedAgentIds, random);
  const paid = agentId === undefined ? undefined : withdrawAttempt(state, record);
  return agentId === undefined || paid === undefined
    ? unchanged(state)
    : applyEvent(paid, record, { kind: 'hedge', agentId }, instant);
}

/** The row names the planned attempt: it may be sent, unless too much has changed meanwhile. */
function sendPlanned(
  state: RequestsState,
  record: RequestRecord,
  version: number,
  instant: Instant,
): RequestsStep {
  const { intent, planned } = record;
  if (intent === undefined || planned === undefined) return unchanged(state);
  if (record.deadlineAtMs <= instant.nowMs) {
    return endUnanswered(state, record, 'deadlineExpired', instant);
  }
  const isFresh = instant.nowMs - intent.committedAtMs <= MAX_INTENT_AGE_MS;
  const maySend = isFresh && isUsable(state.routing, planned.agentId);
  return applyEvent(state, record, { kind: maySend ? 'stored' : 'requeue', version }, instant);
}

function applyIntentResult(
  state: RequestsState,
  record: RequestRecord,
  settlement: IntentResult,
  instant: Instant,
): RequestsStep {
  switch (settlement.kind) {
    case 'own':
      return sendPlanned(state, record, settlement.version, instant);
    case 'other': {
      const { row, version } = settlement;
      const found = applyEvent(state, record, { kind: 'found', row, version }, instant);
      const isPresent = state.routing.upstreams.get(row.agentId)?.presence === 'present';
      return isPresent
        ? found
        : chain(found, (current) => awaitAgent(current, row.agentId, instant.nowMs));
    }
    case 'reused':
    case 'recommit':
    case 'readBack':
      return applyEvent(state, record, settlement, instant);
    case 'unreadable':
      return applyEvent(state, record, { kind: 'giveUp', reason: 'recordUnreadable' }, instant);
    case 'unavailable':
      return endUnanswered(state, record, 'storeUnavailable', instant);
    default:
      return assertNever(settlement);
  }
}

function onStoreResult(state: RequestsState, event: StoreEvent, instant: Instant): RequestsStep {
  const requestId = event.callId.slice(0, event.callId.lastIndexOf('#'));
  const record = state.records.get(requestId);
  const { intent, planned } = record ?? {};
  // A late result of an access that is no longer awaited changes nothing.
  if (record === undefined || intent === undefined || planned === undefined) {
    return unchanged(state);
  }
  if (intent.callId !== event.callId) return unchanged(state);
  const settlement =
    event.kind === 'commitDone'
      ? interpretCommit(intent, planned, event.result)
      : interpretRead(intent, planned, event.result);
  return applyIntentResult(state, record, settlement, instant);
}

function onCommitResult(
  state: RequestsState,
  event: Extract<StoreEvent, { readonly kind: 'commitDone' }>,
  instant: Instant,
): RequestsStep {
  const { groups, results } = settleIntents(state.groups, event.callId, event.result);
  return results.reduce<RequestsStep>(
    (step, part) =>
      chain(step, (current) => onStoreResult(current, { ...event, ...part }, instant)),
    unchanged({ ...state, groups }),
  );
}

/** Puts commits of intents aside, so that those of the next few milliseconds go together. */
function groupCommits(step: RequestsStep): RequestsStep {
  const commits = step.effects.filter((effect): effect is IntentCommit => effect.kind === 'commit');
  const { groups } = step.state;
  const waiting = commits.length === 0 ? groups.waiting : [...groups.waiting, ...commits];
  if (waiting.length === 0) return step;
  const others = step.effects.filter((effect) => effect.kind !== 'commit');
  const flushLater: RequestsEffect = {
    kind: 'wake',
    timer: { kind: 'intentFlush' },
    afterMs: GROUP_DELAY_MS,
  };
  return {
    state: { ...step.state, groups: { ...groups, waiting, isFlushScheduled: true } },
    effects: groups.isFlushScheduled ? others : [...others, flushLater],
  };
}

/** Sends the commits that wait; those of requests that have ended meanwhile are dropped. */
function flush(state: RequestsState): RequestsStep {
  const awaited = (part: IntentCommit): boolean => {
    const requestId = part.callId.slice(0, part.callId.lastIndexOf('#'));
    return state.records.get(requestId)?.intent?.callId === part.callId;
  };
  const { groups, effects } = flushIntents(state.groups, awaited);
  return { state: { ...state, groups }, effects };
}

function onTimer(state: RequestsState, timer: RequestsTimer, instant: Instant): RequestsStep {
  switch (timer.kind) {
    case 'requestExpiry':
      return onExpiry(state, timer.requestId, instant);
    case 'requestHedge':
      return onHedgeTimer(state, timer.requestId, instant);
    case 'agentReturn':
      return onAgentReturnTimeout(state, timer.agentId, instant);
    case 'intentFlush':
      return unchanged(state);
    case 'upstreamProbe':
      return unchanged({ ...state, routing: allowProbe(state.routing, timer.agentId) });
    default:
      return assertNever(timer);
  }
}

function decide(state: RequestsState, event: RequestsEvent, instant: Instant): RequestsStep {
  switch (event.kind) {
    case 'started':
      return unchanged({ ...state, wallOffsetMs: event.wallOffsetMs });
    case 'arrived':
      return onArrival(state, event.request, instant);
    case 'upstreamUp':
      return upstreamUp(state, event.upstream, instant);
    case 'upstreamLeaving':
      return unchanged({ ...state, routing: markLeaving(state.routing, event.agentId) });
    case 'upstreamSuspect': {
      const presence = event.isSuspect ? 'suspect' : 'present';
      return unchanged({ ...state, routing: setPresence(state.routing, event.agentId, presence) });
    }
    case 'upstreamDown':
      return upstreamDown(state, event.agentId, instant);
    case 'domains':
      return unchanged({ ...state, routing: setOutDomains(state.routing, event.outDomains) });
    case 'attemptEnded':
      return recordsAwaiting(state, event.agentId, event.requestId, event.attemptId).reduce(
        (step, { record, attempt }) =>
          chain(step, (current) => endAttempt(current, record, attempt, event.result, instant)),
        unchanged(state) as RequestsStep,
      );
    case 'commitDone':
      return onCommitResult(state, event, instant);
    case 'readDone':
      return onStoreResult(state, event, instant);
    case 'timer':
      return onTimer(state, event.timer, instant);
    case 'drain':
      return unchanged({ ...state, isDraining: true });
    default:
      return assertNever(event);
  }
}

/** Decides what happens to callers' requests at an entry. */
export function stepRequests(
  state: RequestsState,
  event: RequestsEvent,
  instant: Instant,
): RequestsStep {
  const step = chain(decide(state, event, instant), (current) => dispatchQueued(current, instant));
  const grouped = groupCommits(step);
  const isFlush = event.kind === 'timer' && event.timer.kind === 'intentFlush';
  return isFlush ? chain(grouped, flush) : grouped;
}
