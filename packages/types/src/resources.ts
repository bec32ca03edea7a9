/** What a worker has, what a task declares, or what is in use. */
export interface Resources {
  readonly processorsMilli: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** No resources at all. */
export const NO_RESOURCES: Resources = { processorsMilli: 0, memoryMb: 0, accelerators: 0 };

/** Sum of two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
  return {
    processorsMilli: left.processorsMilli + right.processorsMilli,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
  };
}

/** Difference of two amounts; may be negative. */
export function subtractResources(left: Resources, right: Resources): Resources {
  return {
    processorsMilli: left.processorsMilli - right.processorsMilli,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}

/** Whether `wanted` is at most `available` in every dimension. */
export function fitsIn(wanted: Resources, available: Resources): boolean {
  return (
    wanted.processorsMilli <= available.processorsMilli &&
    wanted.memoryMb <= available.memoryMb &&
    wanted.accelerators <= available.accelerators
  );
}

/** The largest share that `used` takes of `total` in any dimension (dominant share of DRF). */
export function dominantShare(used: Resources, total: Resources): number {
  const share = (part: number, whole: number) => (whole > 0 ? part / whole : 0);
  return Math.max(
    share(used.processorsMilli, total.processorsMilli),
    share(used.memoryMb, total.memoryMb),
    share(used.accelerators, total.accelerators),
  );
}
