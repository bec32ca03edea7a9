import { expect } from 'chai';
import type { Fixture } from './fixture';
import { createLeader, join, listedRun, loggedFields, report, wait } from './fixture';

/** A run of a job that the leader does not know. */
const UNKNOWN = listedRun('old.0.0.0', 1);

/** Delivers reports of w1 that list the unknown run. */
function ignoreStops(fixture: Fixture, reports: number): Fixture {
  return Array.from({ length: reports }).reduce<Fixture>(
    (current) => wait(report(current, 'w1', { running: [UNKNOWN] }), 250),
    fixture,
  );
}

// Guards against a worker that gets no tasks for good while no line or figure tells of it.
it('blocked: a worker that ignores the stop of an unknown run is logged and counted', () => {
  const early = ignoreStops(join(createLeader(), 'w1'), 12);
  expect(loggedFields(early, 'workerBlocked')).to.deep.equal([]);
  const late = ignoreStops(early, 5);
  const [line, ...others] = loggedFields(late, 'workerBlocked');
  expect(line).to.include({ worker: 'w1@5', task: UNKNOWN.task, attempt: 1 });
  expect(line?.stoppedForMs).to.be.within(3_000, 4_000);
  expect(others).to.deep.equal([]);
  expect(loggedFields(late, 'blockedCounts').at(-1)).to.deep.equal({ total: 1 });
});

// Guards against a count that stays when the run has ended.
it('blocked: a worker whose run has stopped is counted no more', () => {
  const blocked = ignoreStops(join(createLeader(), 'w1'), 17);
  const freed = wait(wait(report(blocked, 'w1'), 1_000), 1_000);
  const counts = loggedFields(freed, 'blockedCounts').map(({ total }) => total);
  expect(counts.slice(-2)).to.deep.equal([1, 0]);
});
