import { expect } from 'chai';
import type { StoredRow } from '@bronzeyoke/ports';
import type { LeaseValue } from '@bronzeyoke/scheduler';
import { deriveTimes } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  answerReads,
  commitAll,
  commitsOf,
  createFollower,
  createLeader,
  createLoading,
  dispatch,
  jobOf,
  leaseRow,
  poll,
  releaseOf,
  report,
  sentMessages,
  settle,
  settleClaim,
  stageOf,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const LEASE_END_MS = TIMES.grantWindowMs + TIMES.agentLeaseMs + TIMES.marginMs;

/** Delivers the reads of a new leader: one lasting task of worker w1. */
function loadLastingTask(loading: Fixture): Fixture {
  const workerKey = workerKeyFor('w1');
  const task = { phase: 'running', attempt: 1, failures: 0, workerKey };
  const progress = { table: 'progress', partition: 'main', key: 'job1', version: 9 };
  const job = { table: 'job', partition: 'main', key: 'job1/job', version: 8 };
  const rows = [{ ...progress, value: { tasks: { '0.0.0': task } } }];
  const read = answerReads(loading, rows, WALL_MS);
  const definition = jobOf('job1', [stageOf(1, { isLasting: true })]);
  return dispatch(read, {
    kind: 'jobRows',
    isFull: true,
    rows: [{ ...job, value: definition }],
    wallMs: WALL_MS,
  });
}

/** Lets an entry take over an unreleased lease row, and load the task. */
function takeOver(lease: StoredRow): Fixture {
  const polled = Array.from({ length: 6 }).reduce<Fixture>(
    (fixture) => poll(fixture, lease),
    createFollower(),
  );
  expect(polled.state.phase).to.equal('claiming');
  return loadLastingTask(settleClaim(polled, { kind: 'committed', version: 30 }));
}

/** Returns the time from now to the release of the task, in steps of a tick. */
function releasedAfterMs(fixture: Fixture): number {
  const stepMs = 50;
  const steps = Array.from({ length: 400 }).findIndex((_, index) =>
    advance(fixture, index * stepMs).state.runs.byTask.isEmpty(),
  );
  return steps * stepMs;
}

const LOADING_LEASE = {
  entryId: 'entry-2',
  number: 3,
  isReleased: false,
  grants: { lastEndMs: 0, earlierEndMs: 2_000, awaitedEndMs: {} },
};

// Guards against a wait that starts with each new leader although the time before its claim counts.
it('counts the wait for silent workers from the last renewal', () => {
  const lease = { entryId: 'entry-2', number: 9, isReleased: false };
  const granting = {
    ...lease,
    grants: { lastEndMs: LEASE_END_MS, earlierEndMs: 0, awaitedEndMs: {} },
  };
  const leader = takeOver(leaseRow(granting, 10));
  expect(releasedAfterMs(leader)).to.be.at.most(LEASE_END_MS - 2_000 + 50);
  expect(releasedAfterMs(leader)).to.be.at.least(LEASE_END_MS - 2_400);
});

// Guards against a wait that starts anew after a leader that granted no lease.
it('goes on with the wait of a leader that granted nothing', () => {
  const leader = takeOver(leaseRow(LOADING_LEASE, 10));
  expect(releasedAfterMs(leader)).to.be.at.most(100);
});

// Guards against a wait that starts anew for a worker that the last leader never heard of.
it('goes on with the wait for a worker that stayed silent', () => {
  const awaitedEndMs = { [workerKeyFor('w1')]: 3_000 };
  const grants = { lastEndMs: LEASE_END_MS, earlierEndMs: 3_000, awaitedEndMs };
  const leader = takeOver(leaseRow({ ...LOADING_LEASE, grants }, 10));
  expect(releasedAfterMs(leader)).to.be.within(900, 1_100);
});

/** Grant window of the builds that do not describe their grants in the row. */
const UNDESCRIBED_WINDOW_MS = 6_000;

// Guards against a second run of a task: a row of an earlier build does not tell what was granted.
it('waits for the longest lease after a row of an earlier build', () => {
  const lease = { entryId: 'entry-2', number: 9, isReleased: false };
  const leader = takeOver(leaseRow(lease, 10));
  const longestMs = UNDESCRIBED_WINDOW_MS + TIMES.agentLeaseMs + TIMES.marginMs;
  expect(releasedAfterMs(leader)).to.be.at.least(longestMs - 2_400);
});

