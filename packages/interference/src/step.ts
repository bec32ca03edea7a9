import { Map } from 'immutable';
import { accepts, advance } from '@bronzeyoke/chart';
import type { WorkerEvent } from '@bronzeyoke/ports';
import type { Instant, Step } from '@bronzeyoke/types';
import { assertNever, taskKey, unchanged } from '@bronzeyoke/types';
import { STEP_SHARES, throttleChart } from './chart';
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

/** Prefix of the ids of commands that this package gives. */
export const INTERFERENCE_PREFIX = 'interference/';

/** Bad windows after the last step took effect until the next one. */
const BAD_WINDOWS = 3;

/** A window is bad when the mean service time is above the baseline by this factor. */
const BAD_RATIO = 1.15;

/** Between the two ratios a window is neither bad nor good, so that noise does not cause steps. */
const GOOD_RATIO = 1.07;

/** Fewer samples than this are counted with the next window: their mean says little. */
const MIN_SAMPLES = 5;

/** A task is evicted at most once in this time. */
const EVICT_INTERVAL_MS = 600_000;

/** A kind that was seen less often is suspected of the whole slow-down. */
const FEW_USAGE_SAMPLES = 3;

/** Longest wait for an evicted task to be gone before the next step. */
const LEAVE_LIMIT_MS = 10_000;

/** A step against a kind this soon after its restore means that the restore came too early. */
const RELAPSE_MS = 20_000;

/** Longest wait for a restore: 80 s. */
const MAX_RESTORE_AFTER = 160;

/** Time between polls of the worker's usage. */
const USAGE_INTERVAL_MS = 1_000;

/** A command without a reply is given up after this time. */
const CALL_TIMEOUT_MS = 3_000;

type InterferenceStep = Step<InterferenceState, InterferenceEffect>;

/** The state before the first request and the first task. */
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
    isStepApplied: true,
    calls: Map(),
    callCount: 0,
    usageAtMs: -Infinity,
  };
}

type WindowKind = 'bad' | 'good' | 'neutral';

function judge(state: InterferenceState, neighbours: readonly Neighbour[], nowMs: number) {
  const { sampleCount, sumMs } = state;
  // Without requests nobody is slowed down.
  if (sampleCount === 0) return { state, verdict: 'good' as WindowKind };
  if (sampleCount < MIN_SAMPLES) return { state, verdict: 'neutral' as WindowKind };
  const learned = learnWindow(state, sumMs / sampleCount, neighbours.length === 0, nowMs);
  const ratio = learned.windows.at(-1)?.ratio ?? 1;
  const quiet: WindowKind = ratio <= GOOD_RATIO ? 'good' : 'neutral';
  const verdict: WindowKind = ratio > BAD_RATIO ? 'bad' : quiet;
  return { state: { ...learned, sumMs: 0, sampleCount: 0 }, verdict };
}

function kindOf(state: InterferenceState, workKind: string): KindState {
  return state.kinds.get(workKind) ?? INITIAL_KIND;
}

function wantedShare(state: InterferenceState, neighbour: Neighbour): number {
  return STEP_SHARES[kindOf(state, neighbour.workKind).step];
}

/** A command without a reply may have taken effect or not. */
const UNKNOWN_SHARE = -1;

function hasShare(state: InterferenceState, neighbour: Neighbour): boolean {
  return (state.shares.get(taskKey(neighbour.id)) ?? 1) === wantedShare(state, neighbour);
}

