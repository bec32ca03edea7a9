import { expect } from 'chai';
import type { WorkflowJob } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  commitAll,
  createLeader,
  jobOf,
  join,
  lasting,
  leave,
  list,
  place,
  report,
  siteOf,
  sized,
  submit,
  wait,
  workerKeyFor,
} from './fixture';

/** Lasting tasks of 4 cores that wait while the only worker has 2 free ones. */
function waitingInVain(count: number): Fixture {
  const base = list(place(join(createLeader(), 'w0'), lasting('base', 2_000)), 'w0');
  const indices = Array.from({ length: count }, (_, index) => index);
  const full = indices.reduce((current, index) => {
    const site = `large${index}`;
    return list(place(join(current, site), lasting(`job${index}`, 4_000)), site);
  }, base);
  return indices.reduce((current, index) => leave(current, `large${index}`), full);
}

// Guards against tasks without a place that use up the searches of each pass, so that a later one is
// never looked at although a worker has room for it.
it('searchorder: a task that fits finds its place behind many that fit nowhere', () => {
  const joined = commitAll(report(waitingInVain(30), 'w1', { processorsMilli: 3_000 }));
  const started = list(wait(place(joined, lasting('small', 2_000)), 500), 'w1');
  const passes = Array.from({ length: 10 });
  const released = passes.reduce<Fixture>(
    (current) => wait(list(current, 'w0'), 200),
    leave(started, 'w1'),
  );
  expect(siteOf(started, 'small.0.0.0')).to.equal('w1');
  expect(siteOf(released, 'small.0.0.0')).to.equal('w0');
});

/** More stages than one pass searches a place for on a small fleet. */
const STAGES = 45;

/** A job that comes after those of other priorities. */
function lessUrgent(job: WorkflowJob): WorkflowJob {
  return { ...job, policy: { ...job.policy, priority: 1 } };
}

/**
 * A worker of 4 cores, and tasks whose worker has left: many of 5 cores, which fit nowhere now, and a
 * less urgent one of 1 core.
 */
function smallBehindLarge(): Fixture {
  const large = report(createLeader(), 'large', { processorsMilli: 5_000 * (STAGES + 1) });
  const jobs = Array.from({ length: STAGES }, (_, index) => lasting(`job${index}`, 5_000));
  const placed = [...jobs, lessUrgent(lasting('small', 1_000))].reduce(place, large);
  return leave(join(list(placed, 'large'), 'w1'), 'large');
}

// Guards against tasks without a place that use up the searches of every pass, so that a later one in
// the order is never looked at although a worker has room for it.
it('searchorder: less urgent tasks are searched behind many that fit nowhere', () => {
  const away = smallBehindLarge();
  expect(away.state.runs.byTask.size).to.be.lessThan(2);
  const later = Array.from({ length: 5 }).reduce<Fixture>(
    (current) => list(wait(current, 250), 'w1'),
    away,
  );
  expect(siteOf(later, 'small.0.0.0')).to.equal('w1');
});

// Guards against a task that has not run and takes the room of lasting tasks that were searched before it
// in vain: it would be stopped again for the first of them.
it('searchorder: lasting tasks that have run come before a starved one', () => {
  const away = waitingInVain(45);
  const starved = submit(away, lessUrgent(jobOf('quick', [sized(4_000)])));
  const later = Array.from({ length: 30 }).reduce<Fixture>(
    (current) => wait(list(current, 'w0'), 200),
    starved,
  );
  const joined = wait(list(join(later, 'w1'), 'w0'), 100);
  expect(siteOf(joined, 'quick.0.0.0')).to.equal(undefined);
  expect(
    joined.state.runs.byTask.some(({ workerKey }) => workerKey === workerKeyFor('w1')),
  ).to.equal(true);
});
