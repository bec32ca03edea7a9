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
const MAX_LOAD = 0.48;

/** Minimum load by fills that is attributed to images when a serving task is harmed. */
const MIN_SUSPECT_LOAD = 0.08;

/** Standard deviation of the predicted load above which the effect of fills is unknown. */
const UNKNOWN_DEVIATION = 0.15;

/** Estimates of a pair before any is known, and the number of pairs that they count for beside others. */
const FIRST_PRIOR: InfluenceEstimate = { mean: 1, variance: 4 };
const FIRST_PRIOR_PAIRS = 5;

/** Largest variance of an estimate that counts as known when others are judged by it. */
const MAX_KNOWN_VARIANCE = 0.5;

/** Estimate of a serving image alone before its first observation. */
const PRIOR_BASE: InfluenceEstimate = { mean: 0.3, variance: 0.02 };

/** Variance of an observed load around the true one. */
const NOISE_VARIANCE = 0.01;

/** Variance of a serving task's own load around the mean of its image. */
const SWING_VARIANCE = 0.05;

/** Growth of the variance of a serving task's own load from one observation to the next. */
const DRIFT_VARIANCE = 0.005;

/** Share of its distance from the mean of its image that a serving task's own load loses meanwhile. */
const RETURN_SHARE = 0.1;

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
  /** Estimate of the serving task's own load after its last observation. */
  readonly own?: InfluenceEstimate;
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

/** Priors of pairs by the estimates that they follow from; each report changes the estimates once. */
const priors = new WeakMap<PairEstimates, InfluenceEstimate>();

/** Returns the estimate of a pair that was never observed: pairs are much like the others that are known. */
function computePrior(estimates: PairEstimates): InfluenceEstimate {
  const known = estimates.filter(
    ({ variance }, key) => !key.endsWith('|') && variance <= MAX_KNOWN_VARIANCE,
  );
  const count = known.size + FIRST_PRIOR_PAIRS;
  const first = FIRST_PRIOR;
  const sum = known.reduce((total, { mean }) => total + mean, 0);
  const mean = (sum + first.mean * FIRST_PRIOR_PAIRS) / count;
  const squares = known.reduce((total, estimate) => total + (estimate.mean - mean) ** 2, 0);
  return { mean, variance: (squares + first.variance * FIRST_PRIOR_PAIRS) / count };
}

function priorOf(estimates: PairEstimates): InfluenceEstimate {
  const known = priors.get(estimates);
  if (known !== undefined) return known;
  const prior = computePrior(estimates);
  priors.set(estimates, prior);
  return prior;
}

function influenceOf(
  estimates: PairEstimates,
  servingImage: string,
  fillImage: string,
): InfluenceEstimate {
  return estimates.get(pairKey(servingImage, fillImage)) ?? priorOf(estimates);
}

/** Merges fills of the same image by adding up their shares. */
export function mergeFills(fills: readonly FillShare[]): readonly FillShare[] {
  if (fills.length < 2) return fills;
  const shares = new globalThis.Map<string, number>();
  fills.forEach(({ image, share }) => shares.set(image, (shares.get(image) ?? 0) + share));
  return [...shares].map(([image, share]) => ({ image, share }));
}

/** Returns the predicted load of each fill on a serving image. */
export function fillLoads(
  estimates: PairEstimates,
  servingImage: string,
  fills: readonly FillShare[],
): readonly (readonly [image: string, load: number])[] {
  return fills.map(
    ({ image, share }) =>
      [image, influenceOf(estimates, servingImage, image).mean * share] as const,
  );
}

/** Predicts the load that fills put on a serving image. */
export function fillLoad(
  estimates: PairEstimates,
  servingImage: string,
  fills: readonly FillShare[],
): number {
  return fillLoads(estimates, servingImage, fills).reduce((sum, [, load]) => sum + load, 0);
}

/** Returns the load that fills may put on a serving image beside its own mean load. */
export function fillRoom(estimates: PairEstimates, servingImage: string): number {
  return Math.max(0, MAX_LOAD - baseOf(estimates, servingImage).mean);
}

/** Returns the load of a serving task by its tail latency over target. */
export function observedLoad(ratio: number): number {
  return ratio <= 0 ? 0 : Math.max(0, 1 - IDLE_RATIO / ratio);
}

/** Adds the variance of the load that fills put on a serving image to that of other loads. */
function fillVariance(
  estimates: PairEstimates,
  servingImage: string,
  fills: readonly FillShare[],
  otherVariance = 0,
): number {
  return fills.reduce(
    (sum, { image, share }) =>
      sum + influenceOf(estimates, servingImage, image).variance * share ** 2,
    otherVariance,
  );
}

