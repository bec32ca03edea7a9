/** Largest duration in a histogram. Longer durations are recorded as this one. */
export const MAX_DURATION_MICROS = 600_000_000;
