import { expect } from 'chai';
import { passIntervalMs, reportIntervalMs } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  jobOf,
  join,
  list,
  listAll,
  place,
  sentMessages,
  siteOf,
  sized,
  stageOf,
  submit,
} from './fixture';

const SITES = Array.from({ length: 30 }, (_, index) => `w${index}`);

/** Memory of a filling task that takes almost half of a worker. */
const HALF_MEMORY = { processorsMilli: 1_000, memoryMb: 3_900, accelerators: 0 };

function fillJob(jobId: string, taskCount: number) {
  const stage = stageOf(taskCount, { needs: HALF_MEMORY, fillsIdle: true, image: 'fill' });
  const job = jobOf(jobId, [stage]);
  return { ...job, policy: { ...job.policy, priority: 2 } };
}

/** Returns a leader whose workers have no memory left, and more filling jobs than fit. */
function crowded(jobCount: number): Fixture {
  const fleet = join(createLeader(), ...SITES);
  const jobs = Array.from({ length: jobCount }, (_, index) => fillJob(`fill${index}`, 4));
  return jobs.reduce((current, job) => place(current, job), fleet);
}

function assignedCount({ state }: Fixture): number {
  return state.runs.byTask.size;
}

// Guards against a filling stage that is not looked at again when a worker gets room for it.
it('search: a waiting filling task gets the room of one that has ended', () => {
  const full = listAll(crowded(16), ...SITES);
  const [task = ''] = full.state.runs.byTask.keys();
  const site = siteOf(full, task) ?? '';
  const before = assignedCount(full);
  const freed = commitAll(advance(list(full, site, { [task]: 'done' }), 10));
  expect(assignedCount(freed)).to.equal(before);
});

// Guards against a pass that looks at all workers for each of many waiting stages.
it('search: a stage without a place is remembered until a load changes', () => {
  const full = crowded(20);
  const { failedSearches, loads, passCount } = full.state;
  expect(failedSearches.size).to.be.greaterThan(0);
  const isUnchanged = failedSearches.every(({ passNumber }) =>
    loads.every(({ sincePass }) => sincePass <= Math.max(passNumber, passCount)),
  );
  expect(isUnchanged).to.equal(true);
});

// Guards against quick work that waits for the next pass because batch has used up this one.
it('search: a quick task is placed in a pass that many filling stages cut short', () => {
  const jobs = Array.from({ length: 400 }, (_, index) => fillJob(`more${index}`, 2));
  const waiting = jobs.reduce((current, job) => submit(current, job), crowded(16));
  const quick = commitAll(advance(submit(waiting, jobOf('quick', [sized(500)])), 20));
  const started = sentMessages(quick, 'start').some(
    (effect) =>
      effect.kind === 'send' &&
      effect.message.kind === 'start' &&
      effect.message.run.task === 'quick.0.0.0',
  );
  expect(started).to.equal(true);
});

// Guards against a leader on a small machine that has no time left but for reports.
it('search: reports and passes become rarer as the fleet grows', () => {
  const small = { processors: 0.324, linkMbps: 14 };
  const large = { processors: 1.35, linkMbps: 140 };
  expect(reportIntervalMs(large, 11)).to.be.at.most(300);
  expect(reportIntervalMs(small, 160)).to.be.greaterThan(reportIntervalMs(large, 160));
  expect(reportIntervalMs(small, 10_000)).to.be.at.most(600);
  expect(passIntervalMs(630)).to.be.lessThan(100);
});

// Guards against room that is kept for good for a task that no worker can ever run.
it('search: no room is kept for a task that fits no worker', () => {
  const poison = place(join(createLeader(), 'w1'), jobOf('poison', [sized(99_000)]));
  const later = commitAll(advance(commitAll(advance(poison, 6_000)), 600));
  expect(later.state.unplacedSince.size).to.equal(0);
  expect(later.state.waits.size).to.equal(0);
});

// Guards against a pass that searches again for each of many tasks that no worker has room for.
it('search: a task that needs less is placed although a larger one was not', () => {
  const full = list(place(join(createLeader(), 'w1'), jobOf('big', [sized(3_000)])), 'w1');
  const larger = place(full, jobOf('larger', [sized(2_000)]));
  const smaller = place(larger, jobOf('smaller', [sized(900)]));
  expect(siteOf(smaller, 'larger.0.0.0')).to.equal(undefined);
  expect(siteOf(smaller, 'smaller.0.0.0')).to.equal('w1');
});
