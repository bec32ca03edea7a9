import type { UpstreamInfo } from '@bronzeyoke/routing';
import { addUpstream, inFlightAt, removeUpstream, setPresence } from '@bronzeyoke/routing';
import type { Instant } from '@bronzeyoke/types';
import { unchanged } from '@bronzeyoke/types';
import { endAttempt } from './attempt';
import { withdrawAttempt } from './dispatch';
import { chain, replaceRecord } from './records';
import { applyEvent } from './transition';
import type { RequestRecord, RequestsEffect, RequestsState, RequestsStep } from './types';

/**
 * How long an agent is awaited back after its link was lost. An agent needs up to three beat
 * intervals of one second to notice a silent link, and then redials at once.
 */
export const AGENT_RETURN_TIMEOUT_MS = 5_000;

function recordsAt(state: RequestsState, agentId: string): readonly RequestRecord[] {
  if (inFlightAt(state.routing, agentId) === 0) return [];
  return state.records
    .valueSeq()
    .filter((record) => record.attempts.some((attempt) => attempt.agentId === agentId))
    .toArray();
}

function forEachRecord(
  first: RequestsStep,
  records: readonly RequestRecord[],
  decide: (state: RequestsState, record: RequestRecord) => RequestsStep,
): RequestsStep {
  return records.reduce<RequestsStep>(
    (step, { request }) =>
      chain(step, (state) => {
        const record = state.records.get(request.requestId);
        return record === undefined ? unchanged(state) : decide(state, record);
      }),
    first,
  );
}

/** Starts to wait for an agent without a connection, unless it is awaited already. */
export function awaitAgent(state: RequestsState, agentId: string, nowMs: number): RequestsStep {
  if (state.lostAtMs.has(agentId)) return unchanged(state);
  const timer: RequestsEffect = {
    kind: 'wake',
    timer: { kind: 'agentReturn', agentId },
    afterMs: AGENT_RETURN_TIMEOUT_MS,
  };
  return { state: { ...state, lostAtMs: state.lostAtMs.set(agentId, nowMs) }, effects: [timer] };
}

/** An agent announced itself: what is in flight there is collected over its new connection. */
export function upstreamUp(
  state: RequestsState,
  upstream: UpstreamInfo,
  instant: Instant,
): RequestsStep {
  const { agentId } = upstream;
  const up = {
    ...state,
    routing: addUpstream(state.routing, upstream),
    lostAtMs: state.lostAtMs.delete(agentId),
  };
  return forEachRecord(unchanged(up), recordsAt(up, agentId), (current, record) =>
    applyEvent(current, record, { kind: 'collect', agentId }, instant),
  );
}

function detachAttempts(
  state: RequestsState,
  record: RequestRecord,
  agentId: string,
  instant: Instant,
): RequestsStep {
  const attempts = record.attempts.map((attempt) =>
    attempt.agentId === agentId ? { ...attempt, isMeasured: false } : attempt,
  );
  const marked = { ...record, attempts };
  const replaced = replaceRecord(
    state,
    record,
    marked,
    () => ({ kind: 'released' }),
    instant.nowMs,
  );
  return chain(replaced, (current) => {
    if (record.intent !== undefined)
      return applyEvent(current, marked, { kind: 'disconnect' }, instant);
    const isElsewhere = attempts.some((attempt) => attempt.agentId !== agentId);
    const paid =
      isElsewhere || record.phase === 'queued' ? undefined : withdrawAttempt(current, marked);
    return paid === undefined
      ? unchanged(current)
      : applyEvent(paid, marked, { kind: 'retry' }, instant);
  });
}

/** The connection to an agent was lost: idempotent requests go elsewhere, others wait for it. */
export function upstreamDown(
  state: RequestsState,
  agentId: string,
  instant: Instant,
): RequestsStep {
  if (inFlightAt(state.routing, agentId) === 0) {
    return unchanged({ ...state, routing: removeUpstream(state.routing, agentId) });
  }
  const down = { ...state, routing: setPresence(state.routing, agentId, 'absent') };
  const awaited = awaitAgent(down, agentId, instant.nowMs);
  return forEachRecord(awaited, recordsAt(down, agentId), (current, record) =>
    detachAttempts(current, record, agentId, instant),
  );
}

/** The time to wait for an agent is over: nobody can tell what became of its attempts. */
export function onAgentReturnTimeout(
  state: RequestsState,
  agentId: string,
  instant: Instant,
): RequestsStep {
  const lostAtMs = state.lostAtMs.get(agentId);
  // The agent is back, or was lost again later, which started another timer.
  if (lostAtMs === undefined || instant.nowMs - lostAtMs < AGENT_RETURN_TIMEOUT_MS)
    return unchanged(state);
  const gone = {
    ...state,
    routing: removeUpstream(state.routing, agentId),
    lostAtMs: state.lostAtMs.delete(agentId),
  };
  return forEachRecord(unchanged(gone), recordsAt(gone, agentId), (current, record) => {
    const lost = record.attempts.find((attempt) => attempt.agentId === agentId);
    return lost === undefined
      ? unchanged(current)
      : endAttempt(
          current,
          record,
          lost,
          { kind: 'outcomeUnknown', reason: 'connectionLost' },
          instant,
        );
  });
}
