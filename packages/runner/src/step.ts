import { Map, Set as ImmutableSet } from 'immutable';
import type { WorkerReport } from '@bronzeyoke/ports';
import { workerKeyOf } from '@bronzeyoke/ports';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, chain, isSameAmount, unchanged, without } from '@bronzeyoke/types';
import type { AgentRefusal, LeaderMessage } from '@bronzeyoke/wire';
import { callWorker, expireCalls, holdIfDue, onCallDone } from './calls';
import { askCandidates, noteCandidate, onCandidateReply } from './candidates';
import { endUnansweredWorker, goneEffects, onGoneRecorded, repeatGone, settleGone } from './gone';
import { isSameAddress } from './connect';
import { leaseToPass, noteLeaseEnd } from './heldlease';
import { advanceLookup } from './lookup';
import { onLeader, onLeaderNamed, reconnectIfSilent } from './leader';
import { noteStart } from './recentstarts';
import { reportEffects, sendToLeader } from './report';
import { noteSequence } from './sequences';
import { continueStop, onStop } from './settle';
import type { RunnerEvent, RunnerSettings, RunnerState, RunnerStep, WorkerState } from './types';
import { agentChart, lookupChart, orderKey } from './types';

/**
 * Time between reports on a new connection until the leader asks for another one. The interval that a
 * leader on a large machine has asked for would take all the time of a successor on a small one.
 */
const FIRST_REPORT_INTERVAL_MS = 600;

/** Creates the state of an agent without a worker and a leader. */
export function createRunner(settings: RunnerSettings): RunnerState {
  return {
    settings,
    phase: agentChart.initial,
    token: settings.firstToken,
    callCount: 0,
    workerIds: ImmutableSet(),
    lastBornAtMs: 0,
    candidates: Map(),
    goneWorkers: [],
    goneSentAtMs: 0,
    listCount: 0,
    holdNumber: 0,
    holdToken: 0,
    holdSentAtMs: 0,
    holdAtMs: 0,
    term: 0,
    connectCount: 0,
    lookup: { phase: lookupChart.initial },
    silentCount: 0,
    timeoutJitter: 0,
    isLinked: false,
    lastOrder: 0,
    reportIntervalMs: 0,
    progressAtMs: -Infinity,
    pendingCalls: Map(),
  };
}

function onHeartbeat(state: RunnerState, report: WorkerReport, nowMs: number): RunnerStep {
  if (state.worker?.workerKey !== workerKeyOf(report)) {
    return unchanged(noteCandidate(state, report, nowMs));
  }
  const { address, service, domain } = state.worker.report;
  // An instance keeps its service and its domain, so this is a heartbeat of another writer.
  if (service !== report.service || domain !== report.domain) return unchanged(state);
  const { worker, isLatest } = noteSequence(state.worker, report.sequence);
  if (!isLatest) return unchanged({ ...state, worker });
  if (address !== report.address) {
    const heard = { ...state, worker: { ...worker, heartbeatAtMs: nowMs } };
    return unchanged(noteCandidate(heard, report, nowMs));
  }
  const hasChanged =
    report.isDraining !== worker.report.isDraining ||
    !isSameAmount(worker.report.capacity, report.capacity);
  const next = { ...state, worker: { ...worker, report, heartbeatAtMs: nowMs } };
  return { state: next, effects: hasChanged ? reportEffects(next) : [] };
}

/**
 * Handles a worker's message that it leaves. It is no proof that the worker has ended: it may come from
 * another writer, or the worker may go on for a while.
 */
function onWorkerLeft(state: RunnerState, id: string, nowMs: number): RunnerStep {
  const { worker } = state;
  if (worker?.report.id !== id) return unchanged(state);
  return unchanged({
    ...state,
    worker: { ...worker, leftAtList: state.listCount },
    holdAtMs: nowMs,
  });
}

/**
 * Longest time since the last reply of a worker that gets a start call. A worker that answers is heard every
 * 0.4 s, and a call without a reply fails after 1 s, so the agent was suspended. The leader may have sent the
 * order long ago, and a later instance would take the lease by the clock of the earlier one.
 */
const MAX_REPLY_AGE_MS = 2_000;

/** Returns whether it is not known that the worker still answers. */
function isUncertain({ failures, heldLease }: WorkerState, nowMs: number): boolean {
  return failures !== undefined || nowMs - heldLease.repliedAtMs > MAX_REPLY_AGE_MS;
}

