import type { UsageSample } from '@bronzeyoke/ports';
import type { SlowDown } from '@bronzeyoke/types';
import type { InterferenceState, KindState, LatencyWindow } from './types';

/** Least weight of a new window in the slow-downs: interference shifts with load. */
const LEARNING_RATE = 0.1;

/** Least part in the error of a kind that is well known. */
const MIN_GAIN = 0.02;

/** Weight of a window without batch work in the baseline. */
const BASELINE_RATE = 0.1;

/** The baseline follows faster windows beside batch work, because batch only ever adds latency. */
const FASTER_RATE = 0.05;

/** Beyond this a single window says that something else is wrong. */
const MAX_EXCESS = 10;

/** Windows kept for usage that arrives with a lag: 10 s of them. */
const MAX_WINDOWS = 20;

/** Smallest change of a factor that is worth telling the entries. */
const TELL_CHANGE = 0.05;

/** Most kinds that one beat names, for the limit of 3 KB/s on each node. */
const MAX_TOLD = 8;

/** What is known of a kind before it ran here. */
export const INITIAL_KIND: KindState = {
  step: 'full',
  excess: 0,
  usageSampleCount: 0,
  peakMilli: 0,
  restoreAfterWindows: 10,
  restoredAtMs: -Infinity,
  sentFactor: 1,
};

/** Adds a window to the history, and learns the baseline from it. */
export function learnWindow(
  state: InterferenceState,
  meanMs: number,
  isAlone: boolean,
  nowMs: number,
): InterferenceState {
  const known = state.baselineMs ?? meanMs;
  const rate = isAlone ? BASELINE_RATE : Number(meanMs < known) * FASTER_RATE;
  const baselineMs = known + rate * (meanMs - known);
  const ratio = baselineMs > 0 ? Math.min(meanMs / baselineMs, 1 + MAX_EXCESS) : 1;
  const windows = [...state.windows, { endAtMs: nowMs, ratio }].slice(-MAX_WINDOWS);
  return { ...state, baselineMs, windows };
}

function windowAt(windows: readonly LatencyWindow[], atMs: number): LatencyWindow | undefined {
  return windows.find(({ endAtMs }) => endAtMs >= atMs);
}

/**
 * Learns from usage, matched with the window of its own time. The excess over the baseline is
 * explained as a sum over the kinds that ran. The error is shared among them by their presence, and a
 * kind that was seen rarely takes more of it than one that is well known.
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
  const withPeaks = [...used].reduce((kinds, [workKind, milli]) => {
    const kind = kinds.get(workKind) ?? INITIAL_KIND;
    return kinds.set(workKind, { ...kind, peakMilli: Math.max(kind.peakMilli, milli) });
  }, state.kinds);
  const window = windowAt(state.windows, nowMs - first.lagMs);
  if (window === undefined) return { ...state, kinds: withPeaks };
  const present = [...used].map(([workKind, milli]) => {
    const kind = withPeaks.get(workKind) ?? INITIAL_KIND;
    const gain = Math.max(MIN_GAIN, 1 / (1 + kind.usageSampleCount));
    return { workKind, kind, gain, presence: kind.peakMilli > 0 ? milli / kind.peakMilli : 0 };
  });
  const power = present.reduce((sum, { gain, presence }) => sum + gain * presence ** 2, 0);
  if (power === 0) return { ...state, kinds: withPeaks };
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
  }, withPeaks);
  return { ...state, kinds };
}

/** The slow-downs that changed since the entries were last told. */
export function takeChangedSlowDowns(state: InterferenceState): {
  readonly state: InterferenceState;
  readonly slowDowns: readonly SlowDown[];
} {
  const changed = state.kinds
    .filter(({ excess, sentFactor }) => Math.abs(1 + excess - sentFactor) >= TELL_CHANGE)
    .take(MAX_TOLD);
  const told = changed.map((kind) => ({ ...kind, sentFactor: 1 + kind.excess }));
  return {
    state: { ...state, kinds: state.kinds.merge(told) },
    slowDowns: changed
      .map(({ excess }, workKind) => ({ service: state.service, workKind, factor: 1 + excess }))
      .valueSeq()
      .toArray(),
  };
}

/** Makes the next beats name every slow-down again, for an entry that knows none. */
export function resetSentFactors(state: InterferenceState): InterferenceState {
  return { ...state, kinds: state.kinds.map((kind) => ({ ...kind, sentFactor: 1 })) };
}

/** How much a kind of work slows a service down beyond its normal time; 0 when nothing is known. */
export function penalty(slowDowns: readonly SlowDown[], service: string, workKind: string): number {
  const known = slowDowns.find(
    (slowDown) => slowDown.service === service && slowDown.workKind === workKind,
  );
  return known === undefined ? 0 : Math.max(0, known.factor - 1);
}
