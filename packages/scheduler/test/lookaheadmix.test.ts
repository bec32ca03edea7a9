import { expect } from 'chai';
import { DEFAULT_POLICY } from '@bronzeyoke/scheduler';
import { createLeader, jobOf, stageOf, withPolicy } from './fixture';
import { lastingJob, needsOf, quickJob } from './fleetjobs';
import type { Draws } from './fleetload';
import { createDraws, endsAll } from './fleetload';
import type { Fleet } from './fullfleet';
import { createFleet } from './fullfleet';
import type { Span } from './simclock';

const SEEDS = [1, 2, 3] as const;
const WORKERS = 5;
const CORES = 8;
const RUN_MS = 24_000;
const SMALL_EVERY_MS = 55;
const LARGE_EVERY_MS = 2_000;
const LARGE_CORES = 5;

/** Estimates as parts of the true run times: they are off by up to 0.9. */
const ESTIMATE_SHARE: Span = [0.1, 1.9];

/** Share of the tasks that take far longer, and how much. */
const LONG_SHARE = 0.03;
const LONG_FACTOR = 7;

/** Difference of mean waits below which they count as equal: a fifth of a tick. */
const SLACK_MS = 10;

function submitAt(fleet: Fleet, draws: Draws, atMs: number, id: string, cores: number): void {
  const factor = draws.random() < LONG_SHARE ? LONG_FACTOR : 1;
  const runMs = factor * draws.within(cores === LARGE_CORES ? [2_000, 3_000] : [300, 1_200]);
  const job = quickJob(id, cores, (runMs / factor) * draws.within(ESTIMATE_SHARE));
  fleet.schedule(atMs, () => fleet.submit(job, runMs));
}

/** Plays a mix of small and large tasks, in the midst of which a worker leaves. */
function playMix(seed: number, isOn: boolean): Fleet {
  const policy = { ...DEFAULT_POLICY, learnsRunTimes: isOn, looksAhead: isOn };
  const fleet = createFleet(seed, { leader: withPolicy(createLeader(), policy) });
  const draws = createDraws(seed);
  Array.from({ length: WORKERS }, () => fleet.addWorker(CORES));
  fleet.submit(lastingJob('base', WORKERS, 1, { maxPerWorker: 2 }));
  fleet.advance(1_000);
  Array.from({ length: RUN_MS / SMALL_EVERY_MS }, (_, index) =>
    submitAt(fleet, draws, index * SMALL_EVERY_MS, `small${index}`, draws.within([0.3, 1.2])),
  );
  Array.from({ length: RUN_MS / LARGE_EVERY_MS }, (_, index) =>
    submitAt(fleet, draws, index * LARGE_EVERY_MS, `large${index}`, LARGE_CORES),
  );
  const gang = stageOf(2, { needs: needsOf(4), estimateMs: 2_000, isGang: true });
  fleet.schedule(RUN_MS / 4, () => fleet.submit(jobOf('gang', [gang]), 2_000));
  fleet.schedule(RUN_MS / 2, () => {
    fleet.leave(fleet.sites()[0] ?? '');
    fleet.schedule(3_000, () => fleet.addWorker(CORES));
  });
  fleet.advance(RUN_MS);
  return fleet;
}

function meanWaitMs(fleet: Fleet, prefix: string): number {
  const waits = fleet.waitsMs(prefix);
  return waits.reduce((sum, waitMs) => sum + waitMs, 0) / waits.length;
}

SEEDS.forEach((seed) => {
  // Guards against small tasks that leave gaps which no large one can use, and against a cure that makes
  // them wait, breaks a limit a worker or a gang, or puts tasks where they do not fit.
  it(`look-ahead: large tasks wait less in a mix of seed ${seed}, and small ones no longer`, () => {
    const before = playMix(seed, false);
    const after = playMix(seed, true);
    expect(after.violations()).to.deep.equal([]);
    expect(meanWaitMs(after, 'large')).to.be.below(meanWaitMs(before, 'large') * 0.75);
    expect(meanWaitMs(after, 'small')).to.be.at.most(meanWaitMs(before, 'small') + SLACK_MS);
    expect(endsAll(after, ['small', 'large', 'gang'])).to.equal(true);
  });
});

// Guards against decisions that depend on more than the state, such as the order in which jobs were read.
it('look-ahead: the same mix gives the same starts', () => {
  const [first, second] = [playMix(1, true), playMix(1, true)];
  expect(first.waitsMs('')).to.deep.equal(second.waitsMs(''));
});
