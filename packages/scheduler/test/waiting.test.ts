import { expect } from 'chai';
import type { TaskProgress, WorkflowJob } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  commitAll,
  createLeader,
  createSuccessor,
  dispatch,
  jobOf,
  join,
  lasting,
  leave,
  list,
  listAll,
  listedRun,
  load,
  loggedFields,
  place,
  report,
  siteOf,
  sized,
  stopReasons,
  submit,
  wait,
  workerKeyFor,
} from './fixture';

/** Lets time pass, with the lists of some workers every 200 ms. */
function run(fixture: Fixture, forMs: number, ...sites: readonly string[]): Fixture {
  return Array.from({ length: forMs / 200 }).reduce<Fixture>(
    (current) => listAll(wait(current, 200), ...sites),
    fixture,
  );
}

/** Delivers the list of a worker on which the oldest quick task ends, and the others progress. */
function endOldest(fixture: Fixture, site: string): Fixture {
  const runs = [...fixture.state.runs.byTask].filter(
    ([, { workerKey }]) => workerKey === workerKeyFor(site),
  );
  const [oldest] = runs
    .filter(([task]) => task.startsWith('quick'))
    .toSorted(([, left], [, right]) => left.claimedAtMs - right.claimedAtMs);
  const ends = oldest === undefined ? {} : { [oldest[0]]: 'done' as const };
  return list(fixture, site, ends, Math.floor(fixture.nowMs / 100));
}

/** A worker of 4 cores that gets a quick task of 1 core each time that one ends, for 30 s, and a job. */
function crowdedWith(job: WorkflowJob): Fixture {
  const names = Array.from({ length: 304 }, (_, index) => `quick${index}`);
  const submitQuick = (current: Fixture, name: string): Fixture =>
    commitAll(submit(current, jobOf(name, [sized(1_000)])));
  const full = list(names.slice(0, 4).reduce(submitQuick, join(createLeader(), 'w1')), 'w1');
  return names
    .slice(4)
    .reduce(
      (current, name) => endOldest(submitQuick(wait(current, 100), name), 'w1'),
      place(full, job),
    );
}

// Guards against a search for moves that stops at workers on which no run may be moved.
it('waiting: a move is found behind sixteen workers without movable runs', () => {
  const fixed = Array.from({ length: 16 }, (_, index) => `f${index}`);
  const movable = lasting('movable', 2_000, 2, { maxUnavailable: 1 });
  const first = join(list(place(join(createLeader(), 'w2'), movable), 'w2'), ...fixed);
  const full = listAll(place(first, lasting('fixed', 3_000, 16, { maxPerWorker: 1 })), ...fixed);
  const big = lasting('big', 2_000, 2, { maxPerWorker: 1 });
  const spread = listAll(join(list(place(join(full, 'w3'), big), 'w3'), 'w1'), 'w1', 'w2');
  const later = run(leave(spread, 'w3'), 3_000, 'w1', 'w2', ...fixed);
  expect(siteOf(later, 'big.0.0.0')).to.equal('w2');
});

// Guards against the choice of a run that has no other place, beside one that has.
it('waiting: a run with another place is moved rather than one without', () => {
  const movable = { maxUnavailable: 1 };
  const jobs = [
    lasting('fixed', 2_000),
    lasting('pinned', 1_000, 2, { ...movable, maxPerWorker: 1 }),
    lasting('movable', 1_000, 1, movable),
  ];
  const full = jobs.reduce(
    (current, job) => list(place(current, job), 'w2'),
    join(createLeader(), 'w2'),
  );
  const big = lasting('big', 1_000, 2, { maxPerWorker: 1 });
  const spread = listAll(place(join(list(join(full, 'w1'), 'w1'), 'w3'), big), 'w1', 'w3');
  const later = run(leave(spread, 'w3'), 3_000, 'w1', 'w2');
  expect(siteOf(later, 'big.0.0.0')).to.equal('w2');
});

// Guards against a second task away beside one whose worker is silent and most likely lost.
it('waiting: no task is moved while the worker of another one of its stage has no connection', () => {
  const movable = lasting('movable', 2_000, 2, { maxUnavailable: 1, maxPerWorker: 1 });
  const first = place(join(createLeader(), 'w2', 'w4'), movable);
  const full = listAll(place(first, lasting('fixed', 2_000, 2)), 'w2', 'w4');
  const big = lasting('big', 2_000, 2, { maxPerWorker: 1 });
  const spread = listAll(place(join(full, 'w1', 'w3'), big), 'w1', 'w3', 'w2', 'w4');
  const silent = commitAll(dispatch(spread, { kind: 'linkClosed', linkId: 'link-w4' }));
  const later = run(leave(silent, 'w3'), 2_000, 'w1', 'w2');
  expect(stopReasons(later)).to.deep.equal([]);
});

