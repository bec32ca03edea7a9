import {
  chooseUpstream,
  removeFirst,
  firstInQueue,
  hasUpstream,
  markFull,
  poolOf,
  setPool,
  withdrawRetry,
} from '@bronzeyoke/routing';
import type { StepInputs, NotRunReason } from '@bronzeyoke/types';
import { drawUniforms, unchanged, chain } from '@bronzeyoke/types';
import { advanceRequest } from './transition';
import type { RequestRecord, RequestsEffect, RequestsState, RequestsStep } from './types';

/** Requests that may be queued for each slot of a service before new ones are refused. */
const MAX_QUEUED_PER_SLOT = 8;

/** Attempts of one request, the first one included. */
const MAX_ATTEMPTS = 3;

/** Ends a request without an answer: as not run if that is proven, else as unknown. */
export function endUnanswered(
  state: RequestsState,
  record: RequestRecord,
  reason: NotRunReason,
  inputs: StepInputs,
): RequestsStep {
  const isProven = !record.mayHaveRun && record.attempts.length === 0;
  if (isProven) return advanceRequest(state, record, { kind: 'refuse', reason }, inputs);
  const unknown = reason === 'deadlineExpired' ? 'deadlineExpired' : 'connectionLost';
  return advanceRequest(state, record, { kind: 'giveUp', reason: unknown }, inputs);
}

/** Takes a retry from the budget, or returns undefined if the request may not have one. */
export function reserveRetry(
  state: RequestsState,
  record: RequestRecord,
): RequestsState | undefined {
  if (record.sentCount >= MAX_ATTEMPTS) return undefined;
  // This request sent nothing yet: the ended attempt was another request's, found in the row.
  if (record.sentCount === 0) return state;
  const { service } = record.request;
  const pool = withdrawRetry(poolOf(state.routing, service));
  return pool === undefined
    ? undefined
    : { ...state, routing: setPool(state.routing, service, pool) };
}

function hedgeTimer(state: RequestsState, record: RequestRecord): readonly RequestsEffect[] {
  const { p95Ms, memberIds } = poolOf(state.routing, record.request.service);
  const mayHedge = record.intent === undefined && record.sentCount === 0 && memberIds.length > 1;
  if (!mayHedge || p95Ms === undefined) return [];
  const { requestId } = record.request;
  return [{ kind: 'wake', timer: { kind: 'requestHedge', requestId }, afterMs: p95Ms }];
}

/** Sends a request to an upstream with room, queues it, or refuses it. */
export function dispatchOrQueue(
  state: RequestsState,
  record: RequestRecord,
  inputs: StepInputs,
): RequestsStep {
  const { routing } = state;
  const { service } = record.request;
  if (!hasUpstream(routing, service)) return endUnanswered(state, record, 'noUpstream', inputs);
  const { triedAgentIds } = record;
  const untriedId = chooseUpstream(routing, service, triedAgentIds, inputs.random);
  const agentId =
    untriedId === undefined && triedAgentIds.length > 0
      ? chooseUpstream(routing, service, [], inputs.random)
      : untriedId;
  if (agentId !== undefined) {
    const kind = record.intent === undefined ? 'dispatch' : 'record';
    const timers = hedgeTimer(state, record);
    const step = advanceRequest(state, record, { kind, agentId }, inputs);
    return { ...step, effects: [...step.effects, ...timers] };
  }
  const markedFull = { ...state, routing: markFull(routing, service) };
  if (record.phase === 'queued') return unchanged(markedFull);
  const waiting = state.queues.get(service)?.waitingCount ?? 0;
  return waiting >= MAX_QUEUED_PER_SLOT * poolOf(routing, service).slots
    ? endUnanswered(markedFull, record, 'overloaded', inputs)
    : advanceRequest(markedFull, record, { kind: 'enqueue' }, inputs);
}

/** Finds the queued request with the earliest deadline, and removes stale items before it. */
function firstWaiting(
  state: RequestsState,
  service: string,
): { readonly state: RequestsState; readonly record: RequestRecord | undefined } {
  let queue = state.queues.get(service);
  let item = queue === undefined ? undefined : firstInQueue(queue.byDeadline);
  let record = item === undefined ? undefined : state.records.get(item.requestId);
  while (queue !== undefined && item !== undefined && record?.phase !== 'queued') {
    queue = { ...queue, byDeadline: removeFirst(queue.byDeadline) };
    item = firstInQueue(queue.byDeadline);
    record = item === undefined ? undefined : state.records.get(item.requestId);
  }
  const isSame = queue === undefined || queue === state.queues.get(service);
  const queues = isSame || queue === undefined ? state.queues : state.queues.set(service, queue);
  return { state: isSame ? state : { ...state, queues }, record };
}

function isBlocked(state: RequestsState, service: string): boolean {
  const { isFull, readyIds } = poolOf(state.routing, service);
  return isFull && readyIds.length === 0 && hasUpstream(state.routing, service);
}

function dispatchService(state: RequestsState, service: string, inputs: StepInputs): RequestsStep {
  let step: RequestsStep = unchanged(state);
  let { random } = inputs;
  // A loop, since recursion over a long queue would overflow the stack.
  for (;;) {
    if (isBlocked(step.state, service)) return step;
    const { state: current, record } = firstWaiting(step.state, service);
    if (record === undefined) return { ...step, state: current };
    const [drawnRandom = 0, nextRandom = 0] = drawUniforms(random, 2);
    random = nextRandom;
    const drawnInputs = { ...inputs, random: drawnRandom };
    const dispatched =
      record.deadlineAtMs <= inputs.nowMs
        ? endUnanswered(current, record, 'deadlineExpired', drawnInputs)
        : dispatchOrQueue(current, record, drawnInputs);
    step = { state: dispatched.state, effects: [...step.effects, ...dispatched.effects] };
    if (dispatched.state.records.get(record.request.requestId)?.phase === 'queued') return step;
  }
}

/** Sends queued requests to upstreams that have room, independently for each service. */
export function dispatchQueued(state: RequestsState, inputs: StepInputs): RequestsStep {
  return state.queues
    .keySeq()
    .reduce<RequestsStep>(
      (step, service) => chain(step, (current) => dispatchService(current, service, inputs)),
      unchanged(state),
    );
}
