import { Map } from 'immutable';
import { accepts, advance } from '@bronzeyoke/chart';
import type { WorkerEvent } from '@bronzeyoke/ports';
import type { StepInputs, Step } from '@bronzeyoke/types';
import { assertNever, taskKey, unchanged, chain } from '@bronzeyoke/types';
import { LEVEL_SHARES, throttleChart } from './chart';
import { INITIAL_KIND, learnUsage, learnWindow } from './learn';
import type {
  InterferenceCall,
  InterferenceEffect,
  InterferenceEvent,
  InterferenceState,
  KindState,
  Neighbour,
} from './types';

/** Length of a window. */
export const WINDOW_MS = 500;

/** Prefix of the call ids of worker commands that this package sends. */
export const INTERFERENCE_PREFIX = 'interference/';

/** Bad windows after which the next level is set, counted since the last level took effect. */
const BAD_WINDOWS = 3;

/** Ratio of mean service time to baseline above which a window is bad. */
const BAD_RATIO = 1.15;

/**
 * Ratio up to which a window is good. Between the two ratios it is neutral, so that noise does not
 * change levels.
 */
const GOOD_RATIO = 1.07;

/** Minimum samples of a window. Fewer are added to the next window, since their mean is unreliable. */
const MIN_SAMPLES = 5;

/** Minimum time between two evictions of the same task. */
const EVICT_INTERVAL_MS = 600_000;

/** A kind with fewer usage samples is assumed to cause the whole slow-down. */
const FEW_USAGE_SAMPLES = 3;

/** Maximum wait for an evicted task to leave before the next change of a level. */
const LEAVE_TIMEOUT_MS = 10_000;

/** A kind that is throttled again within this time after its restore was restored too early. */
const EARLY_RESTORE_MS = 20_000;

/** Maximum number of good windows required for a restore: 80 s. */
const MAX_RESTORE_AFTER_WINDOWS = 160;

/** Time between polls of the worker's usage. */
const USAGE_INTERVAL_MS = 1_000;

/** Timeout of a command to the worker. */
const CALL_TIMEOUT_MS = 3_000;

type InterferenceStep = Step<InterferenceState, InterferenceEffect>;

/** Creates the state before the first request and the first task. */
export function createInterference(service: string): InterferenceState {
  return {
    service,
    sumMs: 0,
    sampleCount: 0,
    windows: [],
    kinds: Map(),
    shares: Map(),
    evictedAtMs: Map(),
    badWindowCount: 0,
    goodWindowCount: 0,
    isLevelApplied: true,
    calls: Map(),
    callCount: 0,
    usageAtMs: -Infinity,
  };
}

type WindowVerdict = 'bad' | 'good' | 'neutral';

function classifyWindow(state: InterferenceState, neighbours: readonly Neighbour[], nowMs: number) {
  const { sampleCount, sumMs } = state;
  // Without requests there is nothing to slow down.
  if (sampleCount === 0) return { state, verdict: 'good' as WindowVerdict };
  if (sampleCount < MIN_SAMPLES) return { state, verdict: 'neutral' as WindowVerdict };
  const learned = learnWindow(state, sumMs / sampleCount, neighbours.length === 0, nowMs);
  const ratio = learned.windows.at(-1)?.ratio ?? 1;
  const belowBad: WindowVerdict = ratio <= GOOD_RATIO ? 'good' : 'neutral';
  const verdict: WindowVerdict = ratio > BAD_RATIO ? 'bad' : belowBad;
  return { state: { ...learned, sumMs: 0, sampleCount: 0 }, verdict };
}

function kindOf(state: InterferenceState, workKind: string): KindState {
  return state.kinds.get(workKind) ?? INITIAL_KIND;
}

function targetShare(state: InterferenceState, neighbour: Neighbour): number {
  return LEVEL_SHARES[kindOf(state, neighbour.workKind).level];
}

/** Marks the share of a task while a command without a reply may or may not have taken effect. */
const UNKNOWN_SHARE = -1;

function hasShare(state: InterferenceState, neighbour: Neighbour): boolean {
  return (state.shares.get(taskKey(neighbour.id)) ?? 1) === targetShare(state, neighbour);
}

/** Returns the largest task of a kind that was not evicted recently. Watchers are never evicted. */
function selectVictim(
  state: InterferenceState,
  neighbours: readonly Neighbour[],
  workKind: string,
  nowMs: number,
): Neighbour | undefined {
  return neighbours
    .filter((neighbour) => neighbour.workKind === workKind && neighbour.role === 'batch')
    .filter(
      ({ id }) => nowMs - (state.evictedAtMs.get(taskKey(id)) ?? -Infinity) >= EVICT_INTERVAL_MS,
    )
    .toSorted((left, right) => right.processorsMilli - left.processorsMilli)[0];
}

