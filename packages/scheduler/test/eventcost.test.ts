import { expect } from 'chai';
import type { TaskProgress } from '@bronzeyoke/workflow';
import { withTasks } from '@bronzeyoke/workflow';
import { NO_RUNS, putRun } from '../src/runs';
import type { Fixture } from './fixture';
import {
  advance,
  commit,
  commitAll,
  countRoomLooks,
  countWorkersSeen,
  createLeader,
  dispatch,
  jobOf,
  join,
  list,
  report,
  sentMessages,
  siteOf,
  sized,
  stageOf,
  submit,
  workerKeyFor,
} from './fixture';

/** Postpones the next placement pass, so that only the event itself is counted. */
function withoutPass(fixture: Fixture): Fixture {
  return { ...fixture, state: { ...fixture.state, passPausedUntilMs: Infinity } };
}

/** Returns a leader that has claimed some tasks for one worker, and has not stored it yet. */
function claimedOnOne(taskCount: number): Fixture {
  const joined = report(createLeader(), 'w1', { processorsMilli: 1_000 * taskCount });
  return withoutPass(submit(joined, jobOf('job1', [stageOf(taskCount)])));
}

// Guards against a commit that adds up the runs of a worker again for each task that it starts there.
it('event cost: a commit checks the room of a worker once for all starts', () => {
  const claimed = claimedOnOne(40);
  expect(sentMessages(commit(claimed), 'start')).to.have.length(40);
  expect(countRoomLooks(claimed, commit)).to.be.within(1, 4);
});

// Guards against the same when the starts have waited for the next connection of the agent.
it('event cost: held starts check the room of their worker once', () => {
  const closed = dispatch(claimedOnOne(40), { kind: 'linkClosed', linkId: 'link-w1' });
  const named = commitAll(advance(commitAll(closed), 900));
  const back = report(named, 'w1', { processorsMilli: 40_000, link: 'link-new' });
  expect(sentMessages(commit(back), 'start')).to.have.length(40);
  expect(countRoomLooks(back, commit)).to.be.within(1, 4);
});

const LARGE_FLEET = Array.from({ length: 200 }, (_, index) => `w${index}`);

// Guards against a connection whose end looks at the whole fleet, while agents replace theirs all the time.
it('event cost: the end of a connection looks at its own worker', () => {
  const fleet = join(createLeader(), ...LARGE_FLEET);
  const close = (from: Fixture): Fixture =>
    dispatch(from, { kind: 'linkClosed', linkId: 'link-w7' });
  const without = close(fleet).state.workers.filter(({ linkId }) => linkId === undefined);
  expect([...without.keys()]).to.deep.equal([workerKeyFor('w7')]);
  expect(countWorkersSeen(fleet, close)).to.equal(1);
});

// Guards against reports that look at the whole fleet for other instances, as all do when many join.
it('event cost: a report looks at its own worker', () => {
  const fleet = withoutPass(join(createLeader(), ...LARGE_FLEET));
  expect(countWorkersSeen(fleet, (from) => report(from, 'w7'))).to.equal(1);
});

// Guards against a transaction that encodes the whole row of a job to count its entries, and again to
// write it.
it('event cost: a transaction encodes the row of a job once', () => {
  const seen = { reads: 0 };
  const other: TaskProgress = {
    phase: 'waiting',
    get attempt(): number {
      seen.reads += 1;
      return 0;
    },
    failures: 0,
  };
  const placed = join(createLeader(), 'w1');
  const submitted = commitAll(submit(placed, jobOf('job1', [stageOf(1)])));
  const jobs = submitted.state.jobs.map((open) => ({
    ...open,
    progress: withTasks(open.progress, [['0.0.9', other]]),
  }));
  const before = withoutPass({ ...submitted, state: { ...submitted.state, jobs } });
  list(before, 'w1', { 'job1.0.0.0': 'failed' });
  expect(seen.reads).to.equal(1);
});

/** Counts the held claims that are looked at while something happens. */
function countHeldSeen(fixture: Fixture, act: (counted: Fixture) => Fixture): number {
  const seen = new Set<string>();
  const heldStarts = [...fixture.state.heldStarts.byTask].reduce<Fixture['state']['heldStarts']>(
    (table, [task, held]) => {
      const { workerKey } = held;
      const counted = {
        ...held,
        get workerKey(): string {
          seen.add(task);
          return workerKey;
        },
      };
      return putRun(table, task, counted);
    },
    NO_RUNS,
  );
  seen.clear();
  act({ ...fixture, state: { ...fixture.state, heldStarts } });
  return seen.size;
}

// Guards against reports and commits that look at all claims held for agents without a connection.
it('event cost: a report looks at the held starts of its own worker', () => {
  const joined = join(createLeader(), ...LARGE_FLEET);
  const fleet = { ...joined, nowMs: joined.nowMs + 100 };
  const claimed = withoutPass(submit(fleet, jobOf('job1', [sized(4_000, 50)])));
  const closed = LARGE_FLEET.reduce(
    (current, site) => dispatch(current, { kind: 'linkClosed', linkId: `link-${site}` }),
    claimed,
  );
  const held = commit(closed);
  const back = (from: Fixture): Fixture =>
    report(from, siteOf(held, 'job1.0.0.0') ?? '', { link: 'link-new' });
  expect(sentMessages(back(held), 'start')).to.have.length(1);
  expect(countHeldSeen(held, back)).to.equal(1);
});
