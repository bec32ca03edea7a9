import { Map } from 'immutable';
import type { Resources } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { expectedAnswer, requestBody } from './body';
import type { CallerEnd, Observation } from './observation';
import { checkConfiguration, checkRow, recordTaskEnd, checkTaskStart } from './checks';
import type { OracleState } from './oraclestate';
import { expectThat, recordViolation } from './oraclestate';

/** P8: an agent gets no new requests later than this after its planned stop began. */
const LEAVING_BOUND_MS = 3_000;

/** P9: a planned stop may end work in progress only after this time. */
const STOP_BOUND_MS = 30_000;

function isSame(left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && left.every((byte, index) => byte === right[index]);
}

function checkReply(
  state: OracleState,
  requestId: string,
  end: CallerEnd,
  atMs: number,
): OracleState {
  const request = state.requests.get(requestId);
  if (request === undefined)
    return recordViolation(state, 'P5', atMs, `reply to unknown request ${requestId}`);
  const observed = { ...state, requests: state.requests.set(requestId, { ...request, end }) };
  const replyChecked = expectThat(
    observed,
    request.end === undefined,
    'P5',
    atMs,
    () => `second reply to ${requestId}`,
  );
  switch (end.kind) {
    case 'answered': {
      const expected = expectedAnswer(requestBody(request.key ?? requestId));
      const isOwn = end.answer.status === expected.status && isSame(end.answer.body, expected.body);
      return expectThat(replyChecked, isOwn, 'P5', atMs, () => `wrong answer to ${requestId}`);
    }
    case 'refused':
    case 'notRun':
      return expectThat(
        replyChecked,
        !request.hasRun,
        'P6',
        atMs,
        () => `${requestId} ended as not run, but it ran`,
      );
    case 'unknown': {
      const isLostByStop = state.isFaultFree && end.reason !== 'deadlineExpired';
      return expectThat(
        replyChecked,
        !isLostByStop,
        'P9',
        atMs,
        () => `${requestId} ended as unknown without a fault: ${end.reason}`,
      );
    }
    case 'keyReused':
      return recordViolation(replyChecked, 'P5', atMs, `${requestId} was refused as a reused key`);
    case 'disconnected':
      return expectThat(
        replyChecked,
        !state.isFaultFree,
        'P9',
        atMs,
        () => `${requestId} was disconnected without a fault`,
      );
    default:
      return assertNever(end);
  }
}

function checkRun(
  state: OracleState,
  run: Extract<Observation, { readonly kind: 'ran' }>,
  atMs: number,
): OracleState {
  const { requestId, agentId } = run;
  const request = state.requests.get(requestId);
  if (request === undefined)
    return recordViolation(state, 'P5', atMs, `run of unknown request ${requestId}`);
  const { key } = request;
  const isRefused = request.end?.kind === 'notRun' || request.end?.kind === 'refused';
  const runs = key === undefined ? 0 : state.runsByKey.get(key, 0) + 1;
  const observed = {
    ...state,
    requests: state.requests.set(requestId, { ...request, hasRun: true }),
    runsByKey: key === undefined ? state.runsByKey : state.runsByKey.set(key, runs),
  };
  const refusalChecked = expectThat(
    observed,
    !isRefused,
    'P6',
    atMs,
    () => `${requestId} ran after it was refused`,
  );
  const keyChecked = expectThat(
    refusalChecked,
    runs <= 1,
    'P7',
    atMs,
    () => `${key} ran ${runs} times`,
  );
  const stoppingMs = atMs - state.stoppingSinceMs.get(agentId, atMs);
  return expectThat(
    keyChecked,
    stoppingMs <= LEAVING_BOUND_MS,
    'P8',
    atMs,
    () => `${agentId} got a request after its stop`,
  );
}

function checkSettled(state: OracleState, atMs: number): OracleState {
  const open = state.requests.filter((request) => request.end === undefined).keySeq();
  return open.reduce(
    (current, requestId) => recordViolation(current, 'P5', atMs, `${requestId} never ended`),
    state,
  );
}

/** Updates the state with an observation, and checks the invariants that it concerns. */
export function checkObservation(
  state: OracleState,
  observation: Observation,
  atMs: number,
): OracleState {
  switch (observation.kind) {
    case 'requestSent': {
      const request = { key: observation.key, hasRun: false };
      return { ...state, requests: state.requests.set(observation.requestId, request) };
    }
    case 'replied':
      return checkReply(state, observation.requestId, observation.end, atMs);
    case 'ran':
      return checkRun(state, observation, atMs);
    case 'stopping':
      return { ...state, stoppingSinceMs: state.stoppingSinceMs.set(observation.processId, atMs) };
    case 'exited': {
      const stoppingMs = atMs - state.stoppingSinceMs.get(observation.processId, atMs);
      const isGraceful = observation.abortedCalls === 0 || stoppingMs >= STOP_BOUND_MS;
      const describe = (): string =>
        `${observation.processId} aborted ${observation.abortedCalls} requests`;
      return expectThat(state, isGraceful, 'P9', atMs, describe);
    }
    case 'workerAdded': {
      const { worker, domain, total } = observation;
      const added = { domain, total, reserved: Map<string, Resources>() };
      return { ...state, workers: state.workers.set(worker, added) };
    }
    case 'taskStarted':
      return checkTaskStart(state, observation, atMs);
    case 'taskEnded':
      return recordTaskEnd(state, observation, atMs);
    case 'committed':
      return observation.rows.reduce((current, row) => checkRow(current, row, atMs), state);
    case 'configurationShown':
      return checkConfiguration(state, observation.processId, observation.number, atMs);
    case 'faultInjected':
      return { ...state, isFaultFree: false };
    case 'settled':
      return checkSettled(state, atMs);
    default:
      return assertNever(observation);
  }
}
