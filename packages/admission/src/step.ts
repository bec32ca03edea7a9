import { Map, OrderedMap } from 'immutable';
import { advance } from '@bronzeyoke/chart';
import type { Instant, NotRunReason, Step, UnknownReason, UpstreamAnswer } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import type { AttemptAction } from './chart';
import { attemptChart } from './chart';
import type {
  AdmissionEffect,
  AdmissionEvent,
  AdmissionState,
  Attempt,
  AttemptRecord,
} from './types';

/** How long an ended attempt can be collected over another connection. */
export const ANSWER_RETENTION_MS = 60_000;

/** Most ended attempts that are kept. */
export const MAX_ENDED = 512;

/** Most bytes of answers that are kept. */
export const MAX_ENDED_BYTES = 4 * 1_048_576;

type AdmissionStep = Step<AdmissionState, AdmissionEffect>;

type ChartEvent =
  | { readonly kind: 'admit' }
  | { readonly kind: 'enqueue' }
  | { readonly kind: 'refuse'; readonly reason: NotRunReason }
  | { readonly kind: 'answer'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'notReached' }
  | { readonly kind: 'lose'; readonly reason: UnknownReason }
  | { readonly kind: 'collect'; readonly linkId: string };

/** The state before the first request. */
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
  };
}

/** Whether a planned stop can go ahead: nothing is queued or running. */
export function isIdle(state: AdmissionState): boolean {
  return state.runningCount === 0 && state.queue.isEmpty();
}

function amend(record: AttemptRecord, event: ChartEvent): AttemptRecord {
  switch (event.kind) {
    case 'answer':
      return { ...record, answer: event.answer };
    case 'refuse':
      return { ...record, notRunReason: event.reason };
    case 'notReached':
      return { ...record, notRunReason: 'noUpstream' };
    case 'lose':
      return { ...record, unknownReason: event.reason };
    case 'collect':
      return record.waiters.includes(event.linkId)
        ? record
        : { ...record, waiters: [...record.waiters, event.linkId] };
    case 'admit':
    case 'enqueue':
      return record;
    default:
      return assertNever(event);
  }
}

function effectsOf(
  state: AdmissionState,
  record: AttemptRecord,
  action: AttemptAction,
  instant: Instant,
): readonly AdmissionEffect[] {
  const { attempt, waiters } = record;
  const { requestId, attemptId } = attempt;
  switch (action) {
    case 'callUpstream':
      return [
        {
          kind: 'callUpstream',
          attempt,
          timeoutMs: Math.max(1, record.deadlineAtMs - instant.nowMs),
        },
      ];
    case 'tellAnswer': {
      const { answer } = record;
      if (answer === undefined) return [];
      const slotsInUse = state.runningCount;
      return waiters.map((linkId) => ({
        kind: 'send',
        linkId,
        message: { kind: 'answer', requestId, attemptId, ...answer, slotsInUse },
      }));
    }
    case 'tellNotRun': {
      const reason = record.notRunReason ?? 'overloaded';
      return waiters.map((linkId) => ({
        kind: 'send',
        linkId,
        message: { kind: 'notRun', requestId, attemptId, reason },
      }));
    }
    case 'tellUnknown': {
      const reason = record.unknownReason ?? 'upstreamFailed';
      return waiters.map((linkId) => ({
        kind: 'send',
        linkId,
        message: { kind: 'outcomeUnknown', requestId, attemptId, reason },
      }));
    }
    case 'addWaiter':
      return [];
    default:
      return assertNever(action);
  }
}

const ENDED_PHASES: ReadonlySet<string> = new Set(['answered', 'lost', 'refused']);

function forgetOld(state: AdmissionState, nowMs: number): AdmissionState {
  const oldest = state.ended.entrySeq().first();
  if (oldest === undefined) return state;
  const [attemptId, endedAtMs] = oldest;
  const isOver =
    state.ended.size > MAX_ENDED ||
    state.endedBytes > MAX_ENDED_BYTES ||
    nowMs - endedAtMs > ANSWER_RETENTION_MS;
  if (!isOver) return state;
  const bytes = state.records.get(attemptId)?.answer?.body.length ?? 0;
  return forgetOld(
    {
      ...state,
      records: state.records.delete(attemptId),
      ended: state.ended.delete(attemptId),
      endedBytes: state.endedBytes - bytes,
    },
    nowMs,
  );
}

function retain(state: AdmissionState, record: AttemptRecord, nowMs: number): AdmissionState {
  const { attemptId } = record.attempt;
  const withEnded = {
    ...state,
    ended: state.ended.set(attemptId, nowMs),
    endedBytes: state.endedBytes + (record.answer?.body.length ?? 0),
  };
  return forgetOld(withEnded, nowMs);
}

function apply(
  state: AdmissionState,
  record: AttemptRecord,
  event: ChartEvent,
  instant: Instant,
): AdmissionStep {
  const next = advance(attemptChart, record.phase, event.kind);
  if (next.actions.length === 0 && next.state === record.phase) return unchanged(state);
  const { attemptId } = record.attempt;
  const amended = { ...amend(record, event), phase: next.state };
  const runningCount =
    state.runningCount + Number(next.state === 'running') - Number(record.phase === 'running');
  const queue =
    next.state === 'queued' ? state.queue.set(attemptId, true) : state.queue.delete(attemptId);
  const base = { ...state, runningCount, queue, records: state.records.set(attemptId, amended) };
  const hasEnded = ENDED_PHASES.has(next.state) && !ENDED_PHASES.has(record.phase);
  return {
    state: hasEnded ? retain(base, amended, instant.nowMs) : base,
    effects: next.actions.flatMap((action) => effectsOf(base, amended, action, instant)),
  };
}

