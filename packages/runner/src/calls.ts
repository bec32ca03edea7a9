import { advance } from '@bronzeyoke/chart';
import type { WorkerCall, WorkerCallResult } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, unchanged, without } from '@bronzeyoke/types';
import type { RunnerMessage } from '@bronzeyoke/wire';
import type { RunnerEffect, RunnerState, RunnerStep, WorkerState } from './types';
import { orderChart } from './types';

const ORDER_TIMEOUT_MS = 700;

/** How long a hold waits for a run to end, and how long its reply may take beyond that. */
const HOLD_WAIT_MS = 300;
const HOLD_GRACE_MS = 700;

/** Pause between two holds that do not wait, and after a failed one. */
const HOLD_PAUSE_MS = 40;
const HOLD_RETRY_MS = 120;

/** Consecutive refused connections after which the worker counts as gone. */
const MAX_REFUSED_CONNECTIONS = 2;

/** Ended instances whose late heartbeats are ignored. */
const MAX_GONE_KEYS = 8;

/** Without a leader, only the first of many short-lived instances may still have tasks. */
const MAX_UNRECORDED_KEYS = 64;

/** Increment after the worker refused a token, because the token of the other agent is unknown. */
const TOKEN_STEP = 1_000_000;

/** Returns the key of a run in `pending`. */
export function orderKey(run: { readonly task: string; readonly attempt: number }): string {
  return `${run.task}#${run.attempt}`;
}

/** Returns the effect that sends a message to the leader, or none without a connection. */
export function sendToLeader(state: RunnerState, message: RunnerMessage): readonly RunnerEffect[] {
  return state.isLinked ? [{ kind: 'send', message }] : [];
}

/** Returns the report of the worker to the leader, or none before the worker's first reply. */
export function reportEffects(state: RunnerState): readonly RunnerEffect[] {
  const { worker, settings, phase, term, lastOrder } = state;
  if (worker?.clockMs === undefined) return [];
  const { workerKey, report, clockMs, running, ended, pending } = worker;
  return sendToLeader(state, {
    kind: 'report',
    agentId: settings.agentId,
    term,
    workerKey,
    // The leader places nothing on a worker whose agent is about to exit.
    worker: phase === 'running' ? report : { ...report, isDraining: true },
    clockMs,
    running,
    ended,
    pending: pending
      .valueSeq()
      .map(({ run }) => run)
      .toArray(),
    lastOrder,
  });
}

/** Calls the worker. */
export function callWorker(state: RunnerState, worker: WorkerState, call: WorkerCall): RunnerStep {
  const callId = `${call.kind}-${state.callCount}`;
  const { workerKey, report } = worker;
  return {
    state: {
      ...state,
      callCount: state.callCount + 1,
      pendingCalls: state.pendingCalls.set(callId, { workerKey, call }),
    },
    effects: [{ kind: 'call', callId, worker: report, call, timeoutMs: ORDER_TIMEOUT_MS }],
  };
}

/** Sends a hold if one is due. It lists the runs, extends the lease and acknowledges ends. */
export function holdIfDue(state: RunnerState, nowMs: number): RunnerStep {
  const { worker, holdCallId, token } = state;
  if (worker === undefined || holdCallId !== undefined || nowMs < state.holdAtMs)
    return unchanged(state);
  const isSettling = worker.pending.some(({ phase }) => phase === 'settling');
  const waitMs = isSettling || worker.clockMs === undefined ? 0 : HOLD_WAIT_MS;
  const callId = `hold-${state.callCount}`;
  const call: WorkerCall = {
    kind: 'hold',
    fencingToken: token,
    ackSequence: worker.ackSequence,
    ...(worker.leaseUntilClockMs === undefined
      ? {}
      : { leaseUntilClockMs: worker.leaseUntilClockMs }),
    waitMs,
  };
  return {
    state: {
      ...state,
      callCount: state.callCount + 1,
      holdCount: state.holdCount + 1,
      holdCallId: callId,
    },
    effects: [
      { kind: 'call', callId, worker: worker.report, call, timeoutMs: waitMs + HOLD_GRACE_MS },
    ],
  };
}

