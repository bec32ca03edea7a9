import { expect } from 'chai';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
import { lastingJob } from './fleetjobs';
import type { Draws, Load } from './fleetload';
import { createDraws, endsAll, fillLoad, FILL, QUICK, randomQuickLoad } from './fleetload';
import type { Fleet } from './fullfleet';
import { createFleet } from './fullfleet';
import type { Span } from './simclock';

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);
const SETTLE_MS = 1_000;
const RUN_MS = 40_000;

/** Time after the faults, in which all tasks return. */
const CALM_MS = 12_000;

const WORKERS = 4;
const LASTING_JOBS = 3;

/** Share of the cores beside the lasting tasks; with it a lost worker leaves too few. */
const QUICK_SHARE: Span = [0.6, 0.8];

/** Time from the loss of a worker to the start of another one. */
const REPLACE_MS = 2_500;

function pick<Item>(draws: Draws, items: readonly [Item, ...Item[]]): Item {
  return items[draws.index(items.length)] ?? items[0];
}

function drawnLimits(draws: Draws, index: number): Partial<Stage> {
  const maxUnavailable = pick<number | undefined>(draws, [undefined, 1, 2]);
  return {
    ...(index % 3 === 0 ? { maxPerWorker: 1 } : {}),
    ...(maxUnavailable === undefined ? {} : { maxUnavailable }),
  };
}

/** Returns lasting jobs of different sizes, and a gang. */
function lastingJobs(draws: Draws): readonly WorkflowJob[] {
  const jobs = Array.from({ length: LASTING_JOBS }, (_, index) => {
    const cores = 4 + draws.index(9);
    const taskCount = 1 + draws.index(2);
    return lastingJob(`lasting${index}`, taskCount, cores, drawnLimits(draws, index));
  });
  return [...jobs, lastingJob('gang', 2, 4, { isGang: true })];
}

function coresOf({ stages }: WorkflowJob): number {
  return stages.reduce(
    (sum, { needs, taskCount }) => sum + (needs.processorsMilli * taskCount) / 1_000,
    0,
  );
}

function failSome(fleet: Fleet, draws: Draws, count: number): void {
  const tasks = fleet.lastingTasks();
  Array.from({ length: count }, () => fleet.fail(tasks[draws.index(tasks.length)] ?? ''));
}

function loseWorker(fleet: Fleet, draws: Draws, cores: number): void {
  const sites = fleet.sites();
  const site = sites[draws.index(sites.length)] ?? '';
  if (draws.random() < 0.5) fleet.crash(site);
  else fleet.leave(site);
  fleet.schedule(REPLACE_MS, () => fleet.addWorker(cores));
}

/** Plans the failures of a run: single tasks, several at once, and workers. */
function planFaults(fleet: Fleet, draws: Draws): void {
  const atMs = (): number => draws.within([0, RUN_MS - CALM_MS]);
  Array.from({ length: 16 }, () => fleet.schedule(atMs(), () => failSome(fleet, draws, 1)));
  Array.from({ length: 4 }, () => fleet.schedule(atMs(), () => failSome(fleet, draws, 3)));
  Array.from({ length: 2 }, () =>
    fleet.schedule(atMs(), () => loseWorker(fleet, draws, pick(draws, [16, 24]))),
  );
}

/** Starts quick tasks on a share of the cores that lasting tasks leave, and filling tasks. */
function startLoads(fleet: Fleet, draws: Draws, cores: number): readonly Load[] {
  return [
    randomQuickLoad(fleet, draws, cores * draws.within(QUICK_SHARE)),
    fillLoad(fleet, draws, 3_000, 5_000),
  ];
}

SEEDS.forEach((seed) => {
  // Guards against a lasting task that stays away in a mix of load and faults that no other test has.
  it(`keeps the promise for lasting tasks in a random mix of seed ${seed}`, () => {
    const fleet = createFleet(seed);
    const draws = createDraws(seed);
    const sizes = Array.from({ length: WORKERS }, () => pick(draws, [16, 24]));
    sizes.forEach(fleet.addWorker);
    const jobs = lastingJobs(draws);
    jobs.forEach((job) => fleet.submit(job));
    fleet.advance(SETTLE_MS);
    const lastingCores = jobs.reduce((sum, job) => sum + coresOf(job), 0);
    const cores = sizes.reduce((sum, size) => sum + size, 0) - lastingCores;
    const loads = startLoads(fleet, createDraws(seed + SEEDS.length), cores);
    planFaults(fleet, createDraws(seed + 2 * SEEDS.length));
    fleet.advance(RUN_MS);
    loads.forEach((load) => load.stop());
    expect(fleet.violations()).to.deep.equal([]);
    expect(endsAll(fleet, [QUICK, FILL])).to.equal(true);
  });
});
