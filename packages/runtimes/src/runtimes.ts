import { Map } from 'immutable';
import type { RunTimeHistogram } from './histogram';
import { addObservation, addWeight, beyond, EMPTY_HISTOGRAM, quantileMs } from './histogram';

/** Tasks whose run times are learned together. */
export interface RunTimeKey {
  readonly queue: string;
  readonly sizeClass: number;
}

/** What is known of the run times of one key. */
interface KnownRunTimes {
  readonly histogram: RunTimeHistogram;
  /** Value of `recordCount` at the last observation. */
  readonly recordedAt: number;
}

/** Run times learned for each key. */
export interface RunTimes {
  readonly byKey: Map<string, KnownRunTimes>;
  readonly recordCount: number;
}

/** Run times before the first observation. */
export const NO_RUN_TIMES: RunTimes = { byKey: Map<string, never>(), recordCount: 0 };

/** Keys that are kept; the one that has not been observed for longest makes way for a new one. */
const MAX_KEYS = 256;

/** Observations that replace the estimate. With fewer, the estimate counts for the missing ones. */
const PRIOR_WEIGHT = 8;

/** Share of its age that a run is expected to go on for when it has outlived all known ones. */
const OUTLIVED_SHARE = 0.5;

/** Processors of the tasks in the first size class, in thousandths. Each further class doubles them. */
const FIRST_CLASS_MILLI = 125;
const MAX_SIZE_CLASS = 12;

/** Returns the size class of tasks that need some processors, in thousandths. */
export function sizeClassOf(processorsMilli: number): number {
  const doublings = Math.log2(Math.max(1, processorsMilli) / FIRST_CLASS_MILLI);
  return Math.min(MAX_SIZE_CLASS, Math.max(0, Math.ceil(doublings)));
}

function nameOf({ queue, sizeClass }: RunTimeKey): string {
  return `${sizeClass} ${queue}`;
}

function withoutOldest(byKey: RunTimes['byKey']): RunTimes['byKey'] {
  const oldest = byKey.entrySeq().minBy(([, { recordedAt }]) => recordedAt);
  return oldest === undefined ? byKey : byKey.delete(oldest[0]);
}

/** Returns the run times after a run of a task that was neither slowed down nor resumed. */
export function recordRunTime(state: RunTimes, key: RunTimeKey, durationMs: number): RunTimes {
  const name = nameOf(key);
  const known = state.byKey.get(name);
  const isFull = known === undefined && state.byKey.size >= MAX_KEYS;
  const byKey = isFull ? withoutOldest(state.byKey) : state.byKey;
  const recordCount = state.recordCount + 1;
  const histogram = addObservation(known?.histogram ?? EMPTY_HISTOGRAM, durationMs);
  return { byKey: byKey.set(name, { histogram, recordedAt: recordCount }), recordCount };
}

function histogramOf({ byKey }: RunTimes, key: RunTimeKey): RunTimeHistogram {
  return byKey.get(nameOf(key))?.histogram ?? EMPTY_HISTOGRAM;
}

/** Returns the learned run times, with the estimate for the observations that are missing. */
function withPrior(histogram: RunTimeHistogram, estimateMs: number): RunTimeHistogram {
  const missing = PRIOR_WEIGHT - histogram.total;
  return missing <= 0 ? histogram : addWeight(histogram, estimateMs, missing);
}

/** Returns how many recent observations there are of a key, at most 100. */
export function observationCount(state: RunTimes, key: RunTimeKey): number {
  return histogramOf(state, key).total;
}

/** Returns the run time that a share of the runs does not exceed; the estimate without observations. */
export function runTimeMs(
  state: RunTimes,
  key: RunTimeKey,
  quantile: number,
  estimateMs: number,
): number {
  const histogram = histogramOf(state, key);
  if (histogram.total === 0) return estimateMs;
  return quantileMs(withPrior(histogram, estimateMs), quantile) ?? estimateMs;
}

/**
 * Returns the time that a share of the runs does not exceed after they have run for some time; the rest
 * of the estimate without observations.
 */
export function remainingMs(
  state: RunTimes,
  key: RunTimeKey,
  elapsedMs: number,
  quantile: number,
  estimateMs: number,
): number {
  const histogram = histogramOf(state, key);
  if (histogram.total === 0) return Math.max(0, estimateMs - elapsedMs);
  const left = quantileMs(beyond(withPrior(histogram, estimateMs), elapsedMs), quantile);
  return left === undefined ? elapsedMs * OUTLIVED_SHARE : Math.max(0, left - elapsedMs);
}
