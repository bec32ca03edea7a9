import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  createLeader,
  join,
  lasting,
  leave,
  list,
  loggedFields,
  place,
  report,
  submit,
  wait,
} from './fixture';

/** Expects one line, which is at most one look late. */
function expectLine(fixture: Fixture, reason: string): void {
  const lines = loggedFields(fixture, 'taskAway');
  expect(lines.map((line) => line.reason)).to.deep.equal([reason]);
  expect(lines[0]?.awayMs).to.be.within(3_000, 4_000);
}

/** A lasting task whose worker has left, beside a worker that is too small for it. */
function withoutPlace(): Fixture {
  const large = report(createLeader(), 'large', { processorsMilli: 8_000 });
  const placed = place(large, lasting('big', 8_000));
  return leave(join(list(placed, 'large'), 'w1'), 'large');
}

/** Advances in steps in which the leader goes on leading and the worker goes on reporting. */
function live(fixture: Fixture, steps: number): Fixture {
  return Array.from({ length: steps }).reduce<Fixture>(
    (current) => list(wait(current, 500), 'w1'),
    fixture,
  );
}

// Guards against a wait that is logged once and never again.
it('absences: a task without a place is logged after 3 s and every 5 s', () => {
  const lines = loggedFields(live(withoutPlace(), 18), 'taskAway');
  expect(lines).to.have.length(2);
  expect(lines[0]).to.include({ reason: 'searching', fitsEmpty: 0, withRoom: 0, isLasting: true });
  expect(Number(lines[1]?.awayMs) - Number(lines[0]?.awayMs)).to.be.within(5_000, 6_000);
});

// Guards against a claim that nobody stores, of which no line tells.
it('absences: a claim that is not stored is logged', () => {
  const claimed = submit(join(createLeader(), 'w1'), lasting('job1', 1_000));
  const late = [1_000, 1_000, 1_000].reduce(advance, claimed);
  expectLine(late, 'storing');
});

// Guards against a start order without an effect, of which no line tells.
it('absences: a start that no list shows is logged', () => {
  const placed = place(join(createLeader(), 'w1'), lasting('job1', 1_000));
  const run = { task: 'job1.0.0.0', attempt: 1 };
  const late = Array.from({ length: 7 }).reduce<Fixture>(
    (current) => report(wait(current, 500), 'w1', { pending: [run], lastOrder: 1 }),
    placed,
  );
  expectLine(late, 'starting');
});

// Guards against lines about tasks that work, and counts that stay after an absence.
it('absences: a task that works again is counted no more', () => {
  const away = live(withoutPlace(), 4);
  const [first] = loggedFields(away, 'awayCounts');
  expect(first).to.include({ total: 1, searching: 1, contradictory: 0 });
  const joined = wait(report(away, 'large2', { processorsMilli: 8_000 }), 250);
  const listed = Array.from({ length: 3 }).reduce<Fixture>(
    (current) => wait(list(current, 'large2'), 500),
    joined,
  );
  expect(loggedFields(listed, 'awayCounts').at(-1)).to.include({ total: 0 });
  expect(listed.state.absences.size).to.equal(0);
});