/** Returns the running kind that most probably slows the service down and can still be throttled. */
function findSuspect(
  state: InterferenceState,
  neighbours: readonly Neighbour[],
  nowMs: number,
): string | undefined {
  const latest = (state.windows.at(-1)?.ratio ?? 1) - 1;
  const weights = neighbours.reduce((sums, { workKind, processorsMilli }) => {
    const { excess, level, usageSampleCount } = kindOf(state, workKind);
    const expectedExcess = usageSampleCount < FEW_USAGE_SAMPLES ? latest : excess;
    // Kinds with equal estimates are compared by their size.
    const weight = expectedExcess * LEVEL_SHARES[level] + processorsMilli * 1e-9;
    return sums.set(workKind, (sums.get(workKind) ?? 0) + weight);
  }, Map<string, number>());
  return weights
    .filter(
      (_, workKind) =>
        kindOf(state, workKind).level !== 'fifth' ||
        selectVictim(state, neighbours, workKind, nowMs) !== undefined,
    )
    .keySeq()
    .maxBy((workKind) => weights.get(workKind) ?? 0);
}

/** Returns whether a task is being evicted; after a timeout it no longer delays level changes. */
function isBeingEvicted(state: InterferenceState, { id }: Neighbour, nowMs: number): boolean {
  const evictedAtMs = state.evictedAtMs.get(taskKey(id)) ?? -Infinity;
  return nowMs - evictedAtMs < LEAVE_TIMEOUT_MS;
}

function throttleSuspect(
  state: InterferenceState,
  neighbours: readonly Neighbour[],
  nowMs: number,
): InterferenceStep {
  const workKind = findSuspect(state, neighbours, nowMs);
  if (workKind === undefined) return unchanged(state);
  const kind = kindOf(state, workKind);
  const next = advance(throttleChart, kind.level, 'bad');
  const wasRestoredEarly = nowMs - kind.restoredAtMs < EARLY_RESTORE_MS;
  const restoreAfterWindows = wasRestoredEarly
    ? Math.min(kind.restoreAfterWindows * 2, MAX_RESTORE_AFTER_WINDOWS)
    : kind.restoreAfterWindows;
  const stepped: InterferenceState = {
    ...state,
    badWindowCount: 0,
    goodWindowCount: 0,
    isLevelApplied: false,
    kinds: state.kinds.set(workKind, { ...kind, level: next.state, restoreAfterWindows }),
  };
  const chosen = next.actions.includes('evictTask')
    ? selectVictim(state, neighbours, workKind, nowMs)
    : undefined;
  if (chosen === undefined) return unchanged(stepped);
  const recent = state.evictedAtMs.filter((atMs) => nowMs - atMs < EVICT_INTERVAL_MS);
  return {
    state: { ...stepped, evictedAtMs: recent.set(taskKey(chosen.id), nowMs) },
    effects: [{ kind: 'evict', id: chosen.id }],
  };
}

/** Restores the kind with the least learned slow-down by one throttling level. */
function restoreKind(state: InterferenceState, nowMs: number): InterferenceState {
  const throttled = state.kinds.filter(
    ({ level, restoreAfterWindows }) =>
      accepts(throttleChart, level, 'good') && state.goodWindowCount >= restoreAfterWindows,
  );
  const workKind = throttled.keySeq().minBy((name) => kindOf(state, name).excess);
  if (workKind === undefined) return state;
  const kind = kindOf(state, workKind);
  const { state: level } = advance(throttleChart, kind.level, 'good');
  return {
    ...state,
    badWindowCount: 0,
    goodWindowCount: 0,
    isLevelApplied: false,
    kinds: state.kinds.set(workKind, { ...kind, level, restoredAtMs: nowMs }),
  };
}

function countWindow(state: InterferenceState, verdict: WindowVerdict): InterferenceState {
  // Windows before the last level took effect do not reflect it.
  if (!state.isLevelApplied) return { ...state, badWindowCount: 0, goodWindowCount: 0 };
  switch (verdict) {
    case 'bad':
      return { ...state, badWindowCount: state.badWindowCount + 1, goodWindowCount: 0 };
    case 'good':
      return { ...state, badWindowCount: 0, goodWindowCount: state.goodWindowCount + 1 };
    case 'neutral':
      return state;
    default:
      return assertNever(verdict);
  }
}

