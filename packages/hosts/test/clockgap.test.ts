import { expect } from 'chai';
import { findClockGap } from '@bronzeyoke/hosts';

const BEFORE = { steadyMs: 1_000, wallMs: 5_000_000 };

// Guards against a leader that does not notice that its machine was suspended.
it('clock gap: a steady clock that stood still is found', () => {
  expect(findClockGap(BEFORE, { steadyMs: 1_050, wallMs: 5_009_050 })).to.equal(9_000);
});

// Guards against a step back of the time of day that hides a suspension of another length.
it('clock gap: a step of the time of day in either direction is found', () => {
  expect(findClockGap(BEFORE, { steadyMs: 1_050, wallMs: 4_999_000 })).to.equal(-1_050);
});

// Guards against pauses of a leader for a long event, or for a time service that adjusts the clock.
it('clock gap: long events and small corrections count for nothing', () => {
  expect(findClockGap(BEFORE, { steadyMs: 61_000, wallMs: 5_060_040 })).to.equal(undefined);
  expect(findClockGap(undefined, BEFORE)).to.equal(undefined);
});
