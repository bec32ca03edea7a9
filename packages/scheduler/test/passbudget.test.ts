import { expect } from 'chai';
import type { Played } from './fixture';
import {
  claimedOf,
  jobOf,
  jobsOf,
  lasting,
  play,
  playTurns,
  sized,
  SLOW_LEADER_WORKERS,
  submit,
  submitAndPlay,
  takeOver,
} from './fixture';
import { AWAY_MS } from './siminvariants';

/** Twice the length that a pass aims at: the pace of an entry shows only in its passes. */
const MAX_PASS_MS = 200;

/** Workers of the largest fleet to design for that one entry of this size may lead. */
const MANY_WORKERS = 350;

const LASTING_JOBS = jobsOf(10, (index) => lasting(`lasting${index}`, 500, 30));
const SHORT_JOBS = jobsOf(10, (index) => jobOf(`short${index}`, [sized(500, 10)]));

// Guards against a pass over all waiting tasks during which a slow leader handles no report and no
// renewal, so that the leases of its workers end.
it('passbudget: passes of a slow leader stay short while hundreds of tasks wait', () => {
  const before = takeOver([...LASTING_JOBS, ...SHORT_JOBS]);
  const after = playTurns(before, 60);
  expect(Math.max(...after.passesMs)).to.be.lessThan(MAX_PASS_MS);
  expect(claimedOf(after, 'lasting') + claimedOf(after, 'short')).to.equal(400);
  expect(after.fixture.nowMs - before.fixture.nowMs).to.be.lessThan(AWAY_MS);
});

// Guards against tasks that come first only because a pass had no work left for lasting ones, whose room
// they take.
it('passbudget: no other task gets a place before the lasting ones that have run', () => {
  const jobs = [...SHORT_JOBS, ...LASTING_JOBS];
  const turns = Array.from({ length: 20 }).reduce<readonly Played[]>(
    (played) => [...played, playTurns(played.at(-1) ?? takeOver(jobs), 1)],
    [],
  );
  const early = turns.filter((played) => claimedOf(played, 'lasting') < 300);
  expect(early.length).to.be.within(2, turns.length - 1);
  expect(early.map((played) => claimedOf(played, 'short'))).to.deep.equal(early.map(() => 0));
});

// Guards against lasting tasks that fit nowhere and take the work of every pass.
it('passbudget: other tasks get a place beside lasting ones that fit nowhere', () => {
  const hopeless = jobsOf(300, (index) => lasting(`hopeless${index}`, 9_000 + index));
  const after = playTurns(takeOver([...hopeless, ...SHORT_JOBS]), 60);
  expect(claimedOf(after, 'short')).to.equal(100);
});

/** Stages without room beside a task of 4.5 cores, each smaller than the one before. */
const LARGE_JOBS = jobsOf(300, (index) => jobOf(`large${index}`, [sized(8_000 - index)]));

// Guards against stages without a place that take the work of every pass before less urgent ones.
it('passbudget: a less urgent stage gets a place behind many that have none', () => {
  const base = jobsOf(1, () => lasting('base', 4_500, SLOW_LEADER_WORKERS));
  const small = jobOf('small', [sized(1_000)]);
  const last = { ...small, policy: { ...small.policy, priority: 1 } };
  const busy = playTurns(takeOver([...base, ...LARGE_JOBS]), 20);
  const after = playTurns(
    play(busy, (fixture) => submit(fixture, last)),
    20,
  );
  expect(Math.max(...after.passesMs)).to.be.lessThan(MAX_PASS_MS);
  expect(claimedOf(after, 'small')).to.equal(1);
});

// Guards against searches in vain for lasting tasks that exceed the work of a pass on a large fleet, so
// that no pass gets to any other task.
it('passbudget: other tasks get a place on a large fleet where lasting ones fit nowhere', () => {
  const hopeless = jobsOf(12, (index) => lasting(`hopeless${index}`, 9_000 + index));
  const busy = playTurns(takeOver(hopeless, MANY_WORKERS), 40);
  const after = submitAndPlay(busy, jobOf('short', [sized(500, 10)]), 50);
  expect(claimedOf(after, 'short')).to.equal(10);
});

// Guards against lasting tasks that stay away for longer than promised after a take-over, because each of
// them looks at the whole fleet.
it('passbudget: 600 lasting tasks get a place in time on a large fleet', () => {
  const before = takeOver(
    jobsOf(20, (index) => lasting(`lasting${index}`, 500, 30)),
    MANY_WORKERS,
  );
  const after = playTurns(before, 80);
  expect(after.fixture.nowMs - before.fixture.nowMs).to.be.lessThan(AWAY_MS);
  expect(claimedOf(after, 'lasting')).to.equal(600);
});

// Guards against an urgent job that waits until a backlog of less urgent ones has had its turn.
it('passbudget: an urgent job gets a place before a backlog of less urgent ones', () => {
  const backlog = jobsOf(300, (index) => {
    const job = jobOf(`low${index}`, [sized(25, 4)]);
    return { ...job, policy: { ...job.policy, priority: 1_000 } };
  });
  const busy = playTurns(takeOver(backlog), 3);
  const after = submitAndPlay(busy, jobOf('urgent', [sized(100)]), 10);
  expect(claimedOf(after, 'urgent')).to.equal(1);
  expect(claimedOf(after, 'low')).to.be.lessThan(1_200);
});
