/** Readings of both clocks at one moment. */
export interface ClockReading {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/**
 * Smallest difference that counts. A steady clock stands still while its machine is suspended. Corrections of
 * the time of day that a time service spreads are far smaller between two events.
 */
const MIN_GAP_MS = 300;

/**
 * Returns by how much the time of day has advanced more or less than the steady clock between two
 * readings; undefined if the difference is small. A step of the time of day can't be told from a suspension.
 */
export function findClockGap(
  before: ClockReading | undefined,
  now: ClockReading,
): number | undefined {
  if (before === undefined) return undefined;
  const gapMs = now.wallMs - before.wallMs - (now.steadyMs - before.steadyMs);
  return Math.abs(gapMs) < MIN_GAP_MS ? undefined : gapMs;
}