// Guards against a moved task that loses the place that was kept for it, when it has no other.
it('waiting: the place of a moved task is kept until the task is placed', () => {
  const w5 = place(
    place(join(createLeader(), 'w5'), lasting('other', 1_000)),
    lasting('p5', 3_000),
  );
  const w2 = place(join(list(w5, 'w5'), 'w2'), lasting('p2', 1_000, 3));
  const movable = lasting('movable', 1_000, 2, { maxUnavailable: 1, maxPerWorker: 1 });
  const w6 = place(join(list(place(w2, movable), 'w2'), 'w6'), lasting('p6', 1_000));
  const quick = jobOf('quick', [sized(1_000, 1, { estimateMs: 60_000 })]);
  const big = lasting('big', 1_000, 3, { maxPerWorker: 1 });
  const w1 = place(join(place(place(w6, quick), big), 'w1'), lasting('p1', 1_000, 2));
  const sites = ['w1', 'w2', 'w6'];
  const full = listAll(join(w1, 'w3'), 'w3', 'w5', ...sites);
  const stopped = wait(run(leave(full, 'w3'), 800, ...sites), 200);
  expect(stopReasons(stopped)).to.deep.equal(['moved']);
  const later = run(list(wait(leave(stopped, 'w5'), 100), 'w2'), 3_000, ...sites);
  expect(siteOf(later, 'movable.0.0.0')).to.equal('w1');
  expect(siteOf(later, 'other.0.0.0')).to.equal('w6');
});

// Guards against a wait that outlives a slow start, and counts at the next failure.
it('waiting: a wait ends when the task is listed, also if nothing else happens', () => {
  const started = list(place(join(createLeader(), 'w1'), lasting('big', 3_000)), 'w1');
  const failed = list(started, 'w1', { 'big.0.0.0': 'failed' });
  const claimed = wait(wait(failed, 250), 600);
  const listed = run(list(claimed, 'w1'), 10_000, 'w1');
  const again = list(listed, 'w1', { 'big.0.0.0': 'failed' });
  expect(loggedFields(again, 'placeAwaited')).to.deep.equal([]);
  expect(again.state.waits.get('big.0.0.0')?.sinceMs).to.equal(again.nowMs);
});

// Guards against a full drain time after a lease has run out, which together exceed the promise.
it('waiting: the time before a lost worker is released counts', () => {
  const taskOn = (site: string): TaskProgress => ({
    phase: 'running',
    attempt: 1,
    failures: 0,
    checkpoint: '',
    workerKey: workerKeyFor(site),
    workerAddress: `${site}:1`,
  });
  const loaded = load(createSuccessor(), [lasting('big', 4_000), jobOf('quick', [sized(1_000)])], {
    big: { '0.0.0': taskOn('w2') },
    quick: { '0.0.0': taskOn('w1') },
  });
  const later = Array.from({ length: 60 }).reduce<Fixture>((current) => {
    const next = wait(current, 100);
    const percent = Math.floor(next.nowMs / 100);
    const listed = listedRun('quick.0.0.0', 1, { percent });
    return commitAll(report(next, 'w1', { running: [listed] }));
  }, commitAll(loaded));
  expect(loggedFields(later, 'taskReleased').map(({ task }) => task)).to.include('big.0.0.0');
  expect(stopReasons(later)).to.deep.equal(['preempted']);
});

// Guards against small tasks that take each core of a worker before a larger task, without end.
it('waiting: a task that needs more than falls free at once is placed in the end', () => {
  expect(siteOf(crowdedWith(jobOf('four', [sized(4_000)])), 'four.0.0.0')).to.equal('w1');
});

// Guards against the same for a lasting task that has not run yet.
it('waiting: a new lasting task is placed in the end', () => {
  expect(siteOf(crowdedWith(lasting('four', 4_000)), 'four.0.0.0')).to.equal('w1');
});

// Guards against the same for the members of a gang.
it('waiting: a gang that needs more than falls free at once is placed in the end', () => {
  const gang = jobOf('four', [sized(2_000, 2, { isGang: true })]);
  expect(siteOf(crowdedWith(gang), 'four.0.0.0')).to.equal('w1');
});
