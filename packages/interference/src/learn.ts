import type { UsageSample } from '@bronzeyoke/ports';
import type { SlowDown } from '@bronzeyoke/types';
import type { InterferenceState, KindState, LatencyWindow } from './types';

/** Minimum weight of a new window in the learned slow-downs, because interference shifts with load. */
const LEARNING_RATE = 0.1;

/** Minimum gain of a kind with many usage samples. */
const MIN_GAIN = 0.02;

/** Weight in the baseline of a window without batch work. */
const BASELINE_RATE = 0.1;

/**
 * Weight in the baseline of a window with batch work that is faster than the baseline. Batch work only
 * adds latency, so the true baseline is at most that window's mean.
 */
const FASTER_RATE = 0.05;

/** Limit of the excess that is attributed to batch work: a larger one has another cause. */
const MAX_EXCESS = 10;

/** Windows kept to match usage that arrives with a lag: 10 s. */
const MAX_WINDOWS = 20;

/** Smallest change of a factor that is sent to the entries. */
const MIN_SENT_CHANGE = 0.05;

/** Maximum kinds of work in one heartbeat, for the limit of 3 KB/s on each node. */
const MAX_SENT_KINDS = 8;

/** State of a kind of work before its first run on this worker. */
export const INITIAL_KIND: KindState = {
  level: 'full',
  excess: 0,
  usageSampleCount: 0,
  peakMilli: 0,
  restoreAfterWindows: 10,
  restoredAtMs: -Infinity,
  sentFactor: 1,
};

/** Appends a window to the history and updates the baseline from it. */
export function learnWindow(
  state: InterferenceState,
  meanMs: number,
  isAlone: boolean,
  nowMs: number,
): InterferenceState {
  const previousMs = state.baselineMs ?? meanMs;
  const rate = isAlone ? BASELINE_RATE : Number(meanMs < previousMs) * FASTER_RATE;
  const baselineMs = previousMs + rate * (meanMs - previousMs);
  const ratio = baselineMs > 0 ? Math.min(meanMs / baselineMs, 1 + MAX_EXCESS) : 1;
  const windows = [...state.windows, { endAtMs: nowMs, ratio }].slice(-MAX_WINDOWS);
  return { ...state, baselineMs, windows };
}

function windowAt(windows: readonly LatencyWindow[], atMs: number): LatencyWindow | undefined {
  return windows.find(({ endAtMs }) => endAtMs >= atMs);
}

/**
 * Updates the slow-downs from usage samples and the latency window of the same time. The excess over
 * the baseline is modelled as a sum over the kinds of work that ran. The prediction error is split
 * among them by presence, with a larger gain for kinds with few usage samples.
 */
export function learnUsage(
  state: InterferenceState,
  samples: readonly UsageSample[],
  nowMs: number,
): InterferenceState {
  const [first] = samples;
  if (first === undefined) return state;
  const used = samples.reduce(
    (sums, { workKind, used: { processorsMilli } }) =>
      sums.set(workKind, (sums.get(workKind) ?? 0) + processorsMilli),
    new Map<string, number>(),
  );
  const kindsWithPeaks = [...used].reduce((kinds, [workKind, milli]) => {
    const kind = kinds.get(workKind) ?? INITIAL_KIND;
    return kinds.set(workKind, { ...kind, peakMilli: Math.max(kind.peakMilli, milli) });
  }, state.kinds);
  const window = windowAt(state.windows, nowMs - first.lagMs);
  if (window === undefined) return { ...state, kinds: kindsWithPeaks };
  const present = [...used].map(([workKind, milli]) => {
    const kind = kindsWithPeaks.get(workKind) ?? INITIAL_KIND;
    const gain = Math.max(MIN_GAIN, 1 / (1 + kind.usageSampleCount));
    return { workKind, kind, gain, presence: kind.peakMilli > 0 ? milli / kind.peakMilli : 0 };
  });
  const power = present.reduce((sum, { gain, presence }) => sum + gain * presence ** 2, 0);
  if (power === 0) return { ...state, kinds: kindsWithPeaks };
  const rate = present.reduce((most, { gain }) => Math.max(most, gain), LEARNING_RATE);
  const explained = present.reduce((sum, { kind, presence }) => sum + kind.excess * presence, 0);
  const error = window.ratio - 1 - explained;
  const kinds = present.reduce((current, { workKind, kind, gain, presence }) => {
    const excess = kind.excess + (rate * error * gain * presence) / power;
    return current.set(workKind, {
      ...kind,
      excess: Math.min(Math.max(excess, 0), MAX_EXCESS),
      usageSampleCount: kind.usageSampleCount + 1,
    });
  }, kindsWithPeaks);
  return { ...state, kinds };
}

/** Returns the slow-downs that changed since they were last sent, and marks them as sent. */
export function takeChangedSlowDowns(state: InterferenceState): {
  readonly state: InterferenceState;
  readonly slowDowns: readonly SlowDown[];
} {
  const changed = state.kinds
    .filter(({ excess, sentFactor }) => Math.abs(1 + excess - sentFactor) >= MIN_SENT_CHANGE)
    .take(MAX_SENT_KINDS);
  const sent = changed.map((kind) => ({ ...kind, sentFactor: 1 + kind.excess }));
  return {
    state: { ...state, kinds: state.kinds.merge(sent) },
    slowDowns: changed
      .map(({ excess }, workKind) => ({ service: state.service, workKind, factor: 1 + excess }))
      .valueSeq()
      .toArray(),
  };
}

/** Resets the sent factors, so that the next heartbeats repeat every slow-down for a new entry. */
export function resetSentFactors(state: InterferenceState): InterferenceState {
  return { ...state, kinds: state.kinds.map((kind) => ({ ...kind, sentFactor: 1 })) };
}

/** Returns the slow-down of a service beyond 1 by a kind of work; 0 without an estimate. */
export function penalty(slowDowns: readonly SlowDown[], service: string, workKind: string): number {
  const slowDown = slowDowns.find(
    (candidate) => candidate.service === service && candidate.workKind === workKind,
  );
  return slowDown === undefined ? 0 : Math.max(0, slowDown.factor - 1);
}
