import { expect } from 'chai';
import fc from 'fast-check';
import type { RunTimes } from '@bronzeyoke/runtimes';
import {
  earliestRemainingMs,
  NO_RUN_TIMES,
  observationCount,
  recordRunTime,
  remainingMs,
  runTimeMs,
  sizeClassOf,
} from '@bronzeyoke/runtimes';

const KEY = { queue: 'quick', sizeClass: 3 };

/** Width of a bucket: a quantile is too high by this factor at most. */
const BUCKET_RATIO = 2 ** 0.25;

function recordAll(durationsMs: readonly number[], state: RunTimes = NO_RUN_TIMES): RunTimes {
  return durationsMs.reduce((known, durationMs) => recordRunTime(known, KEY, durationMs), state);
}

function repeat(durationMs: number, count: number): readonly number[] {
  return Array.from({ length: count }, () => durationMs);
}

/** Run times of which 3 in 100 are 7 times as long. */
const TAILED = Array.from({ length: 400 }, (_, index) => (index % 33 === 0 ? 7_000 : 1_000));

// Guards against callers that need a second path for queues of which nothing is known.
it('runtimes: without observations the estimate counts', () => {
  expect(runTimeMs(NO_RUN_TIMES, KEY, 0.95, 800)).to.equal(800);
  expect(remainingMs(NO_RUN_TIMES, KEY, 300, 0.5, 800)).to.equal(500);
  expect(remainingMs(NO_RUN_TIMES, KEY, 900, 0.5, 800)).to.equal(0);
});

// Guards against plans by estimates that are off by a factor of ten.
it('runtimes: a few observations replace a wrong estimate', () => {
  const learned = recordAll(repeat(1_000, 12));
  expect(runTimeMs(learned, KEY, 0.95, 100)).to.be.within(1_000, 1_000 * BUCKET_RATIO);
  expect(runTimeMs(learned, KEY, 0.5, 10_000)).to.be.within(1_000, 1_000 * BUCKET_RATIO);
});

// Guards against a median of the queue that hides what a good estimate tells of one task.
it('runtimes: estimates count when run times follow them', () => {
  const sizes = Array.from({ length: 60 }, (_, index) => 200 * 2 ** (index % 6));
  const good = sizes.reduce((s, ms) => recordRunTime(s, KEY, ms * 1.5, ms), NO_RUN_TIMES);
  expect(runTimeMs(good, KEY, 0.5, 400)).to.be.within(600, 600 * BUCKET_RATIO);
  expect(runTimeMs(good, KEY, 0.5, 6_400)).to.be.within(9_600, 9_600 * BUCKET_RATIO);
  const bad = sizes.reduce((s, ms) => recordRunTime(s, KEY, 1_000, ms), NO_RUN_TIMES);
  expect(runTimeMs(bad, KEY, 0.5, 6_400)).to.be.within(1_000, 1_000 * BUCKET_RATIO);
});

// Guards against a run past the usual time that counts as about to end: it is one of the long ones.
it('runtimes: a run that outlives the usual time is expected to take the long one', () => {
  const learned = recordAll(TAILED);
  expect(remainingMs(learned, KEY, 0, 0.5, 1_000)).to.be.below(1_200);
  expect(remainingMs(learned, KEY, 2_000, 0.5, 1_000)).to.be.above(4_900);
});

// Guards against a run beyond all known ones that is expected to end at once, in each pass anew.
it('runtimes: a run beyond all known ones is expected to go on', () => {
  const learned = recordAll(repeat(1_000, 50));
  expect(remainingMs(learned, KEY, 4_000, 0.5, 1_000)).to.equal(2_000);
});

// Guards against room that is lent until a time by which the run in the way has often ended.
it('runtimes: the earliest end lies before nearly all ends', () => {
  const learned = recordAll(repeat(1_000, 50));
  expect(earliestRemainingMs(learned, KEY, 0, 0.05, 9_000)).to.be.within(800, 1_000);
  expect(earliestRemainingMs(learned, KEY, 4_000, 0.05, 9_000)).to.be.below(200);
  expect(earliestRemainingMs(NO_RUN_TIMES, KEY, 0, 0.05, 9_000)).to.equal(0);
});

// Guards against old run times that outweigh those after a change of the queue's work.
it('runtimes: a shift of the run times is followed', () => {
  const shifted = recordAll(repeat(5_000, 100), recordAll(repeat(1_000, 1_000)));
  expect(runTimeMs(shifted, KEY, 0.5, 1_000)).to.be.above(4_900);
});

// Guards against a state that grows with the names of queues that callers may choose.
it('runtimes: the number of keys is bounded, and the oldest one makes way', () => {
  const keys = Array.from({ length: 300 }, (_, index) => ({ queue: `q${index}`, sizeClass: 0 }));
  const learned = keys.reduce((state, key) => recordRunTime(state, key, 100), NO_RUN_TIMES);
  expect(learned.byKey.size).to.equal(256);
  expect(observationCount(learned, { queue: 'q0', sizeClass: 0 })).to.equal(0);
  expect(observationCount(learned, { queue: 'q299', sizeClass: 0 })).to.equal(1);
});

// Guards against tasks of very different sizes in one class, and against an unbounded number of classes.
it('runtimes: size classes rise with the processors up to a bound', () => {
  expect([0, 125, 126, 730, 6_400, 1e9].map(sizeClassOf)).to.deep.equal([0, 0, 1, 3, 6, 12]);
});

const durations = fc.array(fc.integer({ min: 1, max: 60_000 }), { minLength: 10, maxLength: 60 });

// Guards against quantiles that are not in order, and against values outside of what was observed.
it('runtimes: quantiles rise and lie within what was observed', () => {
  fc.assert(
    fc.property(durations, fc.double({ min: 0, max: 1, noNaN: true }), (values, quantile) => {
      const learned = recordAll(values);
      const valueMs = runTimeMs(learned, KEY, quantile, values[0] ?? 1);
      expect(valueMs).to.be.at.least(runTimeMs(learned, KEY, quantile / 2, values[0] ?? 1));
      expect(valueMs).to.be.at.least(Math.min(...values) * 0.99);
      expect(valueMs).to.be.at.most(Math.max(10, ...values) * BUCKET_RATIO * 1.01);
    }),
  );
});

// Guards against an expected end in the past, and against one that moves closer than time passes.
it('runtimes: the expected end of a run never lies in the past and never moves closer', () => {
  fc.assert(
    fc.property(durations, fc.integer({ min: 0, max: 90_000 }), (values, elapsedMs) => {
      const learned = recordAll(values);
      const now = remainingMs(learned, KEY, elapsedMs, 0.9, 1_000);
      const later = remainingMs(learned, KEY, elapsedMs + 100, 0.9, 1_000);
      expect(now).to.be.at.least(0);
      expect(later + 100).to.be.at.least(now - 0.001);
    }),
  );
});
