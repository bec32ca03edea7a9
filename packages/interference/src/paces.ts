import { Map } from 'immutable';
import type { FillShare, PairEstimates } from './pairs';
import { fillLoad, fillLoads, fillRoom, observedLoad } from './pairs';

/** Ratio of tail latency to target from which fills beside a serving task are slowed down. */
export const SLOWING_RATIO = 0.85;

/** Ratio to which they are slowed down: the estimates are rough, and harm is worse than a lower pace. */
const RELIEVED_RATIO = 0.8;

/** Paces of images from 0 to 1; those that are not named may work at full pace. */
export type Paces = Map<string, number>;

/** All images at full pace. */
export const FULL_PACES: Paces = Map();

/** Returns the lower pace of each image. */
export function lowerPaces(left: Paces, right: Paces): Paces {
  return left.mergeWith((one, other) => Math.min(one, other), right);
}

/**
 * Limits the load of each image so that all together put a given load on a serving image. Only the
 * images with the highest loads are slowed down: the others gain little for it.
 */
function pacesWithin(
  loads: readonly (readonly [image: string, load: number])[],
  roomLoad: number,
): Paces {
  const total = loads.reduce((sum, [, load]) => sum + load, 0);
  if (total <= roomLoad) return FULL_PACES;
  const ascending = loads.toSorted(([, left], [, right]) => left - right);
  const { left, count } = ascending.reduce(
    (rest, [, load]) =>
      load * rest.count <= rest.left ? { left: rest.left - load, count: rest.count - 1 } : rest,
    { left: Math.max(0, roomLoad), count: ascending.length },
  );
  const limit = left / Math.max(1, count);
  return Map(loads.flatMap(([image, load]) => (load > limit ? [[image, limit / load]] : [])));
}

/** Returns the paces at which fills, given with their shares at full pace, harm none of the serving images. */
export function sustainablePaces(
  estimates: PairEstimates,
  servingImages: readonly string[],
  fills: readonly FillShare[],
): Paces {
  return servingImages.reduce(
    (paces, servingImage) =>
      lowerPaces(
        paces,
        pacesWithin(fillLoads(estimates, servingImage, fills), fillRoom(estimates, servingImage)),
      ),
    FULL_PACES,
  );
}

/** A serving task beside fills, which are given with their shares at full pace and at their present one. */
export interface SlowedServing {
  readonly servingImage: string;
  /** Tail latency over target. */
  readonly ratio: number;
  readonly fullFills: readonly FillShare[];
  readonly presentFills: readonly FillShare[];
}

/**
 * Returns the paces at which a serving task is relieved, if fills put as much load on it as the estimates
 * say.
 */
export function reducedPaces(
  estimates: PairEstimates,
  { servingImage, ratio, fullFills, presentFills }: SlowedServing,
): Paces {
  if (ratio < SLOWING_RATIO) return FULL_PACES;
  const excess = observedLoad(ratio) - observedLoad(RELIEVED_RATIO);
  const presentLoad = fillLoad(estimates, servingImage, presentFills);
  return pacesWithin(fillLoads(estimates, servingImage, fullFills), presentLoad - excess);
}
