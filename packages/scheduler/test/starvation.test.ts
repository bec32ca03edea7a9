import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  answerReads,
  commitAll,
  createLeader,
  createLoading,
  dispatch,
  jobOf,
  join,
  loggedFields,
  place,
  report,
  sentMessages,
  settle,
  siteOf,
  sized,
  submit,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

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

// Guards against a late grant that outlasts what the leader counts: the worker reads its clock when it
// reports, so the lease ends that much earlier than one that is granted at once.
it('starvation: a grant that waited for the store counts from the report', () => {
  const silent = commitAll(advance(settle(report(createLeader(), 'w1'), 'w1'), 2_000));
  const reported = report(silent, 'w1', { clockMs: 17_000 });
  const stored = commitAll(advance(reported, 400));
  const last = sentMessages(stored, 'grant').at(-1);
  const message = last?.kind === 'send' ? last.message : undefined;
  expect(message).to.include({ leaseUntilClockMs: 17_000 + TIMES.agentLeaseMs * 0.98 });
  const endMs = reported.nowMs + TIMES.agentLeaseMs + TIMES.marginMs;
  expect(stored.state.workers.get(workerKeyFor('w1'))?.expiresAtMs).to.equal(endMs);
});

// Guards against a lease that is granted on a connection that is gone, and counted by the leader.
it('starvation: no grant is due on a connection that has closed', () => {
  const silent = commitAll(advance(report(createLeader(), 'w1'), 2_000));
  const reported = report(silent, 'w1');
  const closed = dispatch(reported, { kind: 'linkClosed', linkId: 'link-w1' });
  const stored = commitAll(advance(closed, 400));
  expect(sentMessages(stored, 'grant')).to.have.length(sentMessages(silent, 'grant').length);
});

// Guards against passes that follow one another without a break on a slow machine: agents that connect
// anew then get no answer in time, and connect anew again.
it('starvation: a long pass is followed by a pause as long', () => {
  const placed = place(join(createLeader(), 'w1'), jobOf('job1', [sized(1_000)]));
  const paused = dispatch(placed, { kind: 'passTook', durationMs: 200 });
  const waiting = submit(tickFor(paused, 150), jobOf('job2', [sized(1_000)]));
  expect(siteOf(waiting, 'job2.0.0.0')).to.equal(undefined);
  expect(siteOf(tickFor(waiting, 50), 'job2.0.0.0')).to.equal('w1');
});

// Guards against agents that leave a leader which is at work and may not grant them a lease yet.
it('starvation: a report without a grant is answered while the leader may grant', () => {
  const silent = commitAll(advance(report(createLeader(), 'w1'), 2_000));
  const reported = report(silent, 'w1');
  expect(sentMessages(reported, 'grant')).to.have.length(sentMessages(silent, 'grant').length);
  const answers = sentMessages(reported, 'leader').length - sentMessages(silent, 'leader').length;
  expect(answers).to.equal(1);
});

// Guards against agents that stay with a leader which the store does not answer, so that another entry
// may have taken over.
it('starvation: a leader without the store answers no report', () => {
  const alone = advance(report(createLeader(), 'w1'), TIMES.grantWindowMs + 1);
  const reported = report(alone, 'w1');
  expect(sentMessages(reported, 'leader')).to.deep.equal(sentMessages(alone, 'leader'));
});

/** Returns a leader that has loaded and whose first row is not stored yet. */
function createUnstored(): Fixture {
  const wallMs = WALL_MS + 1_000;
  const read = answerReads(createLoading(), [], wallMs);
  return dispatch(read, { kind: 'jobRows', isFull: true, rows: [], wallMs });
}

// Guards against agents that leave a leader between its load and the first row that it stores then.
it('starvation: a leader answers reports before its first row is stored', () => {
  const unstored = createUnstored();
  expect(unstored.state.storedTimes).to.equal(undefined);
  const opened = dispatch(unstored, { kind: 'linkOpened', linkId: 'link-w1' });
  const reported = report(opened, 'w1');
  expect(sentMessages(reported, 'grant')).to.deep.equal([]);
  expect(sentMessages(reported, 'leader')).to.have.length(2);
  const late = report(advance(reported, TIMES.grantWindowMs + 1), 'w1');
  expect(sentMessages(late, 'leader')).to.have.length(2);
});

// Guards against one answer to each report beside its grant, which carries the same news.
it('starvation: a report with a grant has no other answer', () => {
  const leader = report(createLeader(), 'w1');
  const reported = report(commitAll(advance(leader, 300)), 'w1');
  expect(sentMessages(reported, 'leader')).to.deep.equal(sentMessages(leader, 'leader'));
});

// Guards against a worker without a lease whose agent connects anew before the worker tells a later clock
// value.
it('starvation: a grant that is due follows on the next connection', () => {
  const silent = commitAll(advance(report(createLeader(), 'w1'), 2_000));
  const reported = report(silent, 'w1', { clockMs: 7_000 });
  const closed = dispatch(reported, { kind: 'linkClosed', linkId: 'link-w1' });
  const back = report(commitAll(advance(closed, 400)), 'w1', { clockMs: 7_000, link: 'link-new' });
  const stored = commitAll(advance(back, 400));
  expect(sentMessages(stored, 'grant')).to.have.length(sentMessages(silent, 'grant').length + 1);
});

// Guards against a process that was suspended during a pass and places nothing for as long again.
it('starvation: the pause after a pass has a bound', () => {
  const placed = place(join(createLeader(), 'w1'), jobOf('job1', [sized(1_000)]));
  const paused = dispatch(placed, { kind: 'passTook', durationMs: 20_000 });
  const waiting = submit(tickFor(paused, 950), jobOf('job2', [sized(1_000)]));
  expect(siteOf(tickFor(waiting, 50), 'job2.0.0.0')).to.equal('w1');
});
