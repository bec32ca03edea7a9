import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  countRoomLooks,
  createLeader,
  jobOf,
  join,
  lasting,
  leave,
  list,
  listAll,
  loggedFields,
  place,
  siteOf,
  sized,
  wait,
  withPolicy,
  withRunTimes,
} from './fixture';

const SITES = ['w1', 'w2', 'w3', 'w4', 'w5'] as const;
const BOTH = { learnsRunTimes: true, looksAhead: true } as const;

function fleetOf(isOn: boolean): Fixture {
  const policy = { learnsRunTimes: isOn, looksAhead: isOn };
  return withPolicy(join(createLeader(), ...SITES), policy);
}

/** Leaves one worker empty and gaps of 1 core on the others, then places eight small tasks and a large one. */
function burstOf(fixture: Fixture): Fixture {
  const served = listAll(place(fixture, lasting('base', 3_000, 4)), ...SITES);
  const small = place(wait(served, 1_100), jobOf('small', [sized(500, 8)]));
  return place(listAll(small, ...SITES), lasting('large', 3_500));
}

function placedCount(fixture: Fixture, jobId: string): number {
  return [...fixture.state.runs.byTask.keys()].filter((task) => task.startsWith(`${jobId}.`))
    .length;
}

// Guards against small tasks that spread over all workers, so that none has room for a large one.
it('look-ahead: a burst of small tasks leaves the places of large ones', () => {
  const before = burstOf(fleetOf(false));
  const after = burstOf(fleetOf(true));
  expect([placedCount(before, 'small'), placedCount(after, 'small')]).to.deep.equal([8, 8]);
  expect(placedCount(before, 'large')).to.equal(0);
  expect(placedCount(after, 'large')).to.equal(1);
});

// Guards against small tasks that wait for a perfect gap: they take a large place when nothing else is free.
it('look-ahead: small tasks are placed wherever they fit', () => {
  const full = place(fleetOf(true), lasting('base', 3_500, 4));
  const small = place(wait(full, 1_100), jobOf('small', [sized(1_000, 4)]));
  expect(placedCount(small, 'small')).to.equal(4);
});

// Guards against a plan that counts on room of a worker that has left.
it('look-ahead: tasks of a worker that leaves find room again', () => {
  const burst = burstOf(fleetOf(true));
  const gone = wait(leave(listAll(burst, ...SITES), 'w4'), 1_000);
  const left = wait(join(gone, 'w6'), 1_000);
  const on = [...left.state.runs.byTask.values()].map(({ workerKey }) => workerKey);
  expect(on.some((workerKey) => workerKey.startsWith('w4@'))).to.equal(false);
  expect(['base', 'small', 'large'].map((id) => placedCount(left, id))).to.deep.equal([4, 8, 1]);
});

/** Run times of which 3% are seven times as long as the others. */
function tailed(runMs: number): readonly number[] {
  return Array.from({ length: 200 }, (_, index) => runMs * (index % 33 === 32 ? 7 : 1));
}

/** Returns a leader that knows how long tasks of 1 core and of 2.5 cores take, and one worker. */
function taught(quickMs: readonly number[], longMs: readonly number[]): Fixture {
  const leader = withPolicy(createLeader(), BOTH);
  return join(withRunTimes(withRunTimes(leader, 1_000, quickMs), 2_500, longMs), 'w1');
}

/** Lets a long run of 2.5 cores occupy a worker, beside a stage of 4 cores that has waited for 5 s. */
function starved(fixture: Fixture, estimateMs = 60_000): Fixture {
  const long = place(fixture, jobOf('long', [sized(2_500, 1, { estimateMs })]));
  const waiting = place(long, jobOf('wide', [sized(4_000)]));
  // A run without progress is taken for stalled.
  const percents = Array.from({ length: 26 }, (_, index) => index + 1);
  return percents.reduce(
    (current, percent) => list(wait(current, 200), 'w1', {}, percent),
    waiting,
  );
}

function quickSite(fixture: Fixture): string | undefined {
  const quick = jobOf('quick', [sized(1_000, 1, { estimateMs: 100 })]);
  return siteOf(place(fixture, quick), 'quick.0.0.0');
}

const SHORT = tailed(200);
const LONG = Array.from({ length: 50 }, () => 60_000);

// Guards against kept room that nobody uses until the large task can start.
it('look-ahead: a task that surely ends in time uses kept room', () => {
  const fixture = starved(taught(SHORT, LONG));
  const small = place(fixture, jobOf('quick', [sized(1_000, 1, { estimateMs: 9_000 })]));
  expect(siteOf(small, 'quick.0.0.0')).to.equal('w1');
  expect(loggedFields(small, 'taskBackfilled')).to.have.length(1);
  const placed = loggedFields(small, 'taskPlaced').at(-1);
  expect(placed).to.include({ task: 'quick.0.0.0', noRoomMs: 0, upToMilli: 1_000 });
  const gaps = loggedFields(small, 'gapCounts').at(-1);
  expect(gaps).to.include({ largestFreeMilli: 1_500, largestWaitingMilli: 4_000 });
});

// Guards against backfill by estimates, which are off by too much to tell when a task ends.
it('look-ahead: without learned run times kept room is left alone', () => {
  expect(quickSite(starved(taught([], LONG)))).to.equal(undefined);
  expect(quickSite(starved(taught(SHORT, [])))).to.equal(undefined);
});

// Guards against backfill beside a run that may end at any time.
it('look-ahead: room that may be needed at once is left alone', () => {
  const soon = LONG.map(() => 5_300);
  expect(quickSite(starved(taught(SHORT, soon)))).to.equal(undefined);
  const over = LONG.map(() => 1_000);
  expect(quickSite(starved(taught(SHORT, over)))).to.equal(undefined);
});

// Guards against a kept place that is delayed by one of the few tasks that take far longer than others.
it('look-ahead: tasks of which few take very long leave kept room alone', () => {
  const within = LONG.map(() => 9_000);
  expect(quickSite(starved(taught(SHORT, within)))).to.equal('w1');
  expect(quickSite(starved(taught(tailed(900), within)))).to.equal(undefined);
});

/** Lets a lasting task of 3 cores lose its worker beside one with a long run. */
function bereft(fixture: Fixture): Fixture {
  const long = place(fixture, jobOf('long', [sized(2_500, 1, { estimateMs: 60_000 })]));
  const base = place(join(list(long, 'w1'), 'w2'), lasting('base', 3_000));
  return leave(list(wait(listAll(base, 'w1', 'w2'), 200), 'w2'), 'w2');
}

// Guards against a task that is started in room from which it is soon stopped for a lasting task.
it('look-ahead: room for a lasting task is lent only until runs are stopped for it', () => {
  const away = bereft(taught(tailed(100), LONG));
  expect(away.state.waits.get('base.0.0.0')).to.include({ phase: 'reserved', cause: 'returning' });
  expect(quickSite(away)).to.equal('w1');
  expect(quickSite(bereft(taught(tailed(500), LONG)))).to.equal(undefined);
});

/** Counts the looks at rooms while a stage of some tasks finds no kept room that it may use. */
function backfillLooks(taskCount: number): number {
  const within = LONG.map(() => 9_000);
  return countRoomLooks(starved(taught(tailed(900), within)), (fixture) =>
    place(fixture, jobOf('quick', [sized(1_000, taskCount)])),
  );
}

// Guards against a pass that looks for kept room once for each task of a wide stage.
it('look-ahead: the search for kept room ends at the first task that finds none', () => {
  expect(backfillLooks(200) - backfillLooks(1)).to.be.below(10);
});
