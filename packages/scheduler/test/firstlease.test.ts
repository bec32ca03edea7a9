import { expect } from 'chai';
import type { LeaseValue } from '@bronzeyoke/scheduler';
import { LEASE_KEY } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createFollower,
  createLeader,
  createLoading,
  jobOf,
  lastWritten,
  leaseRow,
  listedRun,
  load,
  phaseOf,
  place,
  report,
  running,
  runningLong,
  stageOf,
  submit,
  TASK,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

/** Longest lease that workers accept, which may be measured by a clock that is 2% slow. */
const MAX_LEASE_MS = 10_000 * 1.02;

/** Age of a worker beyond which it can have no lease but those of its leader. */
const OLD_MS = 6_000;

const YOUNG_KEY = workerKeyFor('w1', WALL_MS);

/** Returns a leader with a job whose only task runs on an instance that was just born. */
function runningYoung(): Fixture {
  const seen = report(createLeader(), 'w1', { bornAtMs: WALL_MS });
  const placed = commitAll(submit(seen, jobOf('job1', [stageOf(1)])));
  const listed = { bornAtMs: WALL_MS, running: [listedRun(TASK, 1)], lastOrder: 1 };
  return report(advance(placed, 100), 'w1', listed);
}

function leaseValue(fixture: Fixture): LeaseValue {
  return lastWritten(fixture, LEASE_KEY) as LeaseValue;
}

/** Returns a leader that found a row of the leader before, which has claimed job1 for w1. */
function successorOf(value: LeaseValue): Fixture {
  const loading = createLoading(createFollower(), [leaseRow(value, 10)]);
  const task = { phase: 'running', attempt: 1, failures: 0, workerKey: YOUNG_KEY } as const;
  return commitAll(load(loading, [jobOf('job1', [stageOf(1)])], { job1: { '0.0.0': task } }));
}

/** Returns a new leader that has waited for a silent worker, counted from the read of the row. */
function waited(value: LeaseValue, forMs: number): Fixture {
  return advance(successorOf({ ...value, isReleased: true }), forMs);
}

// Guards against a second run of a task: a call to the earlier instance under a worker's id gives the
// later one a lease by the clock of the earlier one, which may be the longest that workers accept.
it('first lease: a worker that has just been seen is not expired before the longest lease', () => {
  const silent = commitAll(advance(runningYoung(), MAX_LEASE_MS - 100));
  expect(phaseOf(silent)).to.equal('running');
  expect(phaseOf(advance(silent, 500))).to.equal('waiting');
});

// Guards against a wait that starts anew with each report, which would keep the tasks of a silent machine.
it('first lease: a worker that has long been known is expired after its granted lease', () => {
  const silent = advance(runningLong(), TIMES.agentLeaseMs);
  expect(phaseOf(silent)).to.equal('running');
  expect(phaseOf(advance(commitAll(silent), TIMES.marginMs + 10))).to.equal('waiting');
});

// Guards against a leader that waits 7.3 s for such a worker after the leader before it has failed.
it('first lease: the lease row tells the next leader of a worker that has just been seen', () => {
  const placed = place(
    report(createLeader(), 'w1', { bornAtMs: WALL_MS }),
    jobOf('job1', [stageOf(1)]),
  );
  const value = leaseValue(placed);
  expect(phaseOf(waited(value, MAX_LEASE_MS - 100))).to.equal('running');
  expect(phaseOf(waited(value, MAX_LEASE_MS + 500))).to.equal('waiting');
});

// Guards against the same after a leader that released its lease at once.
it('first lease: a released row tells of a worker that has just been seen', () => {
  const placed = place(
    report(createLeader(), 'w1', { bornAtMs: WALL_MS }),
    jobOf('job1', [stageOf(1)]),
  );
  const { grants } = leaseValue(placed);
  expect(grants?.longEndMs?.[YOUNG_KEY]).to.be.at.least(MAX_LEASE_MS);
  const later = commitAll(advance(placed, OLD_MS));
  expect(leaseValue(later).grants?.longEndMs).to.equal(undefined);
});

// Guards against tasks that stay away for 10 s because their machine goes silent just after a take-over.
it('first lease: a worker that is not young has only granted leases for a new leader', () => {
  const silent = advance(running(), TIMES.agentLeaseMs);
  expect(phaseOf(silent)).to.equal('running');
  expect(phaseOf(advance(commitAll(silent), TIMES.marginMs + 110))).to.equal('waiting');
});
