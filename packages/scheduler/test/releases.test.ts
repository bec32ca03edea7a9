import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  dispatch,
  goneMessage,
  jobOf,
  listedRun,
  loggedFields,
  place,
  report,
  running,
  runningLong,
  stageOf,
  TASK,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const LEASE_END_MS = TIMES.agentLeaseMs + TIMES.marginMs;

/** Time after which a released run is forgotten. */
const REMEMBER_MS = 30_000;

/** Returns a leader whose worker was reported as gone by its agent, and whose task was placed on w2. */
function releasedByAgent(): Fixture {
  const gone = dispatch(commitAll(running()), {
    kind: 'received',
    linkId: 'link-w1',
    message: goneMessage(workerKeyFor('w1')),
    wallMs: WALL_MS,
  });
  return commitAll(advance(commitAll(report(commitAll(gone), 'w2')), 200));
}

// Guards against a release whose line does not tell on what it rests.
it('releases: a run that its worker never listed names the orders', () => {
  const placed = place(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const missing = report(advance(placed, 300), 'w1', { lastOrder: 1 });
  expect(loggedFields(missing, 'taskReleased')[0]).to.include({
    reason: 'neverStarted',
    wasListed: false,
    reportAgeMs: 0,
    order: 1,
    lastOrder: 1,
  });
});

// Guards against the same for a lease that has ended.
it('releases: a run whose lease has ended names the age of the last report', () => {
  const silent = advance(runningLong(), LEASE_END_MS + 40);
  expect(loggedFields(silent, 'taskReleased')[0]).to.include({
    reason: 'leaseExpired',
    wasListed: true,
    reportAgeMs: LEASE_END_MS + 40,
    leaseEndedAgoMs: 40,
  });
});

// Guards against a doubled run that nobody sees: its worker was said to have ended, and goes on.
it('releases: a released run that a worker lists is logged once', () => {
  const listing = { running: [listedRun(TASK, 1)], lastOrder: 1 };
  const back = report(releasedByAgent(), 'w1', { ...listing, link: 'link-back' });
  const again = report(advance(commitAll(back), 700), 'w1', { ...listing, link: 'link-back' });
  expect(loggedFields(again, 'taskListedAfterRelease')).to.deep.equal([
    {
      task: TASK,
      attempt: 1,
      worker: workerKeyFor('w1'),
      releasedFrom: workerKeyFor('w1'),
      reason: 'workerGone',
      releasedAgoMs: 200,
      listedAs: 'running',
      claimedOn: workerKeyFor('w2'),
    },
  ]);
});

// Guards against a doubled run that ends before any list shows it at work.
it('releases: the success of a released run is logged, the end with its lease is not', () => {
  const lines = (['done', 'expired'] as const).map((end) => {
    const ended = [{ sequence: 1, task: TASK, attempt: 1, end, checkpoint: '' }];
    const back = report(releasedByAgent(), 'w1', { ended, link: 'link-back' });
    return loggedFields(back, 'taskListedAfterRelease').map(({ listedAs }) => listedAs);
  });
  expect(lines).to.deep.equal([['done'], []]);
});

// Guards against a table of released runs that grows for good.
it('releases: a released run is forgotten', () => {
  const released = releasedByAgent();
  expect(released.state.released.size).to.equal(1);
  const steps = Array.from({ length: REMEMBER_MS / 1_000 });
  const later = steps.reduce<Fixture>(
    (fixture) => commitAll(report(advance(fixture, 1_000), 'w2', { lastOrder: 0 })),
    released,
  );
  expect(later.state.released.size).to.equal(0);
});
