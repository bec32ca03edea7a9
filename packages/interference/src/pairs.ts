import { Map } from 'immutable';

/** Estimate of how much of a serving task's headroom one image takes, per share of the worker. */
export interface InfluenceEstimate {
  readonly mean: number;
  readonly variance: number;
}

/** What is known of pairs of a serving and a filling image. */
export type PairEstimates = Map<string, InfluenceEstimate>;

/** Nothing is known yet. */
export const EMPTY_PAIRS: PairEstimates = Map();

/** How a serving image gets on with what fills beside it. */
export type Verdict = 'harmless' | 'harmful' | 'unknown';

/** An image that fills, with the share of the worker's processors that it uses. */
export interface FillShare {
  readonly image: string;
  readonly share: number;
}

/** Share of its latency target from which a serving task counts as harmed. */
export const HARMED_RATIO = 0.9;

/** Tail latency of an idle serving task, as a share of its target. */
const IDLE_RATIO = 0.28;

/** Load of a serving task, between 0 and 1, that fills may bring it to. Its own load comes on top in peaks. */
const MAX_LOAD = 0.5;

/** Load by fills of which the cause is looked for among them. */
const MIN_HARM_LOAD = 0.08;

/** Standard deviation of a predicted load from which fills count as unproven. */
const UNPROVEN_DEVIATION = 0.15;

/** Before the first observation. */
const UNKNOWN_PAIR: InfluenceEstimate = { mean: 0, variance: 9 };
const UNKNOWN_BASE: InfluenceEstimate = { mean: 0.3, variance: 0.02 };

/** Variance of a load observed, mostly by the serving task's own ups and downs. */
const NOISE_VARIANCE = 0.06;

/** Behaviour drifts, so that no estimate becomes certain. */
const MIN_VARIANCE = 0.01;
const MIN_BASE_VARIANCE = 0.0001;

/** One observation of a serving task's tail latency and of what filled beside it. */
export interface PairObservation {
  readonly servingImage: string;
  /** Tail latency over target. */
  readonly ratio: number;
  /** One entry for each image. */
  readonly fills: readonly FillShare[];
}

/** Key of a pair of images; without a filling image, of the serving image alone. */
export function pairKey(servingImage: string, fillImage = ''): string {
  return `${servingImage}|${fillImage}`;
}

function baseOf(book: PairEstimates, servingImage: string): InfluenceEstimate {
  return book.get(pairKey(servingImage), UNKNOWN_BASE);
}

function influenceOf(
  book: PairEstimates,
  servingImage: string,
  fillImage: string,
): InfluenceEstimate {
  return book.get(pairKey(servingImage, fillImage), UNKNOWN_PAIR);
}

/** Adds the shares of equal images up. */
export function mergeFills(fills: readonly FillShare[]): readonly FillShare[] {
  const shares = fills.reduce(
    (known, { image, share }) => known.update(image, 0, (sum) => sum + share),
    Map<string, number>(),
  );
  return [...shares].map(([image, share]) => ({ image, share }));
}

/** Load that fills bring to a serving image, as far as it is known. */
function harmLoad(book: PairEstimates, servingImage: string, fills: readonly FillShare[]): number {
  return fills.reduce(
    (sum, { image, share }) => sum + influenceOf(book, servingImage, image).mean * share,
    0,
  );
}

/** What is known of a serving image beside fills, with one entry for each image. */
export function classifyFills(
  book: PairEstimates,
  servingImage: string,
  fills: readonly FillShare[],
): Verdict {
  const load = baseOf(book, servingImage).mean + harmLoad(book, servingImage, fills);
  if (load > MAX_LOAD) return 'harmful';
  const variance = fills.reduce(
    (sum, { image, share }) => sum + influenceOf(book, servingImage, image).variance * share ** 2,
    0,
  );
  return variance > UNPROVEN_DEVIATION ** 2 ? 'unknown' : 'harmless';
}

/**
 * Images to hold back so that a harmed serving task recovers: those that take most of its headroom
 * first, else those that nothing is known of. None when fills are not the likely cause.
 */
export function findSuspects(
  book: PairEstimates,
  { servingImage, fills }: Pick<PairObservation, 'servingImage' | 'fills'>,
): readonly string[] {
  const loads = fills
    .map(({ image, share }) => ({
      image,
      load: influenceOf(book, servingImage, image).mean * share,
    }))
    .sort((left, right) => right.load - left.load);
  const excess = Math.max(
    MIN_HARM_LOAD,
    baseOf(book, servingImage).mean + harmLoad(book, servingImage, fills) - MAX_LOAD,
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
    .filter((fill) => classifyFills(book, servingImage, [fill]) === 'unknown')
    .map(({ image }) => image);
}

/** Learns from one observation: a Kalman filter that keeps the variances and no covariances. */
export function updatePairs(book: PairEstimates, observation: PairObservation): PairEstimates {
  const { servingImage, ratio } = observation;
  if (ratio <= 0) return book;
  const fills = observation.fills.filter(({ share }) => share > 0);
  const base = baseOf(book, servingImage);
  const observed = Math.max(0, 1 - IDLE_RATIO / ratio);
  const error = observed - base.mean - harmLoad(book, servingImage, fills);
  // A tail that is far over the target tells that the load is high, not how high.
  const isSaturated = observed > 1 - IDLE_RATIO / 3;
  if (isSaturated && error < 0) return book;
  const variance = fills.reduce(
    (sum, { image, share }) => sum + influenceOf(book, servingImage, image).variance * share ** 2,
    base.variance + NOISE_VARIANCE,
  );
  const learn = ({ mean, variance: before }: InfluenceEstimate, weight: number, least: number) => {
    const gain = (before * weight) / variance;
    return {
      mean: Math.max(0, mean + gain * error),
      variance: Math.max(least, before * (1 - gain * weight)),
    };
  };
  return fills.reduce(
    (known, { image, share }) =>
      known.set(
        pairKey(servingImage, image),
        learn(influenceOf(book, servingImage, image), share, MIN_VARIANCE),
      ),
    book.set(pairKey(servingImage), learn(base, 1, MIN_BASE_VARIANCE)),
  );
}