function admitNext(step: AdmissionStep, instant: Instant): AdmissionStep {
  const { state } = step;
  if (state.runningCount >= state.slots) return step;
  const attemptId = state.queue.keySeq().first();
  const record = attemptId === undefined ? undefined : state.records.get(attemptId);
  if (record === undefined) return step;
  const isLate = record.deadlineAtMs <= instant.nowMs;
  const admitted = apply(
    state,
    record,
    isLate ? { kind: 'refuse', reason: 'deadlineExpired' } : { kind: 'admit' },
    instant,
  );
  return admitNext(
    { state: admitted.state, effects: [...step.effects, ...admitted.effects] },
    instant,
  );
}

function firstEvent(state: AdmissionState): ChartEvent {
  if (state.draining) return { kind: 'refuse', reason: 'draining' };
  if (state.runningCount < state.slots) return { kind: 'admit' };
  const open = state.runningCount + state.queue.size;
  return open < state.connections ? { kind: 'enqueue' } : { kind: 'refuse', reason: 'overloaded' };
}

function request(
  state: AdmissionState,
  linkId: string,
  attempt: Attempt,
  instant: Instant,
): AdmissionStep {
  const known = state.records.get(attempt.attemptId);
  if (known !== undefined) return apply(state, known, { kind: 'collect', linkId }, instant);
  const record: AttemptRecord = {
    attempt,
    phase: attemptChart.initial,
    deadlineAtMs: instant.nowMs + attempt.timeoutMs,
    waiters: [linkId],
  };
  const step = apply(state, record, firstEvent(state), instant);
  const isQueued = step.state.queue.has(attempt.attemptId);
  const expiry: AdmissionEffect = {
    kind: 'expireLater',
    attemptId: attempt.attemptId,
    afterMs: attempt.timeoutMs,
  };
  return isQueued ? { ...step, effects: [...step.effects, expiry] } : step;
}

/**
 * Remembers an attempt that never arrived as refused, so that a copy which is still on its way
 * cannot run after the entry was told that it did not.
 */
function refuseFromNowOn(
  state: AdmissionState,
  requestId: string,
  attemptId: string,
  linkId: string,
  instant: Instant,
): AdmissionStep {
  const record: AttemptRecord = {
    attempt: {
      requestId,
      attemptId,
      method: '',
      path: '',
      headers: {},
      body: new Uint8Array(0),
      timeoutMs: 0,
    },
    phase: 'refused',
    deadlineAtMs: instant.nowMs,
    waiters: [],
    notRunReason: 'cancelled',
  };
  const records = state.records.set(attemptId, record);
  return {
    state: retain({ ...state, records }, record, instant.nowMs),
    effects: [{ kind: 'send', linkId, message: { kind: 'unknownRequest', requestId, attemptId } }],
  };
}

function withRecord(
  state: AdmissionState,
  attemptId: string,
  event: ChartEvent,
  instant: Instant,
): AdmissionStep {
  const record = state.records.get(attemptId);
  return record === undefined ? unchanged(state) : apply(state, record, event, instant);
}

function removeWaiter(state: AdmissionState, linkId: string): AdmissionState {
  const records = state.records.map((record) =>
    record.waiters.includes(linkId)
      ? { ...record, waiters: record.waiters.filter((waiter) => waiter !== linkId) }
      : record,
  );
  return { ...state, records };
}

function decide(state: AdmissionState, event: AdmissionEvent, instant: Instant): AdmissionStep {
  switch (event.kind) {
    case 'request':
      return request(state, event.linkId, event.attempt, instant);
    case 'collect': {
      const { linkId, requestId, attemptId } = event;
      return state.records.has(attemptId)
        ? withRecord(state, attemptId, { kind: 'collect', linkId }, instant)
        : refuseFromNowOn(state, requestId, attemptId, linkId, instant);
    }
    case 'cancel':
      return withRecord(state, event.attemptId, { kind: 'refuse', reason: 'cancelled' }, instant);
    case 'expire':
      return withRecord(
        state,
        event.attemptId,
        { kind: 'refuse', reason: 'deadlineExpired' },
        instant,
      );
    case 'answered':
      return withRecord(state, event.attemptId, { kind: 'answer', answer: event.answer }, instant);
    case 'notReached':
      return withRecord(state, event.attemptId, { kind: 'notReached' }, instant);
    case 'lost':
      return withRecord(state, event.attemptId, { kind: 'lose', reason: event.reason }, instant);
    case 'linkClosed':
      return unchanged(removeWaiter(state, event.linkId));
    case 'drain':
      return unchanged({ ...state, draining: true });
    default:
      return assertNever(event);
  }
}

/** Decides what happens to requests at one upstream. */
export function stepAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
  instant: Instant,
): AdmissionStep {
  return admitNext(decide(state, event, instant), instant);
}
