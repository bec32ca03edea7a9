/** Amounts of resources: the capacity of a worker, the demand of a task, or the usage. */
export interface Resources {
  readonly processorsMilli: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Zero of every resource. */
export const NO_RESOURCES: Resources = { processorsMilli: 0, memoryMb: 0, accelerators: 0 };

/** Returns the sum of two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
  return {
    processorsMilli: left.processorsMilli + right.processorsMilli,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
  };
}

/** Returns the difference of two amounts, which may be negative. */
export function subtractResources(left: Resources, right: Resources): Resources {
  return {
    processorsMilli: left.processorsMilli - right.processorsMilli,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}

/** Returns whether `wanted` is at most `available` in every dimension. */
export function fitsIn(wanted: Resources, available: Resources): boolean {
  return (
    wanted.processorsMilli <= available.processorsMilli &&
    wanted.memoryMb <= available.memoryMb &&
    wanted.accelerators <= available.accelerators
  );
}

/** Returns the largest share of `total` that `used` takes in any dimension (dominant share of DRF). */
export function dominantShare(used: Resources, total: Resources): number {
  const share = (part: number, whole: number) => (whole > 0 ? part / whole : 0);
  return Math.max(
    share(used.processorsMilli, total.processorsMilli),
    share(used.memoryMb, total.memoryMb),
    share(used.accelerators, total.accelerators),
  );
}

/** Returns whether two amounts of resources are the same. */
export function isSameAmount(left: Resources | undefined, right: Resources): boolean {
  return (
    left?.processorsMilli === right.processorsMilli &&
    left.memoryMb === right.memoryMb &&
    left.accelerators === right.accelerators
  );
}
