import { Map, OrderedMap } from 'immutable';

/** Estimate of the load that an image puts on a serving task, per share of the worker. */
export interface InfluenceEstimate {
  readonly mean: number;
  readonly variance: number;
}

/** Estimates by pair of a serving and a filling image, see `pairKey`, the latest observed ones last. */
export type PairEstimates = Map<string, InfluenceEstimate>;

/** Estimates before the first observation. */
export const EMPTY_PAIRS: PairEstimates = Map();

/** Expected effect of fills on a serving image. */
export type Verdict = 'harmless' | 'harmful' | 'unknown';

/** A filling image with the share of the worker's processors that it uses. */
export interface FillShare {
  readonly image: string;
  readonly share: number;
}

/** Ratio of tail latency to target from which a serving task counts as harmed. */
export const HARMED_RATIO = 0.9;

/** Tail latency of an idle serving task, as a share of its target. */
const IDLE_RATIO = 0.28;

/** Maximum load of a serving task with fills, from 0 to 1. Peaks of its own load come on top. */
const MAX_LOAD = 0.5;

/** Minimum load by fills that is attributed to images when a serving task is harmed. */
const MIN_SUSPECT_LOAD = 0.08;

/** Standard deviation of the predicted load above which the effect of fills is unknown. */
const UNKNOWN_DEVIATION = 0.15;

/** Prior estimates of a pair and of a serving image alone. */
const PRIOR_PAIR: InfluenceEstimate = { mean: 0, variance: 9 };
const PRIOR_BASE: InfluenceEstimate = { mean: 0.3, variance: 0.02 };

/** Variance of an observed load, mostly from fluctuations of the serving task's own load. */
const NOISE_VARIANCE = 0.06;

/** Lower limits of variances: behaviour drifts, so no estimate becomes certain. */
const MIN_VARIANCE = 0.01;
const MIN_BASE_VARIANCE = 0.0001;

/** Bytes of the stored estimates. They share a row of the store, which takes 48 KB before Base64. */
const MAX_STORED_BYTES = 32 * 1_024;

/** Bytes of a stored estimate beside its key: two numbers of 20 digits and the names of the fields. */
const ESTIMATE_BYTES = 70;

/** Tail latency of a serving task and the fills that ran beside it at the time. */
export interface PairObservation {
  readonly servingImage: string;
  /** Tail latency over target. */
  readonly ratio: number;
  /** One entry for each image. */
  readonly fills: readonly FillShare[];
}

/** Returns the key of a pair of images, or of the serving image alone without a filling image. */
function pairKey(servingImage: string, fillImage = ''): string {
  return `${servingImage}|${fillImage}`;
}

/** Returns the most bytes that an estimate takes in a row. */
function storedBytes(key: string): number {
  return Buffer.byteLength(JSON.stringify(key)) + ESTIMATE_BYTES;
}

function baseOf(estimates: PairEstimates, servingImage: string): InfluenceEstimate {
  return estimates.get(pairKey(servingImage), PRIOR_BASE);
}

function influenceOf(
  estimates: PairEstimates,
  servingImage: string,
  fillImage: string,
): InfluenceEstimate {
  return estimates.get(pairKey(servingImage, fillImage), PRIOR_PAIR);
}

/** Merges fills of the same image by adding up their shares. */
export function mergeFills(fills: readonly FillShare[]): readonly FillShare[] {
  const shares = fills.reduce(
    (sums, { image, share }) => sums.update(image, 0, (sum) => sum + share),
    Map<string, number>(),
  );
  return [...shares].map(([image, share]) => ({ image, share }));
}

/** Predicts the load that fills put on a serving image. */
function fillLoad(
  estimates: PairEstimates,
  servingImage: string,
  fills: readonly FillShare[],
): number {
  return fills.reduce(
    (sum, { image, share }) => sum + influenceOf(estimates, servingImage, image).mean * share,
    0,
  );
}

/** Classifies the effect of fills, one entry for each image, on a serving image. */
export function classifyFills(
  estimates: PairEstimates,
  servingImage: string,
  fills: readonly FillShare[],
): Verdict {
  const load = baseOf(estimates, servingImage).mean + fillLoad(estimates, servingImage, fills);
  if (load > MAX_LOAD) return 'harmful';
  const variance = fills.reduce(
    (sum, { image, share }) =>
      sum + influenceOf(estimates, servingImage, image).variance * share ** 2,
    0,
  );
  return variance > UNKNOWN_DEVIATION ** 2 ? 'unknown' : 'harmless';
}