/** Predicts the mean load of a serving image beside fills. */
export function predictLoad(
  estimates: PairEstimates,
  servingImage: string,
  fills: readonly FillShare[],
): number {
  return baseOf(estimates, servingImage).mean + fillLoad(estimates, servingImage, fills);
}

/**
 * Classifies the effect of fills, one entry for each image, on a serving image. A pair that was never
 * observed is not known to be harmful, whatever others are like.
 */
export function classifyFills(
  estimates: PairEstimates,
  servingImage: string,
  fills: readonly FillShare[],
): Verdict {
  const observed = fills.filter(({ image }) => estimates.has(pairKey(servingImage, image)));
  if (predictLoad(estimates, servingImage, observed) > MAX_LOAD) return 'harmful';
  if (predictLoad(estimates, servingImage, fills) > MAX_LOAD) return 'unknown';
  const variance = fillVariance(estimates, servingImage, fills);
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
  const excess = Math.max(MIN_SUSPECT_LOAD, predictLoad(estimates, servingImage, fills) - MAX_LOAD);
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

/** Adds estimates that were just observed. They come last. */
function putLatest(
  estimates: OrderedMap<string, InfluenceEstimate>,
  observed: readonly (readonly [key: string, estimate: InfluenceEstimate])[],
): OrderedMap<string, InfluenceEstimate> {
  return estimates.withMutations((open) =>
    observed.forEach(([key, estimate]) => open.delete(key).set(key, estimate)),
  );
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

/** Estimates after an observation: of pairs and serving images, and of the serving task itself. */
export interface LearnedEstimates {
  readonly estimates: PairEstimates;
  /** Load of the serving task of its own. */
  readonly own: InfluenceEstimate;
}

/** Returns what is expected of a serving task's own load, by its last estimate or by its image. */
function expectOwn(
  estimates: PairEstimates,
  { servingImage, own }: PairObservation,
): InfluenceEstimate {
  const base = baseOf(estimates, servingImage);
  if (own === undefined) return { mean: base.mean, variance: base.variance + SWING_VARIANCE };
  return {
    mean: own.mean + (base.mean - own.mean) * RETURN_SHARE,
    variance: Math.min(SWING_VARIANCE, own.variance + DRIFT_VARIANCE),
  };
}

/**
 * Learns from one observation, by a Kalman filter with variances but no covariances. A serving task's own
 * load changes slowly, so a sudden change of its latency is mostly due to the fills beside it.
 */
export function learnFrom(
  estimates: PairEstimates,
  observation: PairObservation,
): LearnedEstimates {
  const { servingImage, ratio } = observation;
  const own = expectOwn(estimates, observation);
  if (ratio <= 0) return { estimates, own };
  const fills = observation.fills.filter(({ share }) => share > 0);
  const observed = observedLoad(ratio);
  const error = observed - own.mean - fillLoad(estimates, servingImage, fills);
  // A tail far above the target shows that the load is high, but not how high.
  const isSaturated = observed > 1 - IDLE_RATIO / 3;
  if (isSaturated && error < 0) return { estimates, own };
  const variance = fillVariance(estimates, servingImage, fills, own.variance + NOISE_VARIANCE);
  const update = (
    { mean, variance: before }: InfluenceEstimate,
    weight: number,
    minVariance: number,
  ): InfluenceEstimate => {
    const gain = (before * weight) / variance;
    return {
      mean: Math.max(0, mean + gain * error),
      variance: Math.max(minVariance, before * (1 - gain * weight)),
    };
  };
  const learned = update(own, 1, 0);
  const base = baseOf(estimates, servingImage);
  const baseGain = base.variance / (base.variance + SWING_VARIANCE);
  const learnedBase = {
    mean: base.mean + baseGain * (learned.mean - base.mean),
    variance: Math.max(MIN_BASE_VARIANCE, base.variance * (1 - baseGain)),
  };
  const learnedFills = fills.map(({ image, share }) => {
    const influence = influenceOf(estimates, servingImage, image);
    return [pairKey(servingImage, image), update(influence, share, MIN_VARIANCE)] as const;
  });
  const updated = putLatest(OrderedMap(estimates), [
    [pairKey(servingImage), learnedBase],
    ...learnedFills,
  ]);
  return {
    estimates: updated.size === estimates.size ? updated : dropOldest(updated),
    own: learned,
  };
}

/** Updates the estimates from one observation. */
export function updatePairs(estimates: PairEstimates, observation: PairObservation): PairEstimates {
  return learnFrom(estimates, observation).estimates;
}