/** Removes a worker that is gone, with everything that it ran. */
export function removeWorker(state: RunnerState, reason: string): RunnerStep {
  const { worker } = state;
  const rest = without(state, 'worker', 'holdCallId');
  if (worker === undefined) return unchanged(state);
  const { workerKey } = worker;
  return {
    state: {
      ...rest,
      goneKeys: [...state.goneKeys, workerKey].slice(-MAX_GONE_KEYS),
      unrecordedKeys: [...state.unrecordedKeys, workerKey].slice(0, MAX_UNRECORDED_KEYS),
    },
    effects: [
      ...sendToLeader(state, { kind: 'workerGone', workerKey }),
      logEffect('workerGone', { worker: workerKey, reason }),
    ],
  };
}

function unsettledOrders(worker: WorkerState, holdNumber: number): WorkerState['pending'] {
  return worker.pending.filterNot(
    ({ phase, afterHold }) => phase === 'settling' && holdNumber > afterHold,
  );
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
        return removeWorker(answered, 'restarted');
      }
      const next: WorkerState = {
        ...worker,
        clockMs: Math.max(worker.clockMs ?? 0, result.clockMs),
        running: result.running ?? [],
        ended: result.ended ?? [],
        pending: unsettledOrders(worker, state.holdCount),
        refusedConnections: 0,
      };
      const updated = { ...answered, worker: next, holdAtMs: nowMs + HOLD_PAUSE_MS };
      return { state: updated, effects: reportEffects(updated) };
    }
    case 'refused':
      return unchanged({
        ...answered,
        token: result.reason === 'fenced' ? state.token + TOKEN_STEP : state.token,
        holdAtMs: nowMs + HOLD_RETRY_MS,
      });
    case 'otherWorker':
      return removeWorker(answered, 'otherWorker');
    case 'notListening': {
      const refusedConnections = worker.refusedConnections + 1;
      if (refusedConnections >= MAX_REFUSED_CONNECTIONS)
        return removeWorker(answered, 'notListening');
      return unchanged({
        ...answered,
        worker: { ...worker, refusedConnections },
        holdAtMs: nowMs + HOLD_RETRY_MS,
      });
    }
    case 'lost':
      return unchanged({ ...answered, holdAtMs: nowMs + HOLD_RETRY_MS });
    default:
      return assertNever(result);
  }
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
  const event = result.kind === 'done' || result.kind === 'refused' ? result.kind : 'lost';
  const next = advance(orderChart, order.phase, event);
  const token = next.actions.includes('raiseToken') ? state.token + 1 : state.token;
  if (result.kind === 'refused') {
    const { reason } = result;
    const remaining = { ...worker, pending: worker.pending.delete(key) };
    return {
      state: {
        ...state,
        worker: remaining,
        token: reason === 'fenced' ? token + TOKEN_STEP : token,
      },
      effects: sendToLeader(state, { kind: 'refused', workerKey: worker.workerKey, run, reason }),
    };
  }
  const pending = worker.pending.set(key, {
    ...order,
    phase: next.state,
    afterHold: state.holdCount,
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
  const { worker } = state;
  if (callId === state.holdCallId) {
    return worker === undefined ? unchanged(state) : onHoldResult(state, worker, result, nowMs);
  }
  const order = state.pendingCalls.get(callId);
  if (order === undefined) return unchanged(state);
  const rest = { ...state, pendingCalls: state.pendingCalls.delete(callId) };
  if (worker?.workerKey !== order.workerKey) return unchanged(rest);
  const { call } = order;
  switch (call.kind) {
    case 'start':
      return onStartResult(rest, worker, call, result);
    case 'stop':
    case 'pace': {
      // The leader repeats an order that has no effect. The raised token keeps a lost order from
      // taking effect late.
      const isLost = result.kind === 'lost' || result.kind === 'notListening';
      const isFenced = result.kind === 'refused' && result.reason === 'fenced';
      const raise = (isLost ? 1 : 0) + (isFenced ? TOKEN_STEP : 0);
      return unchanged({ ...rest, token: state.token + raise });
    }
    case 'hold':
      return unchanged(rest);
    default:
      return assertNever(call);
  }
}
