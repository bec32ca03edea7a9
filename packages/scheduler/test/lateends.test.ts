import { expect } from 'chai';
import type { RunEnd } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  createSuccessor,
  jobOf,
  listedRun,
  load,
  loggedFields,
  report,
  runningLong,
  stageOf,
  submit,
  TASK,
  TIMES,
  workerKeyFor,
} from './fixture';

const LEASE_END_MS = TIMES.agentLeaseMs + TIMES.marginMs;

/** Time after which a late end that was logged is forgotten. */
const REMEMBER_MS = 30_000;

/** Delivers the end of a run of the task on w1, on a new connection. */
function endLate(fixture: Fixture, end: RunEnd = 'done', attempt = 1, link = 'late'): Fixture {
  const ended = [{ sequence: 1, task: TASK, attempt, end, checkpoint: '' }];
  return report(fixture, 'w1', { ended, link });
}

/** Returns a leader that has released the task of w1 by the end of its lease. */
function released(): Fixture {
  return commitAll(advance(runningLong(), LEASE_END_MS + 40));
}

/** Returns a leader that has released the task of w1, and has ordered it on w2 for some time. */
function orderedAgain(): Fixture {
  return advance(commitAll(report(released(), 'w2')), 200);
}

/** Returns a new leader for which the task is at its second attempt, on w2. */
function successor(attempt = 2): Fixture {
  const workerKey = workerKeyFor('w2');
  const task = { phase: 'running', attempt, failures: 0, workerKey } as const;
  return commitAll(
    load(createSuccessor(), [jobOf('job1', [stageOf(1)])], { job1: { '0.0.0': task } }),
  );
}

// Guards against a late success that leaves no trace of who released its run, and on what sign.
it('late ends: a success before the next claim names the release', () => {
  const late = endLate(advance(released(), 100));
  expect(loggedFields(late, 'endAfterRelease')).to.deep.equal([
    {
      state: 'unclaimed',
      worker: workerKeyFor('w1'),
      task: TASK,
      attempt: 1,
      end: 'done',
      releasedBy: 'thisLeader',
      reason: 'leaseExpired',
      releasedAgoMs: 100,
      leaseFrom: 'grant',
      lastAttempt: 1,
    },
  ]);
});

// Guards against work done twice that nobody counts.
it('late ends: a success during a second run tells how long that one was ordered', () => {
  const [fields, ...more] = loggedFields(endLate(orderedAgain()), 'endAfterRelease');
  expect(more).to.have.length(0);
  expect(fields).to.include({
    state: 'ordered',
    claimedOn: workerKeyFor('w2'),
    lastAttempt: 2,
    repeatedMs: 200,
  });
});

// Guards against a list of the running run that hides the release from the end that follows it.
it('late ends: the end of a run that was listed after its release names the release', () => {
  const running = [listedRun(TASK, 1)];
  const listed = report(orderedAgain(), 'w1', { running, link: 'late' });
  expect(loggedFields(listed, 'taskListedAfterRelease')).to.have.length(1);
  const ended = endLate(listed, 'failed');
  expect(loggedFields(ended, 'taskListedAfterRelease')).to.have.length(1);
  expect(loggedFields(ended, 'endAfterRelease')[0]).to.include({
    end: 'failed',
    releasedBy: 'thisLeader',
  });
});

// Guards against a release of the leader before that looks like one of the new leader.
it('late ends: a new leader says that the leader before released the run', () => {
  const [fields] = loggedFields(endLate(successor()), 'endAfterRelease');
  expect(fields).to.include({ state: 'ordered', releasedBy: 'earlierLeader', lastAttempt: 2 });
  expect(fields).to.not.have.property('reason');
});

// Guards against an attempt that the stored progress does not know, which is acknowledged and has no effect.
it('late ends: a success of a later attempt than the known one is logged', () => {
  const [fields] = loggedFields(endLate(successor(), 'done', 7), 'endAfterRelease');
  expect(fields).to.include({ attempt: 7, lastAttempt: 2 });
  expect(fields).to.not.have.property('repeatedMs');
});

// Guards against the same for a job that the leader has never read.
it('late ends: a success in an unknown job is logged', () => {
  const [fields] = loggedFields(endLate(report(createLeader(), 'w1')), 'endAfterRelease');
  expect(fields).to.include({ state: 'unknownJob', task: TASK });
});

// Guards against a line for each end, which would hide the late ones.
it('late ends: the end of the own run is not logged, neither when it is listed again', () => {
  const ended = endLate(runningLong(), 'done', 1, 'link-w1');
  const again = endLate(commitAll(ended));
  expect(loggedFields(again, 'taskEnded')).to.have.length(1);
  expect(loggedFields(again, 'endAfterRelease')).to.have.length(0);
  const expired = endLate(released(), 'expired');
  expect(loggedFields(expired, 'endAfterRelease')).to.have.length(0);
});

// Guards against the same when the own run is one of several tasks of a job that goes on.
it('late ends: an own success of a task in an open job that is listed again is not logged', () => {
  const placed = commitAll(
    submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1), stageOf(1)])),
  );
  const again = endLate(commitAll(endLate(placed, 'done', 1, 'link-w1')));
  expect(again.state.jobs.has('job1')).to.equal(true);
  expect(loggedFields(again, 'endAfterRelease')).to.have.length(0);
});

// Guards against lines that repeat with each connection, and against a table that grows for good.
it('late ends: a late end is logged once and forgotten later', () => {
  const again = endLate(endLate(orderedAgain()), 'done', 1, 'later');
  expect(loggedFields(again, 'endAfterRelease')).to.have.length(1);
  expect(again.state.lateEnds.size).to.equal(1);
  expect(advance(again, REMEMBER_MS).state.lateEnds.size).to.equal(0);
});
