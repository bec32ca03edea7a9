import { Map } from 'immutable';

/** Evidence about one pair of images: positive for harm, negative against it. */
export type PairBook = Map<string, number>;

/** Nothing is known yet. */
export const EMPTY_PAIRS: PairBook = Map();

/** Share of its latency target from which a serving task counts as harmed. */
export const HARMED_RATIO = 0.9;

/** Share of its latency target up to which a serving task counts as undisturbed. */
const CALM_RATIO = 0.7;

/** Evidence of one calm observation against each pair, and of one harmful one with one suspect. */
const CALM_WEIGHT = -1;
const HARM_WEIGHT = 2;

/** Several suspects share this much, which never decides: each is tried alone before it is judged. */
const SHARED_WEIGHT = 0.3;
const SHARED_LIMIT = 1;

/** Evidence from which a pair is judged. */
const HARMFUL_FROM = 1.5;
const HARMLESS_FROM = -3;

/** Evidence of a pair that was judged harmless and is doubted. */
const DOUBTED = -1;

/** Evidence never grows beyond this, so that a pair whose behaviour shifts is judged anew. */
const MAX_EVIDENCE = 6;

/** One observation of a serving task's tail latency and of the images that filled beside it. */
export interface PairObservation {
  readonly servingImage: string;
  /** Tail latency over target. */
  readonly ratio: number;
  readonly fillImages: readonly string[];
}

/** Key of a pair of images. */
export function pairKey(servingImage: string, fillImage: string): string {
  return `${servingImage}|${fillImage}`;
}

/** What the evidence says of a pair. */
export function judgePair(
  book: PairBook,
  servingImage: string,
  fillImage: string,
): 'harmless' | 'harmful' | 'unknown' {
  const evidence = book.get(pairKey(servingImage, fillImage), 0);
  if (evidence >= HARMFUL_FROM) return 'harmful';
  return evidence <= HARMLESS_FROM ? 'harmless' : 'unknown';
}

function addEvidence(book: PairBook, key: string, weight: number): PairBook {
  const next = book.get(key, 0) + weight;
  return book.set(key, Math.min(MAX_EVIDENCE, Math.max(-MAX_EVIDENCE, next)));
}

/** Images that may have caused the harm: those known to be harmful, else those not known to be harmless. */
export function suspectsOf(book: PairBook, observation: PairObservation): readonly string[] {
  const { servingImage, fillImages } = observation;
  const images = [...new Set(fillImages)];
  const harmful = images.filter((image) => judgePair(book, servingImage, image) === 'harmful');
  if (harmful.length > 0) return harmful;
  return images.filter((image) => judgePair(book, servingImage, image) === 'unknown');
}

/** Harm beside images that were all judged harmless: each has to be tried again. */
function doubtAll(book: PairBook, { servingImage, fillImages }: PairObservation): PairBook {
  return fillImages
    .map((image) => pairKey(servingImage, image))
    .reduce((known, key) => known.set(key, Math.max(known.get(key, 0), DOUBTED)), book);
}

/** Learns from one observation. */
export function observePairs(book: PairBook, observation: PairObservation): PairBook {
  const { servingImage, ratio, fillImages } = observation;
  if (fillImages.length === 0) return book;
  if (ratio <= CALM_RATIO) {
    return [...new Set(fillImages)].reduce(
      (known, image) => addEvidence(known, pairKey(servingImage, image), CALM_WEIGHT),
      book,
    );
  }
  if (ratio < HARMED_RATIO) return book;
  const suspects = suspectsOf(book, observation);
  const [only, ...others] = suspects;
  if (only !== undefined && others.length === 0) {
    return addEvidence(book, pairKey(servingImage, only), HARM_WEIGHT);
  }
  if (suspects.length === 0) return doubtAll(book, observation);
  return suspects
    .map((image) => pairKey(servingImage, image))
    .filter((key) => book.get(key, 0) < SHARED_LIMIT)
    .reduce((known, key) => addEvidence(known, key, SHARED_WEIGHT), book);
}
