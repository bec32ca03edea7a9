/** Longer durations are counted as this one. */
export const MAX_DURATION_MICROS = 600_000_000;
