import { Map } from 'immutable';
import type { WorkerReport } from '@bronzeyoke/ports';
import { workerKeyOf } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import type { Address, StepInputs } from '@bronzeyoke/types';
import { assertNever, isSameAmount, unchanged, without } from '@bronzeyoke/types';
import type { LeaderMessage } from '@bronzeyoke/wire';
import { callWorker, holdIfDue, onCallDone } from './calls';
import {
  goneEffects,
  onGoneRecorded,
  onSuccessorSeen,
  removeWorker,
  repeatGone,
  settleGone,
} from './gone';
import { noteStart } from './recentstarts';
import { reportEffects, sendToLeader } from './report';
import { onStop, settleIfDue } from './settle';
import type { RunnerEvent, RunnerSettings, RunnerState, RunnerStep, WorkerState } from './types';
import { agentChart, orderKey } from './types';

/** Time without a reply from the leader after which the connection is replaced. */
const LEADER_TIMEOUT_MS = 1_500;

/** Creates the state of an agent without a worker and a leader. */
export function createRunner(settings: RunnerSettings): RunnerState {
  return {
    settings,
    phase: agentChart.initial,
    token: settings.firstToken,
    callCount: 0,
    lastBornAtMs: 0,
    goneKeys: [],
    goneWorkers: [],
    goneSentAtMs: 0,
    holdCount: 0,
    holdAtMs: 0,
    term: 0,
    connectCount: 0,
    isLinked: false,
    lastOrder: 0,
    reportIntervalMs: 0,
    progressAtMs: -Infinity,
    pendingCalls: Map(),
  };
}

function createWorker(report: WorkerReport): WorkerState {
  return {
    workerKey: workerKeyOf(report),
    report,
    ackSequence: 0,
    running: [],
    ended: [],
    pending: Map(),
    refusedConnections: 0,
    startCalls: Map(),
  };
}

function onHeartbeat(state: RunnerState, report: WorkerReport, nowMs: number): RunnerStep {
  const { worker } = state;
  const workerKey = workerKeyOf(report);
  if (state.goneKeys.includes(workerKey)) return unchanged(state);
  if (worker?.workerKey === workerKey) {
    if (report.sequence <= worker.report.sequence) return unchanged(state);
    const hasChanged =
      report.isDraining !== worker.report.isDraining ||
      !isSameAmount(worker.report.capacity, report.capacity);
    const next = { ...state, worker: { ...worker, report } };
    return { state: next, effects: hasChanged ? reportEffects(next) : [] };
  }
  // Without a worker, a first reply with this birth shows whether the heartbeat is a late one of an
  // ended instance, or the machine's clock was set back before the present one began.
  const isLater = report.bornAtMs >= state.lastBornAtMs;
  if (worker !== undefined && !isLater) return unchanged(state);
  const { id, service } = report;
  const isSameId = worker?.report.id === id;
  const left = removeWorker(state, isSameId ? 'newerInstance' : 'otherWorker', nowMs);
  const updated = {
    ...left.state,
    worker: createWorker(report),
    lastBornAtMs: Math.max(state.lastBornAtMs, report.bornAtMs),
    holdAtMs: nowMs,
    // Makes the new instance refuse late calls to the earlier one, from its first list on.
    token: state.token + (state.lastBornAtMs === 0 ? 0 : 1),
  };
  const gone = onSuccessorSeen(updated, id, isLater);
  const log = logEffect('workerSeen', { worker: workerKey, id, service });
  return { state: gone.state, effects: [...left.effects, ...gone.effects, log] };
}

function connectTo(state: RunnerState, address: Address, nowMs: number): RunnerStep {
  return {
    state: { ...state, target: address, isLinked: false, lastOrder: 0, progressAtMs: nowMs },
    effects: [{ kind: 'connect', address }],
  };
}

function isSameAddress(left: Address | undefined, right: Address): boolean {
  return left?.host === right.host && left.port === right.port;
}

function onLeader(state: RunnerState, term: number, address: Address, nowMs: number): RunnerStep {
  if (term < state.term || (term === state.term && isSameAddress(state.target, address))) {
    return unchanged(state);
  }
  const updated = { ...state, term, leader: address };
  const step = isSameAddress(state.target, address)
    ? unchanged(updated)
    : connectTo(updated, address, nowMs);
  const fields = { term, leader: `${address.host}:${address.port}` };
  return { state: step.state, effects: [...step.effects, logEffect('leaderSeen', fields)] };
}

