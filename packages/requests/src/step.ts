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
import type { CallerRequest, StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, chain } from '@bronzeyoke/types';
import { endAttempt, recordsAwaiting } from './attempt';
import { requestChart } from './chart';
import type { IntentCommit } from './group';
import { GROUP_DELAY_MS, EMPTY_GROUPS, flushIntents, settleIntents } from './group';
import type { IntentResult } from './intent';
import { newIntent, interpretCommit, interpretRead } from './intent';
import { dispatchQueued, endUnanswered, dispatchOrQueue, reserveRetry } from './dispatch';
import { advanceRequest } from './transition';
import type {
  RequestRecord,
  RequestsEffect,
  RequestsEvent,
  RequestsState,
  RequestsStep,
  RequestsTimer,
} from './types';
import { onAgentReturnTimeout, awaitAgent, onUpstreamDown, onUpstreamUp } from './upstream';

/**
 * Age of an intent up to which its attempt is sent. Agents keep refused attempts for a bounded time,
 * so no attempt may be sent long after other entries could read its row.
 */
const MAX_INTENT_AGE_MS = 5_000;

/** Creates the state before the first request. */
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

/** Returns whether no request is in progress, so that a planned stop may proceed. */
export function isRequestsIdle(state: RequestsState): boolean {
  return state.records.isEmpty();
}

function onArrival(state: RequestsState, request: CallerRequest, inputs: StepInputs): RequestsStep {
  const { requestId, service, timeoutMs } = request;
  const intent = newIntent(request);
  const record: RequestRecord = {
    request,
    phase: requestChart.initial,
    deadlineAtMs: inputs.nowMs + timeoutMs,
    plannedCount: 0,
    sentCount: 0,
    attempts: [],
    mayHaveRun: false,
    triedAgentIds: [],
    ...(intent === undefined ? {} : { intent }),
  };
  if (state.isDraining) return endUnanswered(state, record, 'draining', inputs);
  const pool = state.routing.pools.get(service);
  // Services without upstreams get no pool, so that arbitrary names in requests use no memory.
  const routing =
    pool === undefined ? state.routing : setPool(state.routing, service, depositRetry(pool));
  const dispatched = dispatchOrQueue({ ...state, routing }, record, inputs);
  const expiry: RequestsEffect = {
    kind: 'wake',
    timer: { kind: 'requestExpiry', requestId },
    afterMs: timeoutMs,
  };
  return dispatched.state.records.has(requestId)
    ? { ...dispatched, effects: [...dispatched.effects, expiry] }
    : dispatched;
}

function onExpiry(state: RequestsState, requestId: string, inputs: StepInputs): RequestsStep {
  const record = state.records.get(requestId);
  return record === undefined
    ? unchanged(state)
    : endUnanswered(state, record, 'deadlineExpired', inputs);
}

function onHedgeTimer(state: RequestsState, requestId: string, inputs: StepInputs): RequestsStep {
  const record = state.records.get(requestId);
  const isWaiting = record?.phase === 'dispatched' && record.sentCount === 1;
  if (record === undefined || !isWaiting || record.intent !== undefined) return unchanged(state);
  const { service } = record.request;
  if (!hasSpareSlots(state.routing, service)) return unchanged(state);
  const { random } = inputs;
  const agentId = chooseUpstream(state.routing, service, record.triedAgentIds, random);
  const reserved = agentId === undefined ? undefined : reserveRetry(state, record);
  return agentId === undefined || reserved === undefined
    ? unchanged(state)
    : advanceRequest(reserved, record, { kind: 'hedge', agentId }, inputs);
}

/** Sends the planned attempt after its row was stored, unless the intent or the upstream is stale. */
function sendStored(
  state: RequestsState,
  record: RequestRecord,
  version: number,
  inputs: StepInputs,
): RequestsStep {
  const { intent, planned } = record;
  if (intent === undefined || planned === undefined) return unchanged(state);
  if (record.deadlineAtMs <= inputs.nowMs) {
    return endUnanswered(state, record, 'deadlineExpired', inputs);
  }
  const isFresh = inputs.nowMs - intent.committedAtMs <= MAX_INTENT_AGE_MS;
  const maySend = isFresh && isUsable(state.routing, planned.agentId);
  return advanceRequest(state, record, { kind: maySend ? 'stored' : 'requeue', version }, inputs);
}

function applyIntentResult(
  state: RequestsState,
  record: RequestRecord,
  result: IntentResult,
  inputs: StepInputs,
): RequestsStep {
  switch (result.kind) {
    case 'own':
      return sendStored(state, record, result.version, inputs);
    case 'other': {
      const { row, version } = result;
      const found = advanceRequest(state, record, { kind: 'found', row, version }, inputs);
      const isPresent = state.routing.upstreams.get(row.agentId)?.presence === 'present';
      return isPresent
        ? found
        : chain(found, (current) => awaitAgent(current, row.agentId, inputs.nowMs));
    }
    case 'reused':
    case 'recommit':
    case 'readBack':
      return advanceRequest(state, record, result, inputs);
    case 'unreadable':
      return advanceRequest(state, record, { kind: 'giveUp', reason: 'recordUnreadable' }, inputs);
    case 'unavailable':
      return endUnanswered(state, record, 'storeUnavailable', inputs);
    default:
      return assertNever(result);
  }
}

