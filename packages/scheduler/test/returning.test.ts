import { expect } from 'chai';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
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
  stopReasons,
  wait,
} from './fixture';

function quick(jobId: string, processorsMilli = 1_000): WorkflowJob {
  return jobOf(jobId, [sized(processorsMilli)]);
}

/** Delivers the list of a worker on which some tasks have failed. */
function listFailed(fixture: Fixture, site: string, failed: readonly string[]): Fixture {
  return list(fixture, site, Object.fromEntries(failed.map((task) => [task, 'failed'])));
}

/** A worker of 4 cores whose lasting task of 3 cores has failed, beside a quick task. */
function failedBesideQuick(): Fixture {
  const started = list(place(join(createLeader(), 'w1'), lasting('big', 3_000)), 'w1');
  return listFailed(list(place(started, quick('quick0')), 'w1'), 'w1', ['big.0.0.0']);
}

/** A worker of 4 cores with a quick task, and a waiting task of 4 cores whose worker has left. */
function waitingBehindQuick(): Fixture {
  const started = list(place(join(createLeader(), 'w2'), lasting('big', 4_000)), 'w2');
  return leave(list(place(join(started, 'w1'), quick('quick0')), 'w1'), 'w2');
}

/**
 * Two workers of 4 cores: w1 has a task of job1 and 2 free cores, w2 is full with two tasks of job2.
 * The other task of job1, which allows one task a worker, has lost its worker.
 */
function waitingForMove(changes: Partial<Stage>): Fixture {
  const full = listAll(place(join(createLeader(), 'w2'), lasting('job2', 2_000, 2, changes)), 'w2');
  const job1 = lasting('job1', 2_000, 2, { maxPerWorker: 1 });
  const spread = listAll(place(join(full, 'w1', 'w3'), job1), 'w1', 'w3');
  const left = siteOf(spread, 'job1.0.0.0') === 'w3' ? spread : listAll(spread, 'w1');
  return listAll(wait(leave(left, 'w3'), 1_100), 'w1', 'w2');
}

// Guards against small tasks that take each core of a full worker before a larger lasting task.
it('returning: room is kept for a failed task that needs more than falls free at once', () => {
  const crowded = ['quick1', 'quick2', 'quick3'].reduce(
    (current, jobId) => place(current, quick(jobId)),
    failedBesideQuick(),
  );
  expect(siteOf(crowded, 'quick1.0.0.0')).to.equal(undefined);
  expect(siteOf(wait(crowded, 250), 'big.0.0.0')).to.equal('w1');
});

// Guards against a reservation that outlives the wait.
it('returning: room is given to others once the task has its place', () => {
  const placed = list(wait(place(failedBesideQuick(), quick('quick1')), 250), 'w1');
  const ended = listFailed(placed, 'w1', ['quick0.0.0.0']);
  expect(siteOf(ended, 'quick1.0.0.0')).to.equal('w1');
  expect(ended.state.waits.size).to.equal(0);
});

// Guards against an order by number within a stage, in which one task may wait without end.
it('returning: the task that is away longest gets the place that falls free', () => {
  const sites = ['w1', 'w2'];
  const spread = listAll(
    place(join(createLeader(), ...sites), lasting('job1', 3_000, 2)),
    ...sites,
  );
  const siteOfLast = siteOf(spread, 'job1.0.0.1') ?? '';
  const siteOfFirst = siteOf(spread, 'job1.0.0.0') ?? '';
  const later = list(wait(leave(spread, siteOfLast), 300), siteOfFirst);
  const away = leave(later, siteOfFirst);
  const joined = join(wait(away, 300), 'w4');
  expect(siteOf(joined, 'job1.0.0.1')).to.equal('w4');
});

// Guards against a wait for runs that take longer than they declare.
it('returning: runs that outlast their estimate are stopped in the end', () => {
  const waiting = waitingBehindQuick();
  const early = list(wait(waiting, 1_000), 'w1');
  expect(stopReasons(early)).to.deep.equal([]);
  const late = wait(early, 1_600);
  expect(stopReasons(late)).to.deep.equal(['preempted']);
  expect(siteOf(list(late, 'w1'), 'big.0.0.0')).to.equal('w1');
});

// Guards against new tasks on a worker that is kept for a waiting one.
it('returning: a worker that is kept for a task gets no other one', () => {
  const crowded = place(waitingBehindQuick(), quick('quick1'));
  expect(siteOf(crowded, 'quick1.0.0.0')).to.equal(undefined);
  const freed = listFailed(crowded, 'w1', ['quick0.0.0.0']);
  expect(siteOf(freed, 'big.0.0.0')).to.equal('w1');
});

// Guards against free places that a task may not use because its own job is there.
it('returning: a task of another job is moved within what its stage allows', () => {
  const moving = waitingForMove({ maxUnavailable: 1 });
  expect(stopReasons(moving)).to.deep.equal(['moved']);
  const moved = listAll(moving, 'w2');
  const sites = ['job1.0.0.0', 'job1.0.0.1', 'job2.0.0.0', 'job2.0.0.1'].map((task) =>
    siteOf(moved, task),
  );
  expect(sites.toSorted()).to.deep.equal(['w1', 'w1', 'w2', 'w2']);
});

// Guards against a move of a task that must not be unavailable.
it('returning: no task is moved whose stage allows none to be unavailable', () => {
  expect(stopReasons(waitingForMove({}))).to.deep.equal([]);
});

// Guards against the loss of a gang's places to small tasks, one after the other.
it('returning: room is kept for all members of a gang', () => {
  const sites = ['w1', 'w2'];
  const members = ['gang.0.0.0', 'gang.0.0.1'];
  const gang = lasting('gang', 3_000, 2, { isGang: true });
  const started = listAll(place(join(createLeader(), ...sites), gang), ...sites);
  const crowded = ['quick0', 'quick1', 'quick2', 'quick3'].reduce(
    (current, jobId) => place(current, quick(jobId)),
    listFailed(started, 'w1', members),
  );
  const returned = wait(listFailed(crowded, 'w2', members), 250);
  expect(members.map((task) => siteOf(returned, task)).toSorted()).to.deep.equal(sites);
});

// Guards against waits that the logs do not explain.
it('returning: a wait for a place is logged after a second, and its end', () => {
  const waiting = waitingBehindQuick();
  const early = list(wait(waiting, 900), 'w1');
  expect(loggedFields(early, 'placeAwaited')).to.deep.equal([]);
  const late = wait(early, 300);
  const [awaited] = loggedFields(late, 'placeAwaited');
  expect(awaited).to.include({
    task: 'big.0.0.0',
    processorsMilli: 4_000,
    fitsEmpty: 1,
    withRoom: 0,
    belowLimit: 0,
    awaitedMs: 1_200,
    plan: 'reserved',
  });
  const freed = listFailed(late, 'w1', ['quick0.0.0.0']);
  expect(loggedFields(freed, 'placeFound')[0]).to.include({ task: 'big.0.0.0', awaitedMs: 1_200 });
});
