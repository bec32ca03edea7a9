import { advance } from '@bronzeyoke/chart';
import type { ListedRun, WorkerCall, WorkerCallResult } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, chainEach, unchanged, without } from '@bronzeyoke/types';
import type { RunRef } from '@bronzeyoke/wire';
import { sequenceToAcknowledge } from './acks';
import { noteResult } from './failures';
import {
  hasOpenGoneCalls,
  isListAwaited,
  onGoneCallDone,
  onSuccessorListed,
  removeWorker,
} from './gone';
import { isWithoutLease, leaseToPass, noteClock, noteLeaseEnd } from './heldlease';
import { earlierOrderFields, lateOrderEnds } from './lateorders';
import { resultForWorker } from './moved';
import { forgetStart } from './recentstarts';
import { reportIfDue, sendToLeader } from './report';
import type { RunnerEffect, RunnerState, RunnerStep, WorkerState } from './types';
import { awaitsList, orderChart, orderKey } from './types';

const ORDER_TIMEOUT_MS = 700;

/** Time after its timeout at which a call without a result counts as lost. */
const RESULT_GRACE_MS = 1_000;

/** How long a hold waits for a run to end. */
const HOLD_WAIT_MS = 300;

/** How long the reply to a hold may take beyond its wait. */
export const HOLD_GRACE_MS = 700;

/** Pause between two holds that do not wait. */
const HOLD_PAUSE_MS = 40;

/** Pause after a failed hold. */
export const HOLD_RETRY_MS = 120;

/** Pause before the next list while runs of late orders are stopped, or calls to earlier instances open. */
const LATE_STOP_PAUSE_MS = 200;

/** Increment after the worker refused a token, because the token of the other agent is unknown. */
const TOKEN_STEP = 1_000_000;

/**
 * Returns the next token after the worker refused one as too low. It stays when the agent has raised
 * its token since that call: a large step would put its calls above those of the next agent.
 */
export function tokenAfterRefusal(token: number, refusedToken: number): number {
  return refusedToken < token ? token : token + TOKEN_STEP;
}

/** Calls the worker. */
export function callWorker(
  state: RunnerState,
  worker: WorkerState,
  call: WorkerCall,
  nowMs: number,
): RunnerStep {
  const callId = `${call.kind}-${state.callCount}`;
  const { workerKey, report } = worker;
  return {
    state: {
      ...state,
      callCount: state.callCount + 1,
      pendingCalls: state.pendingCalls.set(callId, { workerKey, call, sentAtMs: nowMs }),
    },
    effects: [{ kind: 'call', callId, worker: report, call, timeoutMs: ORDER_TIMEOUT_MS }],
  };
}

/** Sends a hold if one is due. It lists the runs, extends the lease and acknowledges ends. */
export function holdIfDue(state: RunnerState, nowMs: number): RunnerStep {
  const { worker, holdCallId, token } = state;
  if (worker === undefined || holdCallId !== undefined || nowMs < state.holdAtMs)
    return unchanged(state);
  const isSettling = worker.pending.some(({ phase }) => awaitsList(phase));
  // After a failed call another instance may reply, which shows the end of the one before.
  const isFailing = worker.failures !== undefined;
  const ackSequence = sequenceToAcknowledge(worker);
  // An acknowledgement that waits at the worker could reach the instance after it.
  const isDue = isSettling || isFailing || ackSequence > 0 || worker.clockMs === undefined;
  const waitMs = isDue ? 0 : HOLD_WAIT_MS;
  const callId = `hold-${state.callCount}`;
  const leaseUntilClockMs = leaseToPass(worker);
  const call: WorkerCall = {
    kind: 'hold',
    fencingToken: token,
    ackSequence,
    ...(leaseUntilClockMs === undefined ? {} : { leaseUntilClockMs }),
    waitMs,
  };
  return {
    state: {
      ...state,
      worker: noteLeaseEnd(worker, leaseUntilClockMs),
      callCount: state.callCount + 1,
      listCount: state.listCount + 1,
      holdNumber: state.listCount + 1,
      holdCallId: callId,
      holdToken: token,
      holdSentAtMs: nowMs,
    },
    effects: [
      { kind: 'call', callId, worker: worker.report, call, timeoutMs: waitMs + HOLD_GRACE_MS },
    ],
  };
}