/** Connects to the leader and the seeds in turn until one of them replies. */
function reconnectIfSilent(state: RunnerState, nowMs: number): RunnerStep {
  if (nowMs - state.progressAtMs < LEADER_TIMEOUT_MS) return unchanged(state);
  const addresses = [
    ...(state.leader === undefined ? [] : [state.leader]),
    ...state.settings.seeds,
  ];
  const address = addresses[state.connectCount % Math.max(1, addresses.length)];
  if (address === undefined) return unchanged(state);
  const step = connectTo({ ...state, connectCount: state.connectCount + 1 }, address, nowMs);
  const fields = { what: 'leader', address: `${address.host}:${address.port}` };
  return { state: step.state, effects: [...step.effects, logEffect('dependencyLost', fields)] };
}

function onStartOrder(
  state: RunnerState,
  message: Extract<LeaderMessage, { kind: 'start' }>,
  nowMs: number,
): RunnerStep {
  const { workerKey, run, payload, checkpoint, ticket } = message;
  const { worker } = state;
  const seen = { ...state, lastOrder: Math.max(state.lastOrder, message.order) };
  const refuse = (reason: 'expired' | 'draining' | 'noLease'): RunnerStep => ({
    state: seen,
    effects: sendToLeader(state, { kind: 'refused', workerKey, run, reason }),
  });
  if (worker?.workerKey !== workerKey) return refuse('expired');
  if (worker.report.isDraining || state.phase !== 'running') return refuse('draining');
  if (worker.leaseUntilClockMs === undefined) return refuse('noLease');
  const order = { run, phase: 'calling' as const, afterHold: Infinity, calledAtMs: nowMs };
  const pending = worker.pending.set(orderKey(run), order);
  const called = noteStart({ ...worker, pending }, run, nowMs);
  return callWorker({ ...seen, worker: called }, worker, {
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
    case 'leader': {
      const { term, host, port } = message;
      const address = { host, port };
      // An entry that names itself is at work as the leader, or loads its state.
      const known = isSameAddress(state.target, address) ? current : state;
      return onLeader(known, term, address, nowMs);
    }
    case 'start':
      return onStartOrder(current, message, nowMs);
    case 'grant': {
      if (worker?.workerKey !== message.workerKey) return unchanged(current);
      const until = Math.max(worker.leaseUntilClockMs ?? 0, message.leaseUntilClockMs);
      const { reportIntervalMs = 0 } = message;
      const leased = { ...worker, leaseUntilClockMs: until };
      return unchanged({ ...current, reportIntervalMs, worker: leased });
    }
    case 'acknowledge': {
      if (worker?.workerKey !== message.workerKey) return unchanged(current);
      const ackSequence = Math.max(worker.ackSequence, message.sequence);
      return unchanged({ ...current, worker: { ...worker, ackSequence } });
    }
    case 'goneRecorded':
      return onGoneRecorded(current, message.workerKey);
    case 'stop':
    case 'pace': {
      if (worker?.workerKey !== message.workerKey) return unchanged(current);
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

function handleEvent(state: RunnerState, event: RunnerEvent, nowMs: number): RunnerStep {
  switch (event.kind) {
    case 'tick': {
      const repeated = repeatGone(state, nowMs);
      const settled = settleGone(repeated.state, nowMs);
      const step = reconnectIfSilent(settled.state, nowMs);
      const effects = [...repeated.effects, ...settled.effects, ...step.effects];
      return { state: step.state, effects };
    }
    case 'heartbeat':
      return onHeartbeat(state, event.report, nowMs);
    case 'workerLeft':
      return state.worker?.report.id === event.id
        ? removeWorker(state, 'left', nowMs)
        : unchanged(state);
    case 'leader':
      return onLeader(state, event.term, event.address, nowMs);
    case 'linkOpened': {
      const linked = {
        ...without(state, 'lastReport'),
        isLinked: true,
        lastOrder: 0,
        progressAtMs: nowMs,
        goneSentAtMs: nowMs,
      };
      return { state: linked, effects: [...reportEffects(linked), ...goneEffects(linked)] };
    }
    case 'linkClosed':
      return unchanged({ ...state, isLinked: false });
    case 'received':
      return onMessage(state, event.message, nowMs);
    case 'callDone':
      return onCallDone(state, event.callId, event.result, nowMs);
    case 'stop':
      return onStop(state, event.withinMs, nowMs);
    default:
      return assertNever(event);
  }
}

/** Applies an event to the agent, ends a stop that is settled, and sends a hold if one is due. */
export function stepRunner(
  state: RunnerState,
  event: RunnerEvent,
  { nowMs }: StepInputs,
): RunnerStep {
  const step = settleIfDue(handleEvent(state, event, nowMs), nowMs);
  const hold = holdIfDue(step.state, nowMs);
  return { state: hold.state, effects: [...step.effects, ...hold.effects] };
}
