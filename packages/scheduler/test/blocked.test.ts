import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  createLeader,
  join,
  lasting,
  listedRun,
  loggedFields,
  place,
  report,
  sentMessages,
  siteOf,
  sized,
  jobOf,
  TASK,
  TIMES,
  wait,
} from './fixture';

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

/** Returns how many leases the leader grants with the next report. */
function nextGrants(fixture: Fixture, running = [UNKNOWN]): number {
  const before = sentMessages(fixture, 'grant').length;
  return sentMessages(report(fixture, 'w1', { running }), 'grant').length - before;
}

// Guards against a run that goes on for good under a lease that nothing else on its worker needs.
it('blocked: an idle worker that ignores a stop gets no lease until the run has ended', () => {
  const joined = join(createLeader(), 'w1');
  expect(nextGrants(ignoreStops(joined, 11))).to.equal(1);
  const withheld = ignoreStops(joined, 13);
  expect(nextGrants(withheld)).to.equal(0);
  const lapsing = ignoreStops(withheld, Math.floor((TIMES.agentLeaseMs - 1_000) / 250));
  expect(nextGrants(lapsing)).to.equal(0);
  const freed = place(report(lapsing, 'w1'), jobOf('job1', [sized(4_000)]));
  expect(siteOf(freed, TASK)).to.equal('w1');
  expect(nextGrants(wait(freed, 250), [])).to.equal(1);
});

// Guards against a withheld lease that ends the runs of open jobs.
it('blocked: a worker with a run of an open job keeps its lease', () => {
  const placed = place(join(createLeader(), 'w1'), lasting('job1', 1_000));
  const running = [UNKNOWN, listedRun(TASK, 1)];
  const late = Array.from({ length: 40 }).reduce<Fixture>(
    (current) => wait(report(current, 'w1', { running, lastOrder: 1 }), 250),
    placed,
  );
  expect(loggedFields(late, 'workerBlocked')).to.have.length(2);
  expect(nextGrants(late, running)).to.equal(1);
});