/** The task of a kind to evict: the largest one that was not evicted lately. Watchers stay. */
function victim(
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

/** The running kind that most probably slows the service down and against which a step is left. */
function suspect(
  state: InterferenceState,
  neighbours: readonly Neighbour[],
  nowMs: number,
): string | undefined {
  const latest = (state.windows.at(-1)?.ratio ?? 1) - 1;
  const weights = neighbours.reduce((sums, { workKind, processorsMilli }) => {
    const { excess, step, usageSampleCount } = kindOf(state, workKind);
    const likely = usageSampleCount < FEW_USAGE_SAMPLES ? latest : excess;
    // Kinds of which the same is known are compared by their size.
    const weight = likely * STEP_SHARES[step] + processorsMilli * 1e-9;
    return sums.set(workKind, (sums.get(workKind) ?? 0) + weight);
  }, Map<string, number>());
  return weights
    .filter(
      (_, workKind) =>
        kindOf(state, workKind).step !== 'fifth' ||
        victim(state, neighbours, workKind, nowMs) !== undefined,
    )
    .keySeq()
    .maxBy((workKind) => weights.get(workKind) ?? 0);
}

/** Whether a task that is to be evicted is still here. One that cannot leave does not block others. */
function isLeaving(state: InterferenceState, { id }: Neighbour, nowMs: number): boolean {
  const evictedAtMs = state.evictedAtMs.get(taskKey(id)) ?? -Infinity;
  return nowMs - evictedAtMs < LEAVE_LIMIT_MS;
}

function tighten(
  state: InterferenceState,
  neighbours: readonly Neighbour[],
  nowMs: number,
): InterferenceStep {
  const workKind = suspect(state, neighbours, nowMs);
  if (workKind === undefined) return unchanged(state);
  const kind = kindOf(state, workKind);
  const next = advance(throttleChart, kind.step, 'bad');
  const hasRelapsed = nowMs - kind.restoredAtMs < RELAPSE_MS;
  const restoreAfterWindows = hasRelapsed
    ? Math.min(kind.restoreAfterWindows * 2, MAX_RESTORE_AFTER)
    : kind.restoreAfterWindows;
  const stepped: InterferenceState = {
    ...state,
    badWindowCount: 0,
    goodWindowCount: 0,
    isStepApplied: false,
    kinds: state.kinds.set(workKind, { ...kind, step: next.state, restoreAfterWindows }),
  };
  const chosen = next.actions.includes('evictTask')
    ? victim(state, neighbours, workKind, nowMs)
    : undefined;
  if (chosen === undefined) return unchanged(stepped);
  const recent = state.evictedAtMs.filter((atMs) => nowMs - atMs < EVICT_INTERVAL_MS);
  return {
    state: { ...stepped, evictedAtMs: recent.set(taskKey(chosen.id), nowMs) },
    effects: [{ kind: 'evict', id: chosen.id }],
  };
}

/** Restores the kind with the least learned slow-down by one step. */
function relax(state: InterferenceState, nowMs: number): InterferenceState {
  const throttled = state.kinds.filter(
    ({ step, restoreAfterWindows }) =>
      accepts(throttleChart, step, 'good') && state.goodWindowCount >= restoreAfterWindows,
  );
  const workKind = throttled.keySeq().minBy((name) => kindOf(state, name).excess);
  if (workKind === undefined) return state;
  const kind = kindOf(state, workKind);
  const { state: step } = advance(throttleChart, kind.step, 'good');
  return {
    ...state,
    badWindowCount: 0,
    goodWindowCount: 0,
    isStepApplied: false,
    kinds: state.kinds.set(workKind, { ...kind, step, restoredAtMs: nowMs }),
  };
}

function count(state: InterferenceState, verdict: WindowKind): InterferenceState {
  // Windows before the last step took effect say nothing about it.
  if (!state.isStepApplied) return { ...state, badWindowCount: 0, goodWindowCount: 0 };
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

function call(
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

function join(
  step: InterferenceStep,
  next: (state: InterferenceState) => InterferenceStep,
): InterferenceStep {
  const after = next(step.state);
  return { state: after.state, effects: [...step.effects, ...after.effects] };
}

/** Gives every task the share that its kind is to have; also tasks that started meanwhile. */
function setShares(
  state: InterferenceState,
  neighbours: readonly Neighbour[],
  incarnation: number,
  nowMs: number,
): InterferenceStep {
  const asked = state.calls
    .valueSeq()
    .flatMap((purpose) => (purpose.kind === 'throttle' ? [purpose.key] : []))
    .toSet();
  return neighbours
    .filter((neighbour) => !hasShare(state, neighbour) && !asked.has(taskKey(neighbour.id)))
    .reduce<InterferenceStep>((step, neighbour) => {
      const { id } = neighbour;
      const share = wantedShare(state, neighbour);
      const purpose = { kind: 'throttle', sentAtMs: nowMs, key: taskKey(id), share } as const;
      return join(step, (current) =>
        call(
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
  const isAsking = state.calls.some(({ kind }) => kind === 'usage');
  const isDue = nowMs - state.usageAtMs >= USAGE_INTERVAL_MS;
  if (neighbours.length === 0 || isAsking || !isDue) return unchanged(state);
  const polled = { ...state, usageAtMs: nowMs };
  return call(polled, incarnation, { kind: 'usage', sentAtMs: nowMs }, { kind: 'usage' });
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
  const judged = judge(current, neighbours, nowMs);
  const counted = count(judged.state, judged.verdict);
  const stepped =
    counted.badWindowCount >= BAD_WINDOWS
      ? tighten(counted, neighbours, nowMs)
      : unchanged(relax(counted, nowMs));
  const shared = join(stepped, (next) => setShares(next, neighbours, incarnation, nowMs));
  const isStepApplied = neighbours.every(
    (neighbour) => hasShare(shared.state, neighbour) && !isLeaving(shared.state, neighbour, nowMs),
  );
  return join({ ...shared, state: { ...shared.state, isStepApplied } }, (next) =>
    pollUsage(next, neighbours, incarnation, nowMs),
  );
}

function onWorkerDone(
  state: InterferenceState,
  { callId, reply }: WorkerEvent,
  nowMs: number,
): InterferenceState {
  const purpose = state.calls.get(callId);
  // A reply that was given up may be older than a later command for the same task.
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

/** Decides about interference between the service and the batch work beside it. */
export function stepInterference(
  state: InterferenceState,
  event: InterferenceEvent,
  instant: Instant,
): InterferenceStep {
  switch (event.kind) {
    case 'served':
      return unchanged({
        ...state,
        sumMs: state.sumMs + event.serviceMs,
        sampleCount: state.sampleCount + 1,
      });
    case 'window':
      return onWindow(state, event, instant.nowMs);
    case 'workerDone':
      return unchanged(onWorkerDone(state, event, instant.nowMs));
    default:
      return assertNever(event);
  }
}
