import { expect } from 'chai';
import type { Stage } from '@bronzeyoke/workflow';
import { jobOf, stageOf } from './fixture';
import { lastingJob, needsOf } from './fleetjobs';
import { createDraws, endsAll, QUICK, randomQuickLoad } from './fleetload';
import type { Fleet } from './fullfleet';
import { createFleet } from './fullfleet';

const SEED = 20_261_205;
const DEADLY = 'deadly';
const INNOCENT = 'innocent';

/** Submits a job of small tasks, the first of which crashes each worker that starts it. */
function submitDeadly(fleet: Fleet, jobId: string, taskCount = 6, changes: Partial<Stage> = {}) {
  fleet.setDeadly(`${jobId}.0.0.0`);
  fleet.submit(jobOf(jobId, [stageOf(taskCount, { needs: needsOf(1), ...changes })]), 1_000);
}

/** Returns a fleet in which lasting tasks run, and quick jobs keep coming. */
function createBusyFleet(seed = SEED) {
  const fleet = createFleet(seed);
  Array.from({ length: 11 }, () => fleet.addWorker(16));
  ['watch1', 'watch2', 'watch3'].forEach((jobId) => fleet.submit(lastingJob(jobId, 8, 3)));
  const load = randomQuickLoad(fleet, createDraws(seed), 40);
  fleet.advance(4_000);
  return { fleet, load };
}

// Guards against a task that ends worker after worker because their ends count for nothing.
it('deadly: a task that crashes each worker is given up within the budget', () => {
  const { fleet, load } = createBusyFleet();
  submitDeadly(fleet, DEADLY);
  fleet.advance(25_000);
  load.stop();
  expect(fleet.violations()).to.deep.equal([]);
  expect(fleet.outcomeOf(DEADLY)).to.equal('failed');
  expect(endsAll(fleet, [QUICK])).to.equal(true);
});

// Guards against jobs that are given up because they shared a worker with a task that crashes it.
it('deadly: tasks that share a worker with one that crashes it complete', () => {
  const { fleet, load } = createBusyFleet();
  submitDeadly(fleet, DEADLY);
  fleet.submit(jobOf(INNOCENT, [stageOf(30, { needs: needsOf(1) })]), 1_000);
  fleet.advance(20_000);
  load.stop();
  expect(fleet.outcomeOf(INNOCENT)).to.equal('complete');
  expect(endsAll(fleet, [QUICK])).to.equal(true);
});
