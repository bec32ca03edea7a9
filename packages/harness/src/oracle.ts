import { List, Map } from 'immutable';
import type { Resources } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { answerTo, bodyOf } from './body';
import type { CallerEnd, Observation } from './observation';
import { judgeConfigurationShown, judgeRow, judgeTaskEnded, judgeTaskStarted } from './witness';

/** The promises of the design page, and `idle`: a process that has nothing to do does not spin. */
export type PromiseId =
  'P1' | 'P2' | 'P3' | 'P4' | 'P5' | 'P6' | 'P7' | 'P8' | 'P9' | 'P10' | 'idle';

/** A promise that was broken. */
export interface Violation {
  readonly promise: PromiseId;
  readonly atMs: number;
  readonly what: string;
}

interface SeenRequest {
  readonly key?: string | undefined;
  readonly hasRun: boolean;
  readonly end?: CallerEnd;
}

/** A task as workers and the table showed it. */
export interface SeenTask {
  readonly runningOn: Map<string, number>;
  /** Epoch of the latest start, and of the latest row. */
  readonly startedEpoch: number;
  readonly rowRef?: string | undefined;
  readonly isOver: boolean;
}

/** A worker as it showed itself. */
export interface SeenWorker {
  readonly domain: string;
  readonly total: Resources;
  readonly reserved: Map<string, Resources>;
}

/** What the oracle remembers. It is built from observations alone. */
export interface OracleState {
  readonly violations: List<Violation>;
  /** No fault but planned stops so far. */
  readonly isCalm: boolean;
  readonly requests: Map<string, SeenRequest>;
  readonly runsByKey: Map<string, number>;
  readonly leavingSince: Map<string, number>;
  readonly workers: Map<string, SeenWorker>;
  readonly tasks: Map<string, SeenTask>;
  readonly domainsOutSince: Map<string, number>;
  readonly headNumber: number;
  readonly acceptedAt: Map<number, number>;
  readonly shownNumbers: Map<string, number>;
  readonly ticketTexts: Map<string, string>;
}

/** An oracle that has seen nothing. */
export const NEW_ORACLE: OracleState = {
  violations: List(),
  isCalm: true,
  requests: Map(),
  runsByKey: Map(),
  leavingSince: Map(),
  workers: Map(),
  tasks: Map(),
  domainsOutSince: Map(),
  headNumber: 0,
  acceptedAt: Map(),
  shownNumbers: Map(),
  ticketTexts: Map(),
};

/** P8: a leaving upstream gets no new work after this time. */
export const LEAVING_BOUND_MS = 3_000;

/** P9: a planned stop may end work in progress only after this time. */
export const STOP_BOUND_MS = 30_000;

/** Records a broken promise. */
export function blame(
  state: OracleState,
  promise: PromiseId,
  atMs: number,
  what: string,
): OracleState {
  return { ...state, violations: state.violations.push({ promise, atMs, what }) };
}

/** Records a broken promise if a condition does not hold. */
export function expectThat(
  state: OracleState,
  holds: boolean,
  promise: PromiseId,
  atMs: number,
  what: () => string,
): OracleState {
  return holds ? state : blame(state, promise, atMs, what());
}

function isSame(left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && left.every((byte, index) => byte === right[index]);
}

