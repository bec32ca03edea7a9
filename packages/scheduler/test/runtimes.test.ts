import { expect } from 'chai';
import { observationCount, sizeClassOf } from '@bronzeyoke/runtimes';
import type { Fixture } from './fixture';
import { createLeader, jobOf, join, list, place, siteOf, sized, wait, withPolicy } from './fixture';

const KEY = { queue: 'quick', sizeClass: sizeClassOf(1_000) };

function countOf({ state }: Fixture): number {
  return observationCount(state.runTimes, KEY);
}

function learner(): Fixture {
  return withPolicy(join(createLeader(), 'w1'), { learnsRunTimes: true });
}

/** Runs one task of a job for some time, and lists its end as done. */
function runFor(fixture: Fixture, jobId: string, forMs: number, estimateMs = 1_000): Fixture {
  const placed = place(fixture, jobOf(jobId, [sized(1_000, 1, { estimateMs })]));
  return list(wait(list(placed, 'w1'), forMs), 'w1', { [`${jobId}.0.0.0`]: 'done' });
}

// Guards against a change of decisions at a deployment that has not switched the part on.
it('run times: nothing is learned without the switch', () => {
  const fixture = runFor(join(createLeader(), 'w1'), 'job1', 500);
  expect(countOf(fixture)).to.equal(0);
});

// Guards against samples of runs that tell nothing of the work: started anew, or ended as failed.
it('run times: only whole runs that are done count', () => {
  const placed = place(learner(), jobOf('job1', [sized(1_000)]));
  const failed = list(wait(list(placed, 'w1'), 500), 'w1', { 'job1.0.0.0': 'failed' });
  expect(countOf(failed)).to.equal(0);
  const again = wait(failed, 1_000);
  expect(siteOf(again, 'job1.0.0.0')).to.equal('w1');
  expect(countOf(list(wait(list(again, 'w1'), 500), 'w1', { 'job1.0.0.0': 'done' }))).to.equal(0);
  expect(countOf(runFor(learner(), 'job2', 500))).to.equal(1);
});

// Guards against a job whose declared time is far too short, which goes before shorter ones for ever.
it('run times: the least work left follows what the queue has taken', () => {
  const jobs = Array.from({ length: 30 }, (_, index) => `old${index}`);
  const learned = jobs.reduce((current, id, index) => {
    const declaredMs = index % 2 === 0 ? 100 : 4_000;
    return runFor(current, id, 1_000, declaredMs);
  }, learner());
  // The small estimate stands for the longer work: two tasks instead of one.
  const long = place(learned, jobOf('long', [sized(3_000)]));
  const full = place(long, jobOf('full', [sized(1_000)]));
  const two = place(full, jobOf('two', [sized(1_000, 2, { estimateMs: 100 })]));
  const one = place(two, jobOf('one', [sized(1_000, 1, { estimateMs: 1_000 })]));
  const freed = wait(list(list(one, 'w1'), 'w1', { 'full.0.0.0': 'done' }), 500);
  expect(siteOf(freed, 'one.0.0.0')).to.equal('w1');
  expect(siteOf(freed, 'two.0.0.0')).to.equal(undefined);
});
