import type { AttemptEnd, RoutingEffect } from '@bronzeyoke/routing';
import { EMPTY_QUEUE, addToQueue, countEnded, countSent } from '@bronzeyoke/routing';
import { unchanged } from '@bronzeyoke/types';
import type {
  Attempt,
  RequestRecord,
  RequestsEffect,
  RequestsState,
  RequestsStep,
  ServiceQueue,
} from './types';

function unendedAttempts(record: RequestRecord | undefined): readonly Attempt[] {
  if (record === undefined) return [];
  return record.planned === undefined ? record.attempts : [...record.attempts, record.planned];
}

function isFromOtherRequest(record: RequestRecord, attempt: Attempt): boolean {
  return attempt.requestId !== record.request.requestId;
}

function toRequestsEffect(effect: RoutingEffect): RequestsEffect {
  const { agentId, afterMs } = effect;
  return { kind: 'wake', timer: { kind: 'upstreamProbe', agentId }, afterMs };
}

function updateQueue(
  queue: ServiceQueue | undefined,
  before: RequestRecord | undefined,
  after: RequestRecord | undefined,
): ServiceQueue {
  const { byDeadline, waitingCount } = queue ?? { byDeadline: EMPTY_QUEUE, waitingCount: 0 };
  if (after?.phase === 'queued') {
    const { requestId } = after.request;
    const item = { requestId, deadlineAtMs: after.deadlineAtMs };
    return { byDeadline: addToQueue(byDeadline, item), waitingCount: waitingCount + 1 };
  }
  const remaining = waitingCount - Number(before?.phase === 'queued');
  return { byDeadline: remaining === 0 ? EMPTY_QUEUE : byDeadline, waitingCount: remaining };
}

function updateQueues(
  state: RequestsState,
  before: RequestRecord | undefined,
  after: RequestRecord | undefined,
): RequestsState {
  const service = (after ?? before)?.request.service;
  const wasQueued = before?.phase === 'queued';
  if (service === undefined || wasQueued === (after?.phase === 'queued')) return state;
  const queue = updateQueue(state.queues.get(service), before, after);
  const queues =
    queue.waitingCount === 0 ? state.queues.delete(service) : state.queues.set(service, queue);
  return { ...state, queues };
}

function addCollector(state: RequestsState, requestId: string, attempt: Attempt): RequestsState {
  const known = state.collectors.get(attempt.attemptId) ?? [];
  const collectors = state.collectors.set(attempt.attemptId, [...known, requestId]);
  return { ...state, collectors };
}

function dropCollector(state: RequestsState, requestId: string, attempt: Attempt): RequestsState {
  const remaining = (state.collectors.get(attempt.attemptId) ?? []).filter(
    (id) => id !== requestId,
  );
  const collectors =
    remaining.length === 0
      ? state.collectors.delete(attempt.attemptId)
      : state.collectors.set(attempt.attemptId, remaining);
  return { ...state, collectors };
}

/**
 * Replaces a record; every change of a record goes through this function. Updates the counts of
 * attempts at the upstreams, so that they always match the records.
 */
export function replaceRecord(
  state: RequestsState,
  before: RequestRecord | undefined,
  after: RequestRecord | undefined,
  endOf: (attempt: Attempt) => AttemptEnd,
  nowMs: number,
): RequestsStep {
  const record = after ?? before;
  if (record === undefined) return unchanged(state);
  const { requestId } = record.request;
  const attemptsBefore = unendedAttempts(before);
  const attemptsAfter = unendedAttempts(after);
  const ended = attemptsBefore.filter(
    (one) => !attemptsAfter.some((other) => other.attemptId === one.attemptId),
  );
  const added = attemptsAfter.filter(
    (one) => !attemptsBefore.some((other) => other.attemptId === one.attemptId),
  );
  const records =
    after === undefined ? state.records.delete(requestId) : state.records.set(requestId, after);
  const withRecord = updateQueues({ ...state, records }, before, after);
  const withAdded = added.reduce<RequestsState>((current, attempt) => {
    const counted = { ...current, routing: countSent(current.routing, attempt.agentId) };
    return isFromOtherRequest(record, attempt)
      ? addCollector(counted, requestId, attempt)
      : counted;
  }, withRecord);
  return ended.reduce<RequestsStep>((step, attempt) => {
    const end: AttemptEnd = attempt.isMeasured ? endOf(attempt) : { kind: 'released' };
    const countedEnd = countEnded(step.state.routing, attempt.agentId, end, nowMs);
    const next = { ...step.state, routing: countedEnd.state };
    return {
      state: isFromOtherRequest(record, attempt) ? dropCollector(next, requestId, attempt) : next,
      effects: [...step.effects, ...countedEnd.effects.map(toRequestsEffect)],
    };
  }, unchanged(withAdded));
}