function judgeReply(
  state: OracleState,
  requestId: string,
  end: CallerEnd,
  atMs: number,
): OracleState {
  const request = state.requests.get(requestId);
  if (request === undefined) return blame(state, 'P5', atMs, `reply to unasked ${requestId}`);
  const seen = { ...state, requests: state.requests.set(requestId, { ...request, end }) };
  const once = expectThat(seen, request.end === undefined, 'P5', atMs, () => `twice ${requestId}`);
  switch (end.kind) {
    case 'answered': {
      const expected = answerTo(bodyOf(request.key ?? requestId));
      const isOwn = end.answer.status === expected.status && isSame(end.answer.body, expected.body);
      return expectThat(once, isOwn, 'P5', atMs, () => `wrong answer to ${requestId}`);
    }
    case 'refused':
    case 'notRun':
      return expectThat(once, !request.hasRun, 'P6', atMs, () => `${requestId} had run`);
    case 'unknown': {
      const isStopAtFault = state.isCalm && end.reason !== 'deadlineExpired';
      return expectThat(once, !isStopAtFault, 'P9', atMs, () => `${requestId}: ${end.reason}`);
    }
    case 'keyReused':
      return blame(once, 'P5', atMs, `${requestId} was taken for another request`);
    case 'cut':
      return expectThat(once, !state.isCalm, 'P9', atMs, () => `${requestId} was cut off`);
    default:
      return assertNever(end);
  }
}

function judgeRun(
  state: OracleState,
  run: Extract<Observation, { readonly kind: 'ran' }>,
  atMs: number,
): OracleState {
  const { requestId, agentId } = run;
  const request = state.requests.get(requestId);
  if (request === undefined) return blame(state, 'P5', atMs, `run of unasked ${requestId}`);
  const { key } = request;
  const isRefused = request.end?.kind === 'notRun' || request.end?.kind === 'refused';
  const runs = key === undefined ? 0 : state.runsByKey.get(key, 0) + 1;
  const seen = {
    ...state,
    requests: state.requests.set(requestId, { ...request, hasRun: true }),
    runsByKey: key === undefined ? state.runsByKey : state.runsByKey.set(key, runs),
  };
  const honest = expectThat(seen, !isRefused, 'P6', atMs, () => `${requestId} ran once refused`);
  const single = expectThat(honest, runs <= 1, 'P7', atMs, () => `${key} ran ${runs} times`);
  const leftMs = atMs - state.leavingSince.get(agentId, atMs);
  return expectThat(single, leftMs <= LEAVING_BOUND_MS, 'P8', atMs, () => `${agentId} had left`);
}

function judgeSettled(state: OracleState, atMs: number): OracleState {
  const open = state.requests.filter((request) => request.end === undefined).keySeq();
  return open.reduce(
    (current, requestId) => blame(current, 'P5', atMs, `no end of ${requestId}`),
    state,
  );
}

/** Takes in what someone outside the system saw. */
export function judge(state: OracleState, seen: Observation, atMs: number): OracleState {
  switch (seen.kind) {
    case 'asked': {
      const request = { key: seen.key, hasRun: false };
      return { ...state, requests: state.requests.set(seen.requestId, request) };
    }
    case 'replied':
      return judgeReply(state, seen.requestId, seen.end, atMs);
    case 'ran':
      return judgeRun(state, seen, atMs);
    case 'stopping':
      return { ...state, leavingSince: state.leavingSince.set(seen.processId, atMs) };
    case 'exited': {
      const stoppingMs = atMs - state.leavingSince.get(seen.processId, atMs);
      const isGraceful = seen.cutCalls === 0 || stoppingMs >= STOP_BOUND_MS;
      const what = (): string => `${seen.processId} cut off ${seen.cutCalls} requests`;
      return expectThat(state, isGraceful, 'P9', atMs, what);
    }
    case 'workerAdded': {
      const { worker, domain, total } = seen;
      const added = { domain, total, reserved: Map<string, Resources>() };
      return { ...state, workers: state.workers.set(worker, added) };
    }
    case 'taskStarted':
      return judgeTaskStarted(state, seen, atMs);
    case 'taskEnded':
      return judgeTaskEnded(state, seen);
    case 'committed':
      return seen.rows.reduce((current, row) => judgeRow(current, row, atMs), state);
    case 'configurationShown':
      return judgeConfigurationShown(state, seen.processId, seen.number, atMs);
    case 'disturbed':
      return { ...state, isCalm: false };
    case 'settled':
      return judgeSettled(state, atMs);
    default:
      return assertNever(seen);
  }
}
