import { expect } from 'chai';
import type { WorkflowJob } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import { createLeader, join, lasting, leave, list, place, report, siteOf, wait } from './fixture';

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
it('search order: tasks that fit nowhere do not keep a later one from its place', () => {
  const away = smallBehindLarge();
  expect(away.state.runs.byTask.size).to.be.lessThan(2);
  const later = Array.from({ length: 5 }).reduce<Fixture>(
    (current) => list(wait(current, 250), 'w1'),
    away,
  );
  expect(siteOf(later, 'small.0.0.0')).to.equal('w1');
});