/**
 * Returns the images to hold back so that a harmed serving task recovers: those with the highest
 * predicted load first, or the images of unknown effect if these do not suffice. Returns none when
 * fills are not the likely cause.
 */
export function findSuspects(
  estimates: PairEstimates,
  { servingImage, fills }: Pick<PairObservation, 'servingImage' | 'fills'>,
): readonly string[] {
  const loads = fills
    .map(({ image, share }) => ({
      image,
      load: influenceOf(estimates, servingImage, image).mean * share,
    }))
    .sort((left, right) => right.load - left.load);
  const excess = Math.max(
    MIN_SUSPECT_LOAD,
    baseOf(estimates, servingImage).mean + fillLoad(estimates, servingImage, fills) - MAX_LOAD,
  );
  const chosen = loads.reduce<{ readonly images: readonly string[]; readonly left: number }>(
    (picked, { image, load }) =>
      picked.left <= 0 || load <= 0
        ? picked
        : { images: [...picked.images, image], left: picked.left - load },
    { images: [], left: excess },
  );
  if (chosen.left <= 0) return chosen.images;
  return fills
    .filter((fill) => classifyFills(estimates, servingImage, [fill]) === 'unknown')
    .map(({ image }) => image);
}

/** Estimates that were just observed come last. */
function putLatest(
  estimates: OrderedMap<string, InfluenceEstimate>,
  key: string,
  estimate: InfluenceEstimate,
): OrderedMap<string, InfluenceEstimate> {
  return estimates.delete(key).set(key, estimate);
}

/** Drops the estimates whose last observation is the oldest, so that the others fit a row. */
function dropOldest(
  estimates: OrderedMap<string, InfluenceEstimate>,
): OrderedMap<string, InfluenceEstimate> {
  const sizes = estimates.keySeq().map((key) => [key, storedBytes(key)] as const);
  const excessBytes = sizes.reduce((sum, [, bytes]) => sum + bytes, -MAX_STORED_BYTES);
  const dropped = sizes.reduce<{ readonly keys: readonly string[]; readonly leftBytes: number }>(
    (oldest, [key, bytes]) =>
      oldest.leftBytes <= 0
        ? oldest
        : { keys: [...oldest.keys, key], leftBytes: oldest.leftBytes - bytes },
    { keys: [], leftBytes: excessBytes },
  );
  return estimates.deleteAll(dropped.keys);
}

/** Updates the estimates from one observation, by a Kalman filter with variances but no covariances. */
export function updatePairs(estimates: PairEstimates, observation: PairObservation): PairEstimates {
  const { servingImage, ratio } = observation;
  if (ratio <= 0) return estimates;
  const fills = observation.fills.filter(({ share }) => share > 0);
  const base = baseOf(estimates, servingImage);
  const observed = Math.max(0, 1 - IDLE_RATIO / ratio);
  const error = observed - base.mean - fillLoad(estimates, servingImage, fills);
  // A tail far above the target shows that the load is high, but not how high.
  const isSaturated = observed > 1 - IDLE_RATIO / 3;
  if (isSaturated && error < 0) return estimates;
  const variance = fills.reduce(
    (sum, { image, share }) =>
      sum + influenceOf(estimates, servingImage, image).variance * share ** 2,
    base.variance + NOISE_VARIANCE,
  );
  const update = (
    { mean, variance: before }: InfluenceEstimate,
    weight: number,
    minVariance: number,
  ) => {
    const gain = (before * weight) / variance;
    return {
      mean: Math.max(0, mean + gain * error),
      variance: Math.max(minVariance, before * (1 - gain * weight)),
    };
  };
  const first = putLatest(
    OrderedMap(estimates),
    pairKey(servingImage),
    update(base, 1, MIN_BASE_VARIANCE),
  );
  const updated = fills.reduce((current, { image, share }) => {
    const influence = influenceOf(estimates, servingImage, image);
    return putLatest(current, pairKey(servingImage, image), update(influence, share, MIN_VARIANCE));
  }, first);
  return updated.size === estimates.size ? updated : dropOldest(updated);
}