function onStartOrder(
  state: RunnerState,
  message: Extract<LeaderMessage, { kind: 'start' }>,
  nowMs: number,
): RunnerStep {
  const { workerKey, run, payload, checkpoint, ticket } = message;
  const { worker } = state;
  const seen = { ...state, lastOrder: Math.max(state.lastOrder, message.order) };
  const refuse = (reason: AgentRefusal): RunnerStep => ({
    state: seen,
    effects: sendToLeader(state, { kind: 'refused', workerKey, run, reason }),
  });
  if (worker?.workerKey !== workerKey) return refuse('expired');
  if (worker.report.isDraining || state.phase !== 'running') return refuse('draining');
  if (isUncertain(worker, nowMs)) {
    const refused = refuse('unreachable');
    // The leader uses the worker again after its next report.
    return { ...refused, state: without(refused.state, 'lastReport') };
  }
  const leaseUntilClockMs = leaseToPass(worker);
  if (leaseUntilClockMs === undefined) return refuse('noLease');
  const order = { run, phase: 'calling' as const, afterList: Infinity, calledAtMs: nowMs };
  const pending = worker.pending.set(orderKey(run), order);
  const noted = noteStart({ ...worker, pending }, run, nowMs);
  const called = noteLeaseEnd(noted, leaseUntilClockMs);
  const call = {
    kind: 'start',
    ...run,
    fencingToken: state.token,
    payload,
    leaseUntilClockMs,
    ...(checkpoint === undefined ? {} : { checkpoint }),
    ...(ticket === undefined ? {} : { ticket }),
  } as const;
  return callWorker({ ...seen, worker: called }, worker, call, nowMs);
}

function onMessage(state: RunnerState, message: LeaderMessage, inputs: StepInputs): RunnerStep {
  const { worker } = state;
  const { nowMs } = inputs;
  // Any entry sends the address of the leader, so that is no sign of how much the leader has to do.
  const silentCount = message.kind === 'leader' ? state.silentCount : 0;
  const current = { ...state, progressAtMs: nowMs, silentCount };
  switch (message.kind) {
    case 'leader': {
      const { term, host, port } = message;
      const address = { host, port };
      // An entry that names itself is at work as the leader, or loads its state.
      const known = isSameAddress(state.target, address) ? current : state;
      return onLeader(known, term, address, inputs);
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
        nowMs,
      );
    }
    default:
      return assertNever(message);
  }
}

/**
 * Ends the lookup when the leader replies. Any entry sends an address, so that ends nothing, unless the
 * entry names itself under a later term: then its connection works.
 */
function endLookupByReply(
  state: RunnerState,
  message: LeaderMessage,
  inputs: StepInputs,
): RunnerStep {
  const isReply =
    message.kind !== 'leader' ||
    (message.term > state.term && isSameAddress(state.target, message));
  return isReply ? advanceLookup(state, 'replied', inputs) : unchanged(state);
}

function handleEvent(state: RunnerState, event: RunnerEvent, inputs: StepInputs): RunnerStep {
  const { nowMs } = inputs;
  switch (event.kind) {
    case 'tick': {
      const expired = expireCalls(state, nowMs);
      const repeated = repeatGone(expired.state, nowMs);
      const ended = endUnansweredWorker(repeated.state, nowMs);
      const settled = settleGone(ended.state, nowMs);
      const step = reconnectIfSilent(settled.state, inputs);
      const effects = [expired, repeated, ended, settled, step].flatMap((part) => part.effects);
      return { state: step.state, effects };
    }
    case 'heartbeat':
      return onHeartbeat(state, event.report, nowMs);
    case 'workerLeft':
      return onWorkerLeft(state, event.id, nowMs);
    case 'leader':
      return onLeader(state, event.term, event.address, inputs);
    case 'leaderNamed':
      return onLeaderNamed(state, event.term, event.address, inputs);
    case 'linkOpened': {
      const linked = {
        ...without(state, 'lastReport'),
        reportIntervalMs: FIRST_REPORT_INTERVAL_MS,
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
      return chain(endLookupByReply(state, event.message, inputs), (current) =>
        onMessage(current, event.message, inputs),
      );
    case 'callDone': {
      const { callId, result } = event;
      return (
        onCandidateReply(state, callId, result, nowMs) ?? onCallDone(state, callId, result, nowMs)
      );
    }
    case 'stop':
      return onStop(state, event.withinMs, nowMs);
    default:
      return assertNever(event);
  }
}

/** Applies an event to the agent, ends a stop that is settled, and sends the calls that are due. */
export function stepRunner(state: RunnerState, event: RunnerEvent, inputs: StepInputs): RunnerStep {
  const { nowMs } = inputs;
  const started = { ...state, startedAtMs: state.startedAtMs ?? nowMs };
  const step = chain(handleEvent(started, event, inputs), (current) =>
    continueStop(current, nowMs),
  );
  const asked = askCandidates(step.state, nowMs);
  const hold = holdIfDue(asked.state, nowMs);
  return { state: hold.state, effects: [...step.effects, ...asked.effects, ...hold.effects] };
}