function onStoreResult(state: RequestsState, event: StoreEvent, inputs: StepInputs): RequestsStep {
  const requestId = event.callId.slice(0, event.callId.lastIndexOf('#'));
  const record = state.records.get(requestId);
  const { intent, planned } = record ?? {};
  // Late results of earlier accesses are ignored.
  if (record === undefined || intent === undefined || planned === undefined) {
    return unchanged(state);
  }
  if (intent.callId !== event.callId) return unchanged(state);
  const result =
    event.kind === 'commitDone'
      ? interpretCommit(intent, planned, event.result)
      : interpretRead(intent, planned, event.result);
  return applyIntentResult(state, record, result, inputs);
}

function onCommitResult(
  state: RequestsState,
  event: Extract<StoreEvent, { readonly kind: 'commitDone' }>,
  inputs: StepInputs,
): RequestsStep {
  const { groups, results } = settleIntents(state.groups, event.callId, event.result);
  return results.reduce<RequestsStep>(
    (step, settled) =>
      chain(step, (current) => onStoreResult(current, { ...event, ...settled }, inputs)),
    unchanged({ ...state, groups }),
  );
}

/** Delays commits of intents, so that those of the next few milliseconds share a transaction. */
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

/** Sends the waiting commits and drops those of requests that have ended in the meantime. */
function flush(state: RequestsState): RequestsStep {
  const isPending = (commit: IntentCommit): boolean => {
    const requestId = commit.callId.slice(0, commit.callId.lastIndexOf('#'));
    return state.records.get(requestId)?.intent?.callId === commit.callId;
  };
  const { groups, effects } = flushIntents(state.groups, isPending);
  return { state: { ...state, groups }, effects };
}

function onTimer(state: RequestsState, timer: RequestsTimer, inputs: StepInputs): RequestsStep {
  switch (timer.kind) {
    case 'requestExpiry':
      return onExpiry(state, timer.requestId, inputs);
    case 'requestHedge':
      return onHedgeTimer(state, timer.requestId, inputs);
    case 'agentReturn':
      return onAgentReturnTimeout(state, timer.agentId, inputs);
    case 'intentFlush':
      return unchanged(state);
    case 'upstreamProbe':
      return unchanged({ ...state, routing: allowProbe(state.routing, timer.agentId) });
    default:
      return assertNever(timer);
  }
}

function handleEvent(state: RequestsState, event: RequestsEvent, inputs: StepInputs): RequestsStep {
  switch (event.kind) {
    case 'started':
      return unchanged({ ...state, wallOffsetMs: event.wallOffsetMs });
    case 'arrived':
      return onArrival(state, event.request, inputs);
    case 'upstreamUp':
      return onUpstreamUp(state, event.upstream, inputs);
    case 'upstreamLeaving':
      return unchanged({ ...state, routing: markLeaving(state.routing, event.agentId) });
    case 'upstreamSuspect': {
      const presence = event.isSuspect ? 'suspect' : 'present';
      return unchanged({ ...state, routing: setPresence(state.routing, event.agentId, presence) });
    }
    case 'upstreamDown':
      return onUpstreamDown(state, event.agentId, inputs);
    case 'domains':
      return unchanged({ ...state, routing: setOutDomains(state.routing, event.outDomains) });
    case 'attemptEnded':
      return recordsAwaiting(state, event.agentId, event.requestId, event.attemptId).reduce(
        (step, { record, attempt }) =>
          chain(step, (current) => endAttempt(current, record, attempt, event.result, inputs)),
        unchanged(state) as RequestsStep,
      );
    case 'commitDone':
      return onCommitResult(state, event, inputs);
    case 'readDone':
      return onStoreResult(state, event, inputs);
    case 'timer':
      return onTimer(state, event.timer, inputs);
    case 'drain':
      return unchanged({ ...state, isDraining: true });
    default:
      return assertNever(event);
  }
}

/** Applies one event to the requests at an entry. */
export function stepRequests(
  state: RequestsState,
  event: RequestsEvent,
  inputs: StepInputs,
): RequestsStep {
  const step = chain(handleEvent(state, event, inputs), (current) =>
    dispatchQueued(current, inputs),
  );
  const grouped = groupCommits(step);
  const isFlush = event.kind === 'timer' && event.timer.kind === 'intentFlush';
  return isFlush ? chain(grouped, flush) : grouped;
}
