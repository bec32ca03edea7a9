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
  loggedFields,
  place,
  report,
  siteOf,
  sized,
  wait,
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

// Guards against a task that has just become starved and takes the room of lasting tasks that were
// searched in vain before it: it is stopped again for the first of them.
it('searchorder: lasting tasks that have run come before a starved one', () => {
  const base = list(place(join(createLeader(), 'w1'), lasting('base', 1_000)), 'w1');
  const roomy = commitAll(report(base, 'large', { processorsMilli: 4_000 * (STAGES + 1) }));
  const jobs = Array.from({ length: STAGES }, (_, index) => lasting(`job${index}`, 4_000));
  const away = list(leave(list(jobs.reduce(place, roomy), 'large'), 'large'), 'w1');
  const waiting = Array.from({ length: 24 }).reduce<Fixture>(
    (current) => list(wait(current, 200), 'w1'),
    place(away, jobOf('quick', [sized(4_000)])),
  );
  const joined = commitAll(report({ ...waiting, nowMs: waiting.nowMs + 600 }, 'w2'));
  const later = Array.from({ length: 3 }).reduce<Fixture>(
    (current) => list(list(wait(current, 100), 'w1'), 'w2'),
    joined,
  );
  const stops = loggedFields(later, 'taskStopped').map(({ reason }) => reason);
  expect(stops).to.deep.equal([]);
  expect(siteOf(later, 'quick.0.0.0')).to.equal(undefined);
});