// Guards against a second run of a task: an earlier build that releases its lease says nothing about the
// leader before it, which may still grant leases.
it('waits for the longest lease after an earlier build has released it', () => {
  const value = { entryId: 'entry-2', number: 2, isReleased: true };
  const loading = createLoading(createFollower(), [leaseRow(value, 10)]);
  const leader = loadLastingTask(loading);
  const longestMs = UNDESCRIBED_WINDOW_MS + TIMES.agentLeaseMs + TIMES.marginMs;
  expect(releasedAfterMs(leader)).to.be.at.least(longestMs - 100);
});

function grantsOf(fixture: Fixture): number {
  return sentMessages(fixture, 'grant').length;
}

/** Takes over from a leader that granted leases until then. */
function takeOverGranting(): Fixture {
  const lease = { entryId: 'entry-2', number: 9, isReleased: false };
  const granted = { lastEndMs: LEASE_END_MS, earlierEndMs: 0, awaitedEndMs: {} };
  return takeOver(leaseRow({ ...lease, grants: granted }, 10));
}

// Guards against a lease that is granted before the store knows that its holder may grant it: the next
// leader would not wait for it.
it('grants no lease to an awaited worker before the row says so', () => {
  const reported = report(advance(takeOverGranting(), 50), 'w1');
  expect(grantsOf(reported)).to.equal(0);
});

// Guards against a worker that loses its tasks because it stays awaited after its report.
it('grants a lease once the row no longer names the worker as awaited', () => {
  const begun = commitAll(takeOverGranting());
  const reported = report(advance(begun, 50), 'w1');
  expect(grantsOf(reported)).to.equal(0);
  const struck = commitAll(advance(reported, 50));
  expect(grantsOf(struck)).to.equal(1);
  expect(grantsOf(report(advance(struck, 300), 'w1'))).to.equal(2);
});

// Guards against a successor that waits anew although the leader that releases knows better.
it('names the workers that it still awaits when it releases its lease', () => {
  const stopped = dispatch(commitAll(takeOverGranting()), { kind: 'stop' });
  const write = releaseOf(stopped)?.transaction.writes[0];
  const value = write?.kind === 'put' ? (write.value as LeaseValue) : undefined;
  const endMs = value?.grants?.awaitedEndMs[workerKeyFor('w1')];
  expect(endMs).to.be.within(LEASE_END_MS - 2_400, LEASE_END_MS - 1_800);
});

// Guards against a successor that waits anew for a worker that was silent before the leader failed.
it('names a worker that has gone silent, and grants it no lease until the row changes', () => {
  const silent = commitAll(advance(settle(report(createLeader(), 'w1'), 'w1'), 2_000));
  const written = commitsOf(silent).at(-1)?.transaction.writes[0];
  const value = written?.kind === 'put' ? (written.value as LeaseValue) : undefined;
  const leftMs = TIMES.agentLeaseMs + TIMES.marginMs - 2_000;
  expect(value?.grants?.awaitedEndMs).to.deep.equal({ [workerKeyFor('w1')]: leftMs });
  const granted = grantsOf(silent);
  const reported = report(silent, 'w1', { clockMs: silent.nowMs });
  expect(grantsOf(reported)).to.equal(granted);
  const struck = commitAll(advance(reported, 50));
  expect(grantsOf(struck)).to.equal(granted + 1);
  expect(grantsOf(report(advance(struck, 300), 'w1'))).to.equal(granted + 2);
});

// Guards against a lease that is granted while the row that calls the worker silent is being written.
it('grants a silent worker no lease while the row that names it is in flight', () => {
  const writing = advance(report(createLeader(), 'w1'), 2_000);
  expect(writing.state.inFlight).to.not.equal(undefined);
  const granted = grantsOf(writing);
  expect(grantsOf(report(writing, 'w1'))).to.equal(granted);
});

/** Time for which a lasting task may be away after its last run while nothing fails. */
const MAX_AWAY_MS = 9_000;

/** Polls, the claim, the load, the commit of the next run and its start, which follow the wait. */
const RESTART_MS = 650;

// Guards against lasting tasks that stay away longer than promised when their worker and the leader fail
// together: the wait for the leases of the last leader must leave time for the restart.
it('waits for silent workers no longer than the promise for lasting tasks', () => {
  [3_000, 6_000, 10_000, 20_000, 60_000].forEach((maxLeaseMs) => {
    const times = deriveTimes({ maxLeaseMs, holderLeaseMs: 3_000, statusMs: 120_000 });
    const waitMs = times.grantWindowMs + times.agentLeaseMs + times.marginMs;
    expect(waitMs + RESTART_MS, `${maxLeaseMs}`).to.be.at.most(MAX_AWAY_MS);
  });
});
