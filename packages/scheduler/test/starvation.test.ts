import { expect } from 'chai';
import type { Fixture } from './fixture';
import { advance, commitAll, createLeader, loggedFields, report } from './fixture';

const TICK_MS = 50;

/** Advances the clock in ticks whose transactions are stored at once. */
function tickFor(fixture: Fixture, forMs: number): Fixture {
  const ticks = Array.from({ length: forMs / TICK_MS });
  return ticks.reduce<Fixture>((current) => commitAll(advance(current, TICK_MS)), fixture);
}

/** Lets a leader handle the reports of a worker at an interval. */
function reportEvery(fixture: Fixture, intervalMs: number, forMs: number): Fixture {
  const rounds = Array.from({ length: forMs / intervalMs });
  return rounds.reduce<Fixture>(
    (current) => commitAll(report(tickFor(current, intervalMs), 'w1')),
    commitAll(report(fixture, 'w1')),
  );
}

// Guards against an overloaded leader that handles each report late, takes the worker for silent, and
// grants it no lease again.
it('starvation: a worker whose reports are handled late keeps its lease', () => {
  const late = reportEvery(createLeader(), 1_300, 20_000);
  expect(loggedFields(late, 'workerGone')).to.deep.equal([]);
});