function sendCommand(
  state: InterferenceState,
  incarnation: number,
  purpose: InterferenceCall,
  command: Extract<InterferenceEffect, { readonly kind: 'worker' }>['command'],
): InterferenceStep {
  const callId = `${INTERFERENCE_PREFIX}${state.callCount}`;
  return {
    state: {
      ...state,
      callCount: state.callCount + 1,
      calls: state.calls.set(callId, purpose),
    },
    effects: [{ kind: 'worker', callId, incarnation, command }],
  };
}

/** Sets the share of every task to that of its kind, including tasks that started meanwhile. */
function setShares(
  state: InterferenceState,
  neighbours: readonly Neighbour[],
  incarnation: number,
  nowMs: number,
): InterferenceStep {
  const pendingKeys = state.calls
    .valueSeq()
    .flatMap((purpose) => (purpose.kind === 'throttle' ? [purpose.key] : []))
    .toSet();
  return neighbours
    .filter((neighbour) => !hasShare(state, neighbour) && !pendingKeys.has(taskKey(neighbour.id)))
    .reduce<InterferenceStep>((step, neighbour) => {
      const { id } = neighbour;
      const share = targetShare(state, neighbour);
      const purpose = { kind: 'throttle', sentAtMs: nowMs, key: taskKey(id), share } as const;
      return chain(step, (current) =>
        sendCommand(
          { ...current, shares: current.shares.set(taskKey(id), UNKNOWN_SHARE) },
          incarnation,
          purpose,
          { kind: 'throttle', id, share },
        ),
      );
    }, unchanged(state));
}

function pollUsage(
  state: InterferenceState,
  neighbours: readonly Neighbour[],
  incarnation: number,
  nowMs: number,
): InterferenceStep {
  const isPolling = state.calls.some(({ kind }) => kind === 'usage');
  const isDue = nowMs - state.usageAtMs >= USAGE_INTERVAL_MS;
  if (neighbours.length === 0 || isPolling || !isDue) return unchanged(state);
  const polled = { ...state, usageAtMs: nowMs };
  return sendCommand(polled, incarnation, { kind: 'usage', sentAtMs: nowMs }, { kind: 'usage' });
}

function onWindow(
  state: InterferenceState,
  event: Extract<InterferenceEvent, { readonly kind: 'window' }>,
  nowMs: number,
): InterferenceStep {
  const { neighbours, incarnation } = event;
  const keys = new Set(neighbours.map(({ id }) => taskKey(id)));
  const current: InterferenceState = {
    ...state,
    shares: state.shares.filter((_, key) => keys.has(key)),
    calls: state.calls.filter(({ sentAtMs }) => nowMs - sentAtMs < CALL_TIMEOUT_MS),
  };
  const classified = classifyWindow(current, neighbours, nowMs);
  const counted = countWindow(classified.state, classified.verdict);
  const stepped =
    counted.badWindowCount >= BAD_WINDOWS
      ? throttleSuspect(counted, neighbours, nowMs)
      : unchanged(restoreKind(counted, nowMs));
  const shared = chain(stepped, (next) => setShares(next, neighbours, incarnation, nowMs));
  const isLevelApplied = neighbours.every(
    (neighbour) =>
      hasShare(shared.state, neighbour) && !isBeingEvicted(shared.state, neighbour, nowMs),
  );
  return chain({ ...shared, state: { ...shared.state, isLevelApplied } }, (next) =>
    pollUsage(next, neighbours, incarnation, nowMs),
  );
}

function onWorkerDone(
  state: InterferenceState,
  { callId, reply }: WorkerEvent,
  nowMs: number,
): InterferenceState {
  const purpose = state.calls.get(callId);
  // The reply to a timed-out command may be older than a later command for the same task.
  if (purpose === undefined) return state;
  const closed = { ...state, calls: state.calls.delete(callId) };
  if (reply.result.kind !== 'done') return closed;
  switch (purpose.kind) {
    case 'throttle':
      return { ...closed, shares: closed.shares.set(purpose.key, purpose.share) };
    case 'usage':
      return reply.kind === 'usage' && reply.result.kind === 'done'
        ? learnUsage(closed, reply.result.value, nowMs)
        : closed;
    default:
      return assertNever(purpose);
  }
}

/** Handles one event: throttles, restores or evicts batch work that slows the service down. */
export function stepInterference(
  state: InterferenceState,
  event: InterferenceEvent,
  inputs: StepInputs,
): InterferenceStep {
  switch (event.kind) {
    case 'served':
      return unchanged({
        ...state,
        sumMs: state.sumMs + event.serviceMs,
        sampleCount: state.sampleCount + 1,
      });
    case 'window':
      return onWindow(state, event, inputs.nowMs);
    case 'workerDone':
      return unchanged(onWorkerDone(state, event, inputs.nowMs));
    default:
      return assertNever(event);
  }
}
