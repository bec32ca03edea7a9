import { Map } from 'immutable';
import type { RunTimeHistogram } from './histogram';
import {
  addObservation,
  addWeight,
  beyond,
  EMPTY_HISTOGRAM,
  quantileFloorMs,
  quantileMs,
} from './histogram';

/** Tasks whose run times are learned together. */
export interface RunTimeKey {
  readonly queue: string;
  readonly sizeClass: number;
}

/** What is known of the run times of one key. */
interface KnownRunTimes {
  readonly absolute: RunTimeHistogram;
  /** Run times in parts of the estimates, for an estimate of `RELATIVE_BASE_MS`. */
  readonly relative: RunTimeHistogram;
  /** The run times differ less from the estimates than from one another. */
  readonly followsEstimate: boolean;
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

/** Estimate to which the relative run times are scaled. */
const RELATIVE_BASE_MS = 1_000;

/** Quantiles whose ratio tells how much run times differ. */
const LOW_QUANTILE = 0.1;
const HIGH_QUANTILE = 0.9;

/** Observations that replace the estimate. With fewer, the estimate counts for the missing ones. */
const PRIOR_WEIGHT = 8;

/** Share of its age that half of the runs go on for when they have outlived all known ones. */
const OUTLIVED_SHARE = 0.5;

/** Processors of the tasks in the first size class, in thousandths. Each further class doubles them. */
const FIRST_CLASS_MILLI = 125;
const MAX_SIZE_CLASS = 12;

/** Returns the size class of tasks that need some processors, in thousandths. */
export function sizeClassOf(processorsMilli: number): number {
  const doublings = Math.log2(Math.max(1, processorsMilli) / FIRST_CLASS_MILLI);
  return Math.min(MAX_SIZE_CLASS, Math.max(0, Math.ceil(doublings)));
}

/** Returns the processors of the largest tasks of a size class, in thousandths. */
export function largestMilli(sizeClass: number): number {
  return FIRST_CLASS_MILLI * 2 ** sizeClass;
}

function nameOf({ queue, sizeClass }: RunTimeKey): string {
  return `${sizeClass} ${queue}`;
}

function withoutOldest(byKey: RunTimes['byKey']): RunTimes['byKey'] {
  const oldest = byKey.entrySeq().minBy(([, { recordedAt }]) => recordedAt);
  return oldest === undefined ? byKey : byKey.delete(oldest[0]);
}

/** Returns by which factor most run times differ. */
function spreadOf(histogram: RunTimeHistogram): number {
  const low = quantileMs(histogram, LOW_QUANTILE);
  const high = quantileMs(histogram, HIGH_QUANTILE);
  return low === undefined || high === undefined ? Infinity : high / low;
}

const UNKNOWN: KnownRunTimes = {
  absolute: EMPTY_HISTOGRAM,
  relative: EMPTY_HISTOGRAM,
  followsEstimate: false,
  recordedAt: 0,
};

/**
 * Returns the run times after a run of a task that was neither slowed down nor resumed. With the estimate
 * of the task it is also learned whether estimates tell more than the other run times of the key.
 */
export function recordRunTime(
  state: RunTimes,
  key: RunTimeKey,
  durationMs: number,
  estimateMs = 0,
): RunTimes {
  const name = nameOf(key);
  const isNew = !state.byKey.has(name);
  const { absolute, relative } = state.byKey.get(name, UNKNOWN);
  const byKey = isNew && state.byKey.size >= MAX_KEYS ? withoutOldest(state.byKey) : state.byKey;
  const recordCount = state.recordCount + 1;
  const nextAbsolute = addObservation(absolute, durationMs);
  const nextRelative =
    estimateMs > 0
      ? addObservation(relative, (durationMs / estimateMs) * RELATIVE_BASE_MS)
      : relative;
  const known = {
    absolute: nextAbsolute,
    relative: nextRelative,
    followsEstimate:
      nextRelative.total >= PRIOR_WEIGHT / 2 && spreadOf(nextRelative) < spreadOf(nextAbsolute),
    recordedAt: recordCount,
  };
  return { byKey: byKey.set(name, known), recordCount };
}

/** What is known of the run times of tasks with one estimate: those of the histogram, times a factor. */
interface Distribution {
  readonly histogram: RunTimeHistogram;
  readonly scale: number;
}

/** Returns the learned run times, with the estimate for the observations that are missing. */
function withPrior(histogram: RunTimeHistogram, estimateMs: number): RunTimeHistogram {
  const missing = PRIOR_WEIGHT - histogram.total;
  return missing <= 0 ? histogram : addWeight(histogram, estimateMs, missing);
}

/** Returns what is known of the run times of a key; undefined without observations. */
function distributionOf(
  { byKey }: RunTimes,
  key: RunTimeKey,
  estimateMs: number,
): Distribution | undefined {
  const known = byKey.get(nameOf(key));
  if (known === undefined) return undefined;
  return known.followsEstimate && estimateMs > 0
    ? {
        histogram: withPrior(known.relative, RELATIVE_BASE_MS),
        scale: estimateMs / RELATIVE_BASE_MS,
      }
    : { histogram: withPrior(known.absolute, estimateMs), scale: 1 };
}

/** Returns how many recent observations there are of a key, at most 100. */
export function observationCount({ byKey }: RunTimes, key: RunTimeKey): number {
  return byKey.get(nameOf(key))?.absolute.total ?? 0;
}

/** Returns the run time that a share of the runs does not exceed; the estimate without observations. */
export function runTimeMs(
  state: RunTimes,
  key: RunTimeKey,
  quantile: number,
  estimateMs: number,
): number {
  const known = distributionOf(state, key, estimateMs);
  const foundMs = known === undefined ? undefined : quantileMs(known.histogram, quantile);
  return known === undefined || foundMs === undefined ? estimateMs : foundMs * known.scale;
}

/** Returns what is left of runs beyond all known ones, which are taken to end at rates that fall with age. */
function outlivedMs(elapsedMs: number, quantile: number): number {
  const halvings = -Math.log2(1 - quantile);
  return elapsedMs * ((1 + OUTLIVED_SHARE) ** halvings - 1);
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
  const known = distributionOf(state, key, estimateMs);
  if (known === undefined) return Math.max(0, estimateMs - elapsedMs);
  const { histogram, scale } = known;
  const foundMs = quantileMs(beyond(histogram, elapsedMs / scale), quantile);
  return foundMs === undefined
    ? outlivedMs(elapsedMs, quantile)
    : Math.max(0, foundMs * scale - elapsedMs);
}

/**
 * Returns the time before which only a share of the runs end after they have run for some time; 0 without
 * observations, because estimates are off by too much to count on them.
 */
export function earliestRemainingMs(
  state: RunTimes,
  key: RunTimeKey,
  elapsedMs: number,
  quantile: number,
  estimateMs: number,
): number {
  const known = distributionOf(state, key, estimateMs);
  if (known === undefined) return 0;
  const { histogram, scale } = known;
  const foundMs = quantileFloorMs(beyond(histogram, elapsedMs / scale), quantile);
  return foundMs === undefined
    ? outlivedMs(elapsedMs, quantile)
    : Math.max(0, foundMs * scale - elapsedMs);
}
