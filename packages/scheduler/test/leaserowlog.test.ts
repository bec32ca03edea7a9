import { expect } from 'chai';
import {
  createFollower,
  createLeader,
  createLoading,
  jobOf,
  leaseRow,
  load,
  loggedFields,
  stageOf,
  workerKeyFor,
} from './fixture';

const GRANTS = {
  lastEndMs: 7_000,
  earlierEndMs: 1_000,
  awaitedEndMs: { [workerKeyFor('w1')]: 3_000 },
  longEndMs: { [workerKeyFor('w2')]: 9_000 },
};

function successorOf(value: Readonly<Record<string, unknown>>) {
  return createLoading(createFollower(), [
    leaseRow({ entryId: 'entry-0', number: 3, isReleased: true, ...value }, 10),
  ]);
}

// Guards against a take-over of which nobody can tell how long leases of the leaders before may last.
it('lease row: the line of a claim tells the age of the row and what it says', () => {
  expect(loggedFields(successorOf({ grants: GRANTS }), 'leaderClaimed')[0]).to.include({
    term: 1,
    wasUnknown: false,
    settledAfterMs: 0,
    rowAgeMs: 0,
    isDescribed: true,
    lastEndMs: 7_000,
    earlierEndMs: 1_000,
    awaited: 1,
    long: 1,
    longestEndMs: 9_000,
  });
});

// Guards against a row of another build that looks like one which says that no lease is held.
it('lease row: a row that describes no leases is told from a missing one', () => {
  const [fields] = loggedFields(successorOf({}), 'leaderClaimed');
  expect(fields).to.include({ isDescribed: false, rowAgeMs: 0 });
  expect(loggedFields(createLeader(), 'leaderClaimed')[0]).to.not.have.property('rowAgeMs');
});

// Guards against awaited workers of which nobody can tell why they are awaited that long.
it('lease row: the awaited workers are counted by what the row says of them', () => {
  const tasks = Object.fromEntries(
    ['w1', 'w2', 'w3'].map((site, index) => {
      const workerKey = workerKeyFor(site);
      return [`0.0.${index}`, { phase: 'running', attempt: 1, failures: 0, workerKey } as const];
    }),
  );
  const loading = successorOf({ grants: GRANTS });
  const loaded = load(loading, [jobOf('job1', [stageOf(3)])], { job1: tasks });
  expect(loggedFields(loaded, 'workersAwaited')[0]).to.include({
    count: 3,
    rowAwaited: 1,
    rowLong: 1,
    rowGeneral: 1,
    generalEndMs: 7_000,
  });
});
