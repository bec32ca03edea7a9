import { Map, OrderedMap } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import type { StepInputs, Step } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import type { AgentMessage } from '@bronzeyoke/wire';
import { attemptChart } from './chart';
import { EMPTY_HISTORY, blockAttempt, recordAttempt } from './history';
import { ENDED_PHASES, recordKeyUse, retainEnded } from './retain';
import type { AttemptChartEvent } from './effects';
import { updateRecord, effectsOf, addWaiter } from './effects';
import type {
  AdmissionEffect,
  AdmissionEvent,
  AdmissionState,
  ReceivedAttempt,
  AttemptRecord,
  Waiter,
} from './types';

type AdmissionStep = Step<AdmissionState, AdmissionEffect>;

/** Creates the state before the first request. */
export function createAdmission(slots: number, connections: number): AdmissionState {
  return {
    slots,
    connections,
    draining: false,
    records: Map(),
    queue: OrderedMap(),
    runningCount: 0,
    ended: OrderedMap(),
    endedBytes: 0,
    refused: OrderedMap(),
    history: EMPTY_HISTORY,
  };
}

/** Returns whether a planned stop can proceed: no attempt is queued or running. */
export function isAdmissionIdle(state: AdmissionState): boolean {
  return state.runningCount === 0 && state.queue.isEmpty();
}

function advanceAttempt(
  state: AdmissionState,
  record: AttemptRecord,
  event: AttemptChartEvent,
  inputs: StepInputs,
): AdmissionStep {
  const { nowMs } = inputs;
  const next = advance(attemptChart, record.phase, event.kind);
  if (next.actions.length === 0 && next.state === record.phase) return unchanged(state);
  const { attemptId } = record.attempt;
  const changed = { ...updateRecord(record, event, nowMs), phase: next.state };
  const updated = next.actions.includes('addWaiter') ? addWaiter(changed, event) : changed;
  const runningCount =
    state.runningCount + Number(next.state === 'running') - Number(record.phase === 'running');
  const queue =
    next.state === 'queued' ? state.queue.set(attemptId, true) : state.queue.delete(attemptId);
  const base = { ...state, runningCount, queue, records: state.records.set(attemptId, updated) };
  const hasMoved = next.state !== record.phase;
  const recorded = hasMoved ? recordKeyUse(base, updated, nowMs) : base;
  return {
    state:
      hasMoved && ENDED_PHASES.has(next.state) ? retainEnded(recorded, updated, nowMs) : recorded,
    effects: next.actions.flatMap((action) => effectsOf(base, updated, action, event, nowMs)),
  };
}

function admitNext(step: AdmissionStep, inputs: StepInputs): AdmissionStep {
  const { state } = step;
  if (state.runningCount >= state.slots) return step;
  const attemptId = state.queue.keySeq().first();
  const record = attemptId === undefined ? undefined : state.records.get(attemptId);
  if (record === undefined) return step;
  const isLate = record.deadlineAtMs <= inputs.nowMs;
  const admitted = advanceAttempt(
    state,
    record,
    isLate ? { kind: 'refuse', reason: 'deadlineExpired' } : { kind: 'admit' },
    inputs,
  );
  return admitNext(
    { state: admitted.state, effects: [...step.effects, ...admitted.effects] },
    inputs,
  );
}

function firstEvent(state: AdmissionState): AttemptChartEvent {
  if (state.draining) return { kind: 'refuse', reason: 'draining' };
  if (state.runningCount < state.slots) return { kind: 'admit' };
  const open = state.runningCount + state.queue.size;
  return open < state.connections ? { kind: 'enqueue' } : { kind: 'refuse', reason: 'overloaded' };
}

function sendTo(state: AdmissionState, waiter: Waiter, message: AgentMessage): AdmissionStep {
  return { state, effects: [{ kind: 'send', linkId: waiter.linkId, message }] };
}

/** Answers for a known attempt, from its own record or from that of the attempt it joined. */
function answerKnown(
  state: AdmissionState,
  waiter: Waiter,
  attemptId: string,
  inputs: StepInputs,
): AdmissionStep | undefined {
  const record = state.records.get(attemptId);
  if (record !== undefined)
    return advanceAttempt(state, record, { kind: 'collect', waiter }, inputs);
  const past = state.history.attempts.get(attemptId);
  const { requestId } = waiter;
  const ids = { requestId, attemptId: waiter.attemptId };
  switch (past?.kind) {
    case undefined:
      return undefined;
    case 'ran':
      // The answer is no longer kept, and the request must not run twice.
      return sendTo(state, waiter, { kind: 'outcomeUnknown', ...ids, reason: 'connectionLost' });
    case 'blocked':
      return sendTo(state, waiter, { kind: 'notRun', ...ids, reason: 'cancelled' });
    case 'joined':
      return (
        answerKnown(state, waiter, past.attemptId, inputs) ??
        sendTo(state, waiter, { kind: 'outcomeUnknown', ...ids, reason: 'connectionLost' })
      );
    default:
      return assertNever(past);
  }
}

