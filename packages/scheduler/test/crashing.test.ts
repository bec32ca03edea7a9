import { expect } from 'chai';
import type { Stage } from '@bronzeyoke/workflow';
import { jobOf, stageOf } from './fixture';
import { lastingJob, needsOf } from './fleetjobs';
import { createDraws, endsAll, QUICK, randomQuickLoad } from './fleetload';
import type { Fleet } from './fullfleet';
import { createFleet } from './fullfleet';

const SEED = 20_261_205;
const CRASHING = 'crashing';
const INNOCENT = 'innocent';

/** Submits a job of small tasks, the first of which crashes each worker that starts it. */
function submitCrashing(fleet: Fleet, jobId: string, taskCount = 6, changes: Partial<Stage> = {}) {
  fleet.setCrashing(`${jobId}.0.0.0`);
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
it('crashing task: a task that crashes each worker is given up within the budget', () => {
  const { fleet, load } = createBusyFleet();
  submitCrashing(fleet, CRASHING);
  fleet.advance(25_000);
  load.stop();
  expect(fleet.violations()).to.deep.equal([]);
  expect(fleet.outcomeOf(CRASHING)).to.equal('failed');
  expect(endsAll(fleet, [QUICK])).to.equal(true);
});

// Guards against jobs that are given up because they shared a worker with a task that crashes it.
it('crashing task: tasks that share a worker with one that crashes it complete', () => {
  const { fleet, load } = createBusyFleet();
  submitCrashing(fleet, CRASHING);
  fleet.submit(jobOf(INNOCENT, [stageOf(30, { needs: needsOf(1) })]), 1_000);
  fleet.advance(20_000);
  load.stop();
  expect(fleet.outcomeOf(INNOCENT)).to.equal('complete');
  expect(endsAll(fleet, [QUICK])).to.equal(true);
});

// Guards against a rule that holds for one kind of task only.
it('crashing task: lasting tasks, gangs, filling tasks and wide stages are given up in time', () => {
  const kinds: Readonly<Record<string, Partial<Stage>>> = {
    lasting: { isLasting: true },
    gang: { isGang: true },
    filling: { fillsIdle: true, image: 'fill' },
    plain: {},
  };
  const { fleet, load } = createBusyFleet();
  Object.entries(kinds).forEach(([jobId, changes]) => submitCrashing(fleet, jobId, 4, changes));
  fleet.advance(40_000);
  load.stop();
  expect(fleet.violations()).to.deep.equal([]);
  const outcomes = Object.keys(kinds).map((jobId) => fleet.outcomeOf(jobId));
  expect(outcomes).to.deep.equal(['failed', 'failed', 'failed', 'failed']);
  expect(endsAll(fleet, [QUICK])).to.equal(true);
});

// Guards against healthy jobs that are given up because machines crash for other reasons.
it('crashing task: crashes without a cause in a task fail no job', () => {
  [1, 2, 3].forEach((seed) => {
    const { fleet, load } = createBusyFleet(seed);
    const draws = createDraws(seed);
    Array.from({ length: 25 }).forEach(() => {
      const sites = fleet.sites();
      fleet.crash(sites[draws.index(sites.length)] ?? '');
      fleet.addWorker(16);
      fleet.advance(800);
    });
    load.stop();
    expect(endsAll(fleet, [QUICK])).to.equal(true);
    expect(fleet.failures()).to.deep.equal([]);
  });
});

// Guards against trials that keep the other tasks of a fleet waiting.
it('crashing task: quick tasks start in time while suspects are tried', () => {
  const { fleet, load } = createBusyFleet();
  submitCrashing(fleet, CRASHING);
  fleet.advance(20_000);
  load.stop();
  expect(endsAll(fleet, [QUICK])).to.equal(true);
  expect(fleet.startedShare(QUICK, 1_000)).to.be.at.least(0.9);
});
