import { Map } from 'immutable';
import type { WorkerReport } from '@bronzeyoke/ports';
import { workerKeyOf } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import type { Instant } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { LeaderMessage } from '@bronzeyoke/wire';
import {
  callWorker,
  forgetWorker,
  holdIfDue,
  onCallDone,
  orderKey,
  reportEffects,
  stay,
  tell,
} from './calls';
import type {
  EntryAddress,
  RunnerEvent,
  RunnerSettings,
  RunnerState,
  RunnerStep,
  WorkerState,
} from './types';

/** A connection on which the leader does not answer for so long is replaced. */
const SILENCE_MS = 1_500;

/** An agent that knows neither a worker nor a leader. */
export function createRunner(settings: RunnerSettings): RunnerState {
  return {
    settings,
    token: settings.firstToken,
    calls: 0,
    lastBornAtMs: 0,
    goneKeys: [],
    holds: 0,
    holdAtMs: 0,
    term: 0,
    targets: 0,
    isLinked: false,
    lastOrder: 0,
    progressAtMs: -Infinity,
    orders: Map(),
  };
}

function newWorker(report: WorkerReport): WorkerState {
  return {
    workerKey: workerKeyOf(report),
    report,
    ackSequence: 0,
    running: [],
    ended: [],
    pending: Map(),
    absences: 0,
  };
}

function onHeartbeat(state: RunnerState, report: WorkerReport, nowMs: number): RunnerStep {
  const { worker } = state;
  const workerKey = workerKeyOf(report);
  if (state.goneKeys.includes(workerKey) || report.bornAtMs < state.lastBornAtMs)
    return stay(state);
  if (worker?.workerKey === workerKey) {
    if (report.sequence <= worker.report.sequence) return stay(state);
    const hasChanged = report.isDraining !== worker.report.isDraining;
    const next = { ...state, worker: { ...worker, report } };
    return { state: next, effects: hasChanged ? reportEffects(next) : [] };
  }
  const left = worker === undefined ? stay(state) : forgetWorker(state, 'laterLife');
  const { id, service } = report;
  const known = {
    ...left.state,
    worker: newWorker(report),
    lastBornAtMs: report.bornAtMs,
    holdAtMs: nowMs,
  };
  const fields = { worker: workerKey, id, service };
  return { state: known, effects: [...left.effects, logEffect('workerSeen', fields)] };
}

function connectTo(state: RunnerState, address: EntryAddress, nowMs: number): RunnerStep {
  return {
    state: { ...state, target: address, isLinked: false, lastOrder: 0, progressAtMs: nowMs },
    effects: [{ kind: 'connect', address }],
  };
}

function isSame(left: EntryAddress | undefined, right: EntryAddress): boolean {
  return left?.host === right.host && left.port === right.port;
}

function onLeader(
  state: RunnerState,
  term: number,
  address: EntryAddress,
  nowMs: number,
): RunnerStep {
  if (term < state.term || (term === state.term && isSame(state.target, address))) {
    return stay(state);
  }
  const known = { ...state, term, leader: address };
  const step = isSame(state.target, address) ? stay(known) : connectTo(known, address, nowMs);
  const fields = { term, leader: `${address.host}:${address.port}` };
  return { state: step.state, effects: [...step.effects, logEffect('leaderSeen', fields)] };
}

/** Tries the leader and the seeds in turn while nobody answers. */
function reconnect(state: RunnerState, nowMs: number): RunnerStep {
  if (nowMs - state.progressAtMs < SILENCE_MS) return stay(state);
  const addresses = [
    ...(state.leader === undefined ? [] : [state.leader]),
    ...state.settings.seeds,
  ];
  const address = addresses[state.targets % Math.max(1, addresses.length)];
  if (address === undefined) return stay(state);
  const step = connectTo({ ...state, targets: state.targets + 1 }, address, nowMs);
  const fields = { what: 'leader', address: `${address.host}:${address.port}` };
  return { state: step.state, effects: [...step.effects, logEffect('dependencyLost', fields)] };
}

