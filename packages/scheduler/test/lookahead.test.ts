import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
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

/** Lets a leader learn that small tasks take 0.2 s, whatever their estimates say. */
function taught(fixture: Fixture): Fixture {
  const ids = Array.from({ length: 30 }, (_, index) => `old${index}`);
  return ids.reduce((current, id) => {
    const placed = place(current, jobOf(id, [sized(1_000, 1, { estimateMs: 9_000 })]));
    const site = siteOf(placed, `${id}.0.0.0`) ?? 'w1';
    return list(wait(list(placed, site), 200), site, { [`${id}.0.0.0`]: 'done' });
  }, fixture);
}

/** Lets two long runs of 3 cores occupy a worker beside a large stage that has waited for 5 s. */
function starved(fixture: Fixture, longMs: number): Fixture {
  const long = place(fixture, jobOf('long', [sized(2_500, 1, { estimateMs: longMs })]));
  const waiting = place(long, jobOf('wide', [sized(4_000)]));
  const ticks = Array.from({ length: 26 });
  return ticks.reduce<Fixture>((current) => list(wait(current, 200), 'w1'), waiting);
}

// Guards against kept room that nobody uses until the large task can start.
it('look-ahead: a task that surely ends in time uses kept room', () => {
  const fixture = starved(taught(withPolicy(join(createLeader(), 'w1'), BOTH)), 60_000);
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
  const fixture = starved(withPolicy(join(createLeader(), 'w1'), BOTH), 60_000);
  const small = place(fixture, jobOf('quick', [sized(1_000, 1, { estimateMs: 100 })]));
  expect(siteOf(small, 'quick.0.0.0')).to.equal(undefined);
});

// Guards against backfill beside a run that may end at any time.
it('look-ahead: room that may be needed at once is left alone', () => {
  const fixture = starved(taught(withPolicy(join(createLeader(), 'w1'), BOTH)), 5_200);
  const small = place(fixture, jobOf('quick', [sized(1_000, 1, { estimateMs: 9_000 })]));
  expect(siteOf(small, 'quick.0.0.0')).to.equal(undefined);
});
