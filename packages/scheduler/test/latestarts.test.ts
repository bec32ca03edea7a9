import { expect } from 'chai';
import type { LeaseValue } from '@bronzeyoke/scheduler';
import { LEASE_KEY } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  jobOf,
  lastWritten,
  listedRun,
  loggedFields,
  report,
  sentMessages,
  settle,
  stageOf,
  submit,
  TASK,
  TIMES,
} from './fixture';

/** Longer than a start call may take to reach its worker. */
const SLOW_COMMIT_MS = 3_500;

/** Returns a leader whose claim was stored, and ordered, long after it was made. */
function orderedLate(): Fixture {
  const claimed = submit(settle(report(createLeader(), 'w1'), 'w1'), jobOf('job1', [stageOf(1)]));
  const ordered = commitAll(advance(claimed, SLOW_COMMIT_MS));
  expect(sentMessages(ordered, 'start')).to.have.length(1);
  return ordered;
}

function releaseReasons(fixture: Fixture): readonly unknown[] {
  return loggedFields(fixture, 'taskReleased').map(({ reason }) => reason);
}

// Guards against a second run of a task: its claim took seconds to be stored, so the call of the killed
// agent that got the order may still reach the next instance of the worker.
it('late start: a run is kept after its order, however old its claim is', () => {
  const restarted = { agentId: 'agent-next', link: 'link-next', bornAtMs: 9 };
  const back = report(advance(orderedLate(), 100), 'w1', restarted);
  expect(releaseReasons(back)).to.deep.equal([]);
  const later = report(advance(commitAll(back), 1_500), 'w1', restarted);
  expect(releaseReasons(later)).to.deep.equal([]);
});

// Guards against the same when only the agent was replaced and its first list lacks the run.
it('late start: a new agent of the same instance waits as long', () => {
  const replaced = { agentId: 'agent-next', link: 'link-next' };
  const back = report(advance(orderedLate(), 100), 'w1', replaced);
  expect(releaseReasons(back)).to.deep.equal([]);
  const settled = report(advance(commitAll(back), 3_000), 'w1', replaced);
  expect(releaseReasons(settled)).to.deep.equal(['neverStarted']);
});

/** Longest lease of a worker whose clock is 2% slow. */
const MAX_LEASE_MS = 10_000 * 1.02;

/** Time after an order in which a later instance carries it out. */
const LATE_CALL_MS = 3_000;

/** Longest time from the end of a run, by any clock, to its release. */
const RELEASE_MS = 500;

// Guards against a second run of a task whose order is on its way when the lease of the instance that it
// names ends: a later instance carries it out, and holds the longest lease that workers accept.
it('late start: a run from a late order is kept for the longest lease while nobody reports it', () => {
  const silent = commitAll(advance(orderedLate(), LATE_CALL_MS + MAX_LEASE_MS));
  expect(releaseReasons(silent)).to.deep.equal([]);
  expect(releaseReasons(advance(silent, RELEASE_MS))).to.deep.equal(['leaseExpired']);
});

// Guards against tasks of a silent machine that wait for the longest lease although its last list named
// them: no later instance can have begun these.
it('late start: a listed run is released with the lease, beside one that may be late', () => {
  const listed = report(advance(orderedLate(), 100), 'w1', {
    running: [listedRun(TASK, 1)],
    lastOrder: 1,
  });
  const both = commitAll(submit(listed, jobOf('job2', [stageOf(1)])));
  expect(sentMessages(both, 'start')).to.have.length(2);
  const silent = commitAll(advance(both, TIMES.agentLeaseMs + TIMES.marginMs + 300));
  expect(loggedFields(silent, 'taskReleased').map(({ task }) => task)).to.deep.equal([TASK]);
});

// Guards against a lease row by which the next leader waits for all runs of a worker for that long.
it('late start: the lease row names a silent worker with the end of its starts only', () => {
  const silent = commitAll(advance(orderedLate(), 1_000));
  const { awaitedEndMs = {} } = (lastWritten(silent, LEASE_KEY) as LeaseValue).grants ?? {};
  expect(Object.values(awaitedEndMs)).to.have.length(1);
  expect(Math.max(...Object.values(awaitedEndMs))).to.be.below(MAX_LEASE_MS);
});
