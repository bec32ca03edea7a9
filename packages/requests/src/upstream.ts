import type { UpstreamInfo } from '@bronzeyoke/routing';
import { addUpstream, inFlightAt, removeUpstream, setPresence } from '@bronzeyoke/routing';
import type { StepInputs } from '@bronzeyoke/types';
import { unchanged, chain } from '@bronzeyoke/types';
import { endAttempt } from './attempt';
import { reserveRetry } from './dispatch';
import { replaceRecord } from './records';
import { advanceRequest } from './transition';
import type { RequestRecord, RequestsEffect, RequestsState, RequestsStep } from './types';

/**
 * Time that an agent has to reconnect after its link is lost. An agent needs up to three heartbeat
 * intervals of one second to detect a silent link, and then reconnects at once.
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
  update: (state: RequestsState, record: RequestRecord) => RequestsStep,
): RequestsStep {
  return records.reduce<RequestsStep>(
    (step, { request }) =>
      chain(step, (state) => {
        const record = state.records.get(request.requestId);
        return record === undefined ? unchanged(state) : update(state, record);
      }),
    first,
  );
}

/** Starts the timer for the return of a disconnected agent, unless it is already running. */
export function awaitAgent(state: RequestsState, agentId: string, nowMs: number): RequestsStep {
  if (state.lostAtMs.has(agentId)) return unchanged(state);
  const timer: RequestsEffect = {
    kind: 'wake',
    timer: { kind: 'agentReturn', agentId },
    afterMs: AGENT_RETURN_TIMEOUT_MS,
  };
  return { state: { ...state, lostAtMs: state.lostAtMs.set(agentId, nowMs) }, effects: [timer] };
}

/** Adds an upstream that connected, and collects its attempts in flight over the new connection. */
export function onUpstreamUp(
  state: RequestsState,
  upstream: UpstreamInfo,
  inputs: StepInputs,
): RequestsStep {
  const { agentId } = upstream;
  const connected = {
    ...state,
    routing: addUpstream(state.routing, upstream),
    lostAtMs: state.lostAtMs.delete(agentId),
  };
  return forEachRecord(unchanged(connected), recordsAt(connected, agentId), (current, record) =>
    advanceRequest(current, record, { kind: 'collect', agentId }, inputs),
  );
}

function detachAttempts(
  state: RequestsState,
  record: RequestRecord,
  agentId: string,
  inputs: StepInputs,
): RequestsStep {
  const attempts = record.attempts.map((attempt) =>
    attempt.agentId === agentId ? { ...attempt, isMeasured: false } : attempt,
  );
  const detached = { ...record, attempts };
  const replaced = replaceRecord(
    state,
    record,
    detached,
    () => ({ kind: 'released' }),
    inputs.nowMs,
  );
  return chain(replaced, (current) => {
    if (record.intent !== undefined)
      return advanceRequest(current, detached, { kind: 'disconnect' }, inputs);
    const hasOtherAttempt = attempts.some((attempt) => attempt.agentId !== agentId);
    const reserved =
      hasOtherAttempt || record.phase === 'queued' ? undefined : reserveRetry(current, detached);
    return reserved === undefined
      ? unchanged(current)
      : advanceRequest(reserved, detached, { kind: 'retry' }, inputs);
  });
}

/**
 * Handles the loss of the connection to an agent. Idempotent requests are retried elsewhere; others
 * wait until the agent reconnects.
 */
export function onUpstreamDown(
  state: RequestsState,
  agentId: string,
  inputs: StepInputs,
): RequestsStep {
  if (inFlightAt(state.routing, agentId) === 0) {
    return unchanged({ ...state, routing: removeUpstream(state.routing, agentId) });
  }
  const absent = { ...state, routing: setPresence(state.routing, agentId, 'absent') };
  const awaited = awaitAgent(absent, agentId, inputs.nowMs);
  return forEachRecord(awaited, recordsAt(absent, agentId), (current, record) =>
    detachAttempts(current, record, agentId, inputs),
  );
}

/** Ends the attempts of an agent that did not reconnect in time, with an unknown outcome. */
export function onAgentReturnTimeout(
  state: RequestsState,
  agentId: string,
  inputs: StepInputs,
): RequestsStep {
  const lostAtMs = state.lostAtMs.get(agentId);
  // The agent reconnected, or was lost again later, which started another timer.
  if (lostAtMs === undefined || inputs.nowMs - lostAtMs < AGENT_RETURN_TIMEOUT_MS)
    return unchanged(state);
  const removed = {
    ...state,
    routing: removeUpstream(state.routing, agentId),
    lostAtMs: state.lostAtMs.delete(agentId),
  };
  return forEachRecord(unchanged(removed), recordsAt(removed, agentId), (current, record) => {
    const lost = record.attempts.find((attempt) => attempt.agentId === agentId);
    return lost === undefined
      ? unchanged(current)
      : endAttempt(
          current,
          record,
          lost,
          { kind: 'outcomeUnknown', reason: 'connectionLost' },
          inputs,
        );
  });
}
