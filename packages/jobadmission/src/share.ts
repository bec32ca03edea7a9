/** A competitor for an amount that is shared. */
export interface Competitor {
  readonly weight: number;
  /** Most that it can use. */
  readonly demand: number;
}

/**
 * Returns the largest level for which the competitors take no more than `amount` together, when each takes
 * its weight times the level and never more than its demand; infinite if all demands fit.
 */
function fillLevel(amount: number, competitors: readonly Competitor[]): number {
  const sated = competitors.toSorted(
    (left, right) => left.demand / left.weight - right.demand / right.weight,
  );
  const totalWeight = sated.reduce((sum, { weight }) => sum + weight, 0);
  const found = sated.reduce(
    (known, { weight, demand }) => {
      if (known.isFound) return known;
      const level = known.left / known.weight;
      return demand / weight > level
        ? { ...known, isFound: true, level }
        : { ...known, left: known.left - demand, weight: known.weight - weight };
    },
    { isFound: false, level: Infinity, left: Math.max(0, amount), weight: totalWeight },
  );
  return found.level;
}

/**
 * Returns the weighted max-min share that a competitor can have beside others. Its own demand does not
 * count, so asking for more cannot raise it.
 */
export function maxMinShare(amount: number, weight: number, others: readonly Competitor[]): number {
  return weight * fillLevel(amount, [...others, { weight, demand: Infinity }]);
}