/** Joins an attempt to another one of the same key that is queued, runs or ran. */
function joinHolder(
  state: AdmissionState,
  waiter: Waiter,
  attempt: ReceivedAttempt,
  inputs: StepInputs,
): AdmissionStep | undefined {
  const { idempotencyKey: key, attemptId } = attempt;
  const holder = key === undefined ? undefined : state.history.keyHolders.get(key);
  if (holder === undefined || holder === attemptId) return undefined;
  const joined = { kind: 'joined', atMs: inputs.nowMs, attemptId: holder } as const;
  const history = recordAttempt(state.history, attemptId, joined);
  return answerKnown({ ...state, history }, waiter, holder, inputs);
}

function onRequest(
  state: AdmissionState,
  linkId: string,
  attempt: ReceivedAttempt,
  inputs: StepInputs,
): AdmissionStep {
  const { requestId, attemptId } = attempt;
  const waiter = { linkId, requestId, attemptId };
  const known =
    answerKnown(state, waiter, attemptId, inputs) ?? joinHolder(state, waiter, attempt, inputs);
  if (known !== undefined) return known;
  const record: AttemptRecord = {
    attempt,
    phase: attemptChart.initial,
    deadlineAtMs: inputs.nowMs + attempt.timeoutMs,
    waiters: [waiter],
  };
  const step = advanceAttempt(state, record, firstEvent(state), inputs);
  const isQueued = step.state.queue.has(attemptId);
  const expiry: AdmissionEffect = {
    kind: 'expireLater',
    attemptId,
    afterMs: attempt.timeoutMs,
  };
  return isQueued ? { ...step, effects: [...step.effects, expiry] } : step;
}

/**
 * Answers a collect. An attempt that never arrived is blocked, so that a copy still in transit cannot
 * run after the entry was informed that it did not run. If the history had to remove attempts early,
 * the outcome of an attempt that it lacks is reported as unknown.
 */
function onCollect(state: AdmissionState, waiter: Waiter, inputs: StepInputs): AdmissionStep {
  const { requestId, attemptId } = waiter;
  const known = answerKnown(state, waiter, attemptId, inputs);
  if (known !== undefined) return known;
  if (inputs.nowMs < state.history.incompleteUntilMs) {
    const reason = 'connectionLost';
    return sendTo(state, waiter, { kind: 'outcomeUnknown', requestId, attemptId, reason });
  }
  const history = blockAttempt(state.history, undefined, attemptId, inputs.nowMs);
  return sendTo({ ...state, history }, waiter, { kind: 'unknownRequest', requestId, attemptId });
}

function applyToRecord(
  state: AdmissionState,
  attemptId: string,
  event: AttemptChartEvent,
  inputs: StepInputs,
): AdmissionStep {
  const record = state.records.get(attemptId);
  return record === undefined ? unchanged(state) : advanceAttempt(state, record, event, inputs);
}

function removeWaiters(state: AdmissionState, linkId: string): AdmissionState {
  const records = state.records.map((record) =>
    record.waiters.some((waiter) => waiter.linkId === linkId)
      ? { ...record, waiters: record.waiters.filter((waiter) => waiter.linkId !== linkId) }
      : record,
  );
  return { ...state, records };
}

function handleEvent(
  state: AdmissionState,
  event: AdmissionEvent,
  inputs: StepInputs,
): AdmissionStep {
  switch (event.kind) {
    case 'request':
      return onRequest(state, event.linkId, event.attempt, inputs);
    case 'collect': {
      const { linkId, requestId, attemptId } = event;
      return onCollect(state, { linkId, requestId, attemptId }, inputs);
    }
    case 'cancel':
      return applyToRecord(state, event.attemptId, { kind: 'refuse', reason: 'cancelled' }, inputs);
    case 'expire':
      return applyToRecord(
        state,
        event.attemptId,
        { kind: 'refuse', reason: 'deadlineExpired' },
        inputs,
      );
    case 'answered':
      return applyToRecord(
        state,
        event.attemptId,
        { kind: 'answer', answer: event.answer },
        inputs,
      );
    case 'notReached':
      return applyToRecord(state, event.attemptId, { kind: 'notReached' }, inputs);
    case 'lost':
      return applyToRecord(state, event.attemptId, { kind: 'lose', reason: event.reason }, inputs);
    case 'linkClosed':
      return unchanged(removeWaiters(state, event.linkId));
    case 'drain':
      return unchanged({ ...state, draining: true });
    default:
      return assertNever(event);
  }
}

/** Handles one event of the requests at one upstream, then admits queued attempts to free slots. */
export function stepAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  inputs: StepInputs,
): AdmissionStep {
  return admitNext(handleEvent(state, event, inputs), inputs);
}