function onStartOrder(
  state: RunnerState,
  message: Extract<LeaderMessage, { kind: 'start' }>,
): RunnerStep {
  const { workerKey, run, payload, checkpoint, ticket } = message;
  const { worker } = state;
  const seen = { ...state, lastOrder: Math.max(state.lastOrder, message.order) };
  const refuse = (reason: 'expired' | 'draining' | 'noLease'): RunnerStep => ({
    state: seen,
    effects: tell(state, { kind: 'refused', workerKey, run, reason }),
  });
  if (worker?.workerKey !== workerKey) return refuse('expired');
  if (worker.report.isDraining) return refuse('draining');
  if (worker.leaseUntilClockMs === undefined) return refuse('noLease');
  const order = { run, phase: 'calling' as const, afterHold: Infinity };
  const pending = worker.pending.set(orderKey(run), order);
  return callWorker({ ...seen, worker: { ...worker, pending } }, worker, {
    kind: 'start',
    ...run,
    fencingToken: state.token,
    payload,
    leaseUntilClockMs: worker.leaseUntilClockMs,
    ...(checkpoint === undefined ? {} : { checkpoint }),
    ...(ticket === undefined ? {} : { ticket }),
  });
}

function onMessage(state: RunnerState, message: LeaderMessage, nowMs: number): RunnerStep {
  const { worker } = state;
  const current = { ...state, progressAtMs: nowMs };
  switch (message.kind) {
    case 'leader':
      return onLeader(state, message.term, { host: message.host, port: message.port }, nowMs);
    case 'start':
      return onStartOrder(current, message);
    case 'grant': {
      if (worker?.workerKey !== message.workerKey) return stay(current);
      const until = Math.max(worker.leaseUntilClockMs ?? 0, message.leaseUntilClockMs);
      return stay({ ...current, worker: { ...worker, leaseUntilClockMs: until } });
    }
    case 'acknowledge': {
      if (worker?.workerKey !== message.workerKey) return stay(current);
      const ackSequence = Math.max(worker.ackSequence, message.sequence);
      return stay({ ...current, worker: { ...worker, ackSequence } });
    }
    case 'stop':
    case 'pace': {
      if (worker?.workerKey !== message.workerKey) return stay(current);
      const { task, attempt } = message.run;
      const order = { task, attempt, fencingToken: state.token };
      return callWorker(
        current,
        worker,
        message.kind === 'stop'
          ? { kind: 'stop', ...order }
          : { kind: 'pace', ...order, percent: message.percent },
      );
    }
    default:
      return assertNever(message);
  }
}

function decide(state: RunnerState, event: RunnerEvent, nowMs: number): RunnerStep {
  switch (event.kind) {
    case 'tick':
      return reconnect(state, nowMs);
    case 'heartbeat':
      return onHeartbeat(state, event.report, nowMs);
    case 'workerLeft':
      return state.worker?.report.id === event.id ? forgetWorker(state, 'left') : stay(state);
    case 'leader':
      return onLeader(state, event.term, event.address, nowMs);
    case 'linkOpened': {
      const linked = { ...state, isLinked: true, lastOrder: 0, progressAtMs: nowMs };
      const gone = state.goneKeys.flatMap((workerKey) =>
        tell(linked, { kind: 'workerGone', workerKey }),
      );
      return { state: linked, effects: [...gone, ...reportEffects(linked)] };
    }
    case 'linkClosed':
      return stay({ ...state, isLinked: false });
    case 'received':
      return onMessage(state, event.message, nowMs);
    case 'callDone':
      return onCallDone(state, event.callId, event.result, nowMs);
    default:
      return assertNever(event);
  }
}

/** Decides what an agent does with an event. */
export function stepRunner(state: RunnerState, event: RunnerEvent, { nowMs }: Instant): RunnerStep {
  const step = decide(state, event, nowMs);
  const hold = holdIfDue(step.state, nowMs);
  return { state: hold.state, effects: [...step.effects, ...hold.effects] };
}