function unsettledOrders(worker: WorkerState, listNumber: number): WorkerState['pending'] {
  return worker.pending.filterNot(
    ({ phase, afterList }) => awaitsList(phase) && listNumber > afterList,
  );
}

/** Stops the runs that late orders to earlier instances started, and lists the runs again. */
function stopLateRuns(
  state: RunnerState,
  worker: WorkerState,
  running: readonly ListedRun[],
  nowMs: number,
): RunnerStep {
  return chainEach<RunnerState, RunnerEffect, ListedRun>(
    unchanged(state),
    running,
    (current, { task, attempt }) => {
      const order = { task, attempt, fencingToken: current.token };
      const call = callWorker(current, worker, { kind: 'stop', ...order }, nowMs);
      const log = logEffect('taskStopped', {
        task,
        attempt,
        worker: worker.workerKey,
        reason: 'lateOrder',
        ...earlierOrderFields(current, { task, attempt }, nowMs),
      });
      return { state: call.state, effects: [...call.effects, log] };
    },
  );
}

/** Applies the list of the worker's runs that the request with a number asked for. */
export function onList(
  state: RunnerState,
  listed: WorkerState,
  { clockMs, running = [], ended = [] }: Extract<WorkerCallResult, { kind: 'done' }>,
  listNumber: number,
  nowMs: number,
): RunnerStep {
  const worker = noteClock(listed, clockMs, nowMs);
  // Replies may overtake each other, and an older list lacks runs that have begun since.
  if (listNumber <= worker.listNumber) return unchanged({ ...state, worker });
  if (isListAwaited(state)) {
    const listing = { ...state, worker, holdAtMs: nowMs + LATE_STOP_PAUSE_MS };
    if (running.length > 0) return stopLateRuns(listing, worker, running, nowMs);
    if (hasOpenGoneCalls(state)) return unchanged(listing);
  }
  const isStillThere = worker.leftAtList !== undefined && listNumber > worker.leftAtList;
  const next: WorkerState = {
    ...(isStillThere ? without(worker, 'leftAtList') : worker),
    clockMs: Math.max(worker.clockMs ?? 0, clockMs),
    listNumber,
    running,
    ended,
    lapsedSequence: isWithoutLease(worker, clockMs)
      ? (ended.at(-1)?.sequence ?? worker.lapsedSequence)
      : worker.lapsedSequence,
    pending: unsettledOrders(worker, listNumber),
  };
  const updated = { ...state, worker: next, holdAtMs: nowMs + HOLD_PAUSE_MS };
  const late = lateOrderEnds(updated, listed, ended, nowMs);
  const gone = onSuccessorListed(updated, ended);
  const report = reportIfDue(gone.state, nowMs);
  return { state: report.state, effects: [...late, ...report.effects, ...gone.effects] };
}

function onHoldResult(
  state: RunnerState,
  worker: WorkerState,
  result: WorkerCallResult,
  nowMs: number,
): RunnerStep {
  const answered = without(state, 'holdCallId');
  switch (result.kind) {
    case 'done': {
      if (result.bornAtMs !== undefined && result.bornAtMs !== worker.report.bornAtMs) {
        return removeWorker(answered, 'restarted', nowMs);
      }
      return onList(answered, worker, result, state.holdNumber, nowMs);
    }
    case 'refused':
      return unchanged({
        ...answered,
        token:
          result.reason === 'fenced'
            ? tokenAfterRefusal(state.token, state.holdToken)
            : state.token,
        holdAtMs: nowMs + HOLD_RETRY_MS,
      });
    case 'otherWorker':
      return removeWorker(answered, 'otherWorker', nowMs);
    case 'notListening':
    case 'lost':
      return unchanged({ ...answered, holdAtMs: nowMs + HOLD_RETRY_MS });
    default:
      return assertNever(result);
  }
}

/** Refuses a start order whose call was not sent, because its connection was refused. */
function refuseUnsent(state: RunnerState, worker: WorkerState, run: RunRef): RunnerStep {
  const { workerKey } = worker;
  const pending = worker.pending.delete(orderKey(run));
  return {
    // The leader uses the worker again after its next report.
    state: without({ ...state, worker: forgetStart({ ...worker, pending }, run) }, 'lastReport'),
    effects: sendToLeader(state, { kind: 'refused', workerKey, run, reason: 'unreachable' }),
  };
}

