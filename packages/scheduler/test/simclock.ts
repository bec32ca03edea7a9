import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Lower and upper bound of a random duration, in ms. */
export type Span = readonly [number, number];

/** A virtual clock with timers and a seeded source of random numbers. */
export interface Clock {
  readonly now: () => number;
  readonly random: () => number;
  readonly within: (span: Span) => number;
  readonly schedule: (afterMs: number, callback: () => void) => void;
  /** Runs all timers of the next `ms`; calls `observe` after the last one of each instant. */
  readonly advance: (ms: number, observe: () => void) => void;
}

interface Timer {
  readonly atMs: number;
  readonly callback: () => void;
}

/** Creates a clock at 1 s. */
export function createClock(seed: number): Clock {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const state: { nowMs: number; readonly timers: Timer[] } = { nowMs: 1_000, timers: [] };

  const schedule = (afterMs: number, callback: () => void): void => {
    const atMs = state.nowMs + Math.max(0, Math.round(afterMs));
    const index = state.timers.findLastIndex((timer) => timer.atMs <= atMs);
    state.timers.splice(index + 1, 0, { atMs, callback });
  };

  const advance = (ms: number, observe: () => void): void => {
    const untilMs = state.nowMs + ms;
    for (;;) {
      const [next] = state.timers;
      if (next === undefined || next.atMs > untilMs) break;
      state.timers.shift();
      state.nowMs = next.atMs;
      next.callback();
      if (state.timers[0]?.atMs !== next.atMs) observe();
    }
    state.nowMs = untilMs;
  };

  return {
    now: () => state.nowMs,
    random,
    within: ([low, high]) => low + random() * (high - low),
    schedule,
    advance,
  };
}
