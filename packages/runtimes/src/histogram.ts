/**
 * Weights of run times in buckets of equal ratio. An observation multiplies all earlier weights by
 * `KEPT_SHARE`, so that the weights follow a shift.
 */
export interface RunTimeHistogram {
  readonly weights: readonly number[];
  readonly total: number;
}

/** Run times up to this one share the first bucket. */
const FIRST_BUCKET_MS = 10;

/** Buckets for each doubling. A bucket is 19% wide, less than run times of one queue differ. */
const BUCKETS_PER_DOUBLING = 4;

/** Buckets from 10 ms up to 2.9 hours; the last one takes all that is longer. */
const BUCKET_COUNT = 80;

/** Share of the earlier weights that an observation leaves. The weights add up to 100 at most. */
const KEPT_SHARE = 0.99;

/** A histogram without observations. */
export const EMPTY_HISTOGRAM: RunTimeHistogram = {
  weights: Array.from({ length: BUCKET_COUNT }, () => 0),
  total: 0,
};

/** Returns the upper bound of a bucket. */
function upperMs(index: number): number {
  return FIRST_BUCKET_MS * 2 ** (index / BUCKETS_PER_DOUBLING);
}

function lowerMs(index: number): number {
  return index === 0 ? 0 : upperMs(index - 1);
}

function bucketOf(durationMs: number): number {
  const doublings = Math.log2(Math.max(FIRST_BUCKET_MS, durationMs) / FIRST_BUCKET_MS);
  return Math.min(BUCKET_COUNT - 1, Math.ceil(doublings * BUCKETS_PER_DOUBLING));
}

/** Returns a histogram with one more observation. */
export function addObservation(
  { weights, total }: RunTimeHistogram,
  durationMs: number,
): RunTimeHistogram {
  const bucket = bucketOf(durationMs);
  return {
    weights: weights.map((weight, index) => weight * KEPT_SHARE + Number(index === bucket)),
    total: total * KEPT_SHARE + 1,
  };
}

/** Adds weight to the bucket of a duration, without decay. */
export function addWeight(
  { weights, total }: RunTimeHistogram,
  durationMs: number,
  weight: number,
): RunTimeHistogram {
  const bucket = bucketOf(durationMs);
  return {
    weights: weights.map((known, index) => (index === bucket ? known + weight : known)),
    total: total + weight,
  };
}

/** Returns the histogram of run times beyond an elapsed time. Within a bucket the weight is even. */
export function beyond({ weights }: RunTimeHistogram, elapsedMs: number): RunTimeHistogram {
  const left = weights.map((weight, index) => {
    const upper = upperMs(index);
    if (upper <= elapsedMs) return 0;
    const lower = lowerMs(index);
    return elapsedMs <= lower ? weight : (weight * (upper - elapsedMs)) / (upper - lower);
  });
  return { weights: left, total: left.reduce((sum, weight) => sum + weight, 0) };
}

/** Returns the bucket of the run time that a share of the runs does not exceed; undefined without weights. */
function quantileBucket(
  { weights, total }: RunTimeHistogram,
  quantile: number,
): number | undefined {
  if (total <= 0) return undefined;
  const wanted = total * quantile;
  const found = weights.reduce<{ readonly sum: number; readonly index: number | undefined }>(
    ({ sum, index }, weight, current) => {
      const next = sum + weight;
      const isReached = index === undefined && weight > 0 && next >= wanted;
      return { sum: next, index: isReached ? current : index };
    },
    { sum: 0, index: undefined },
  );
  // Rounding may leave the sum just below the total.
  return found.index ?? weights.findLastIndex((weight) => weight > 0);
}

/**
 * Returns the run time that a share of the runs does not exceed, as the upper bound of its bucket;
 * undefined without weights.
 */
export function quantileMs(histogram: RunTimeHistogram, quantile: number): number | undefined {
  const bucket = quantileBucket(histogram, quantile);
  return bucket === undefined ? undefined : upperMs(bucket);
}

/** Returns the same run time as the lower bound of its bucket. */
export function quantileFloorMs(histogram: RunTimeHistogram, quantile: number): number | undefined {
  const bucket = quantileBucket(histogram, quantile);
  return bucket === undefined ? undefined : lowerMs(bucket);
}