function onStartResult(
  state: RunnerState,
  worker: WorkerState,
  call: Extract<WorkerCall, { kind: 'start' }>,
  result: WorkerCallResult,
): RunnerStep {
  const run = { task: call.task, attempt: call.attempt };
  const key = orderKey(run);
  const order = worker.pending.get(key);
  if (order === undefined) return unchanged(state);
  if (result.kind === 'notListening') return refuseUnsent(state, worker, run);
  const event = result.kind === 'done' || result.kind === 'refused' ? result.kind : 'lost';
  const next = advance(orderChart, order.phase, event);
  const token = next.actions.includes('raiseToken') ? state.token + 1 : state.token;
  if (result.kind === 'refused') {
    const { reason } = result;
    const remaining = forgetStart({ ...worker, pending: worker.pending.delete(key) }, run);
    return {
      state: {
        ...state,
        worker: remaining,
        token: reason === 'fenced' ? tokenAfterRefusal(token, call.fencingToken) : token,
      },
      effects: sendToLeader(state, { kind: 'refused', workerKey: worker.workerKey, run, reason }),
    };
  }
  const pending = worker.pending.set(key, {
    ...order,
    phase: next.state,
    afterList: state.listCount,
  });
  return {
    state: { ...state, token, worker: { ...worker, pending } },
    effects:
      event === 'lost'
        ? [logEffect('orderLost', { ...run, worker: worker.workerKey, call: result.kind })]
        : [],
  };
}

/** Handles the end of a call to the worker. */
export function onCallDone(
  state: RunnerState,
  callId: string,
  result: WorkerCallResult,
  nowMs: number,
): RunnerStep {
  if (callId === state.holdCallId) {
    if (state.worker === undefined) return unchanged(state);
    const counted = resultForWorker(state, result);
    const worker = noteResult(state.worker, counted, state.holdSentAtMs, nowMs);
    return onHoldResult({ ...state, worker }, worker, counted, nowMs);
  }
  const order = state.pendingCalls.get(callId);
  if (order === undefined) return unchanged(state);
  const others = { ...state, pendingCalls: state.pendingCalls.delete(callId) };
  const { call } = order;
  if (state.worker?.workerKey !== order.workerKey) {
    return onGoneCallDone(others, order.workerKey, call, result);
  }
  const worker = noteResult(state.worker, result, order.sentAtMs, nowMs);
  const rest = { ...others, worker };
  switch (call.kind) {
    case 'start':
      return onStartResult(rest, worker, call, result);
    case 'stop':
    case 'pace': {
      // The leader repeats an order that has no effect. The raised token keeps a lost order from
      // taking effect late.
      const isLost = result.kind === 'lost' || result.kind === 'notListening';
      const isFenced = result.kind === 'refused' && result.reason === 'fenced';
      const token = isFenced ? tokenAfterRefusal(state.token, call.fencingToken) : state.token;
      return unchanged({ ...rest, token: token + (isLost ? 1 : 0) });
    }
    case 'hold':
      return unchanged(rest);
    default:
      return assertNever(call);
  }
}

/** Returns the hold if its result is overdue. */
function overdueHold({ holdCallId, holdSentAtMs }: RunnerState, nowMs: number): readonly string[] {
  const isOverdue = nowMs - holdSentAtMs >= HOLD_WAIT_MS + HOLD_GRACE_MS + RESULT_GRACE_MS;
  return holdCallId !== undefined && isOverdue ? [holdCallId] : [];
}

/**
 * Counts the calls as lost whose results are overdue. The leader places the task of a start order nowhere
 * else while the order is pending, so each order has to be settled in bounded time; and without another
 * hold the worker gets no further lease.
 */
export function expireCalls(state: RunnerState, nowMs: number): RunnerStep {
  const overdue = state.pendingCalls.filter(
    ({ sentAtMs }) => nowMs - sentAtMs >= ORDER_TIMEOUT_MS + RESULT_GRACE_MS,
  );
  return chainEach<RunnerState, RunnerEffect, string>(
    unchanged(state),
    [...overdue.keys(), ...overdueHold(state, nowMs)],
    (current, callId) => onCallDone(current, callId, { kind: 'lost' }, nowMs),
  );
}
