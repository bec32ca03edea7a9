import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Stage, WorkflowJob } from '@bronzeyoke/workflow';
import type { Colocated } from './colocated';
import { createColocated } from './colocated';
import type { Influence } from './colocatedworker';
import { jobOf, stageOf } from './fixture';

const WORKERS = 40;
const SERVING_IMAGES = 10;
const FILL_IMAGES = 20;
const TASK_MS = 2_400;
const BATCH_PRIORITY = 2;
const TARGET_MS = 20;

/** Share of pairs whose filling image puts a high load on the serving one, and its range. */
const HEAVY_SHARE = 0.3;
const HEAVY = [2.5, 4] as const;
const LIGHT = [0, 1.5] as const;

function needsOf(cores: number): Stage['needs'] {
  return { processorsMilli: cores * 1_000, memoryMb: cores * 1_000, accelerators: 0 };
}

/** Returns the influence of each pair of images, drawn once. */
export function drawInfluence(seed: number): Influence {
  const generator = xoroshiro128plus(seed);
  const drawn = new Map<string, number>();
  return (serving, fill) => {
    const key = `${serving}|${fill}`;
    const known = drawn.get(key);
    if (known !== undefined) return known;
    const [low, high] = uniformFloat64(generator) < HEAVY_SHARE ? HEAVY : LIGHT;
    const value = low + uniformFloat64(generator) * (high - low);
    drawn.set(key, value);
    return value;
  };
}

function servingJob(index: number): WorkflowJob {
  const stage = stageOf(16, {
    needs: needsOf(13),
    isLasting: true,
    image: `serving${index}`,
    latencyTargetMs: TARGET_MS,
  });
  return jobOf(`serving${index}`, [stage]);
}

function batchJob(index: number): WorkflowJob {
  const changes = {
    needs: needsOf(7),
    estimateMs: TASK_MS,
    fillsIdle: true,
    savesCheckpoints: true,
    image: `fill${index % FILL_IMAGES}`,
  };
  const job = jobOf(`batch${index}`, [
    stageOf(16, changes),
    stageOf(16, { ...changes, dependsOn: [0] }),
  ]);
  return { ...job, policy: { ...job.policy, priority: BATCH_PRIORITY } };
}

/** Duration of a batch job's objective. */
const OBJECTIVE_MS = 2 * 2 * TASK_MS + 1_000;

const JOB_INTERVAL_MS = 1_500;
const BURST_INTERVAL_MS = 500;
const BATCH_JOBS = 24;
const BURST_FROM = 8;
const BURST_TO = 16;

/** Plays a steady load of batch jobs beside serving tasks, with a burst in its middle. */
export function playBurst(seed: number, influence: Influence): Colocated {
  const fleet = createColocated(seed, WORKERS, influence);
  fleet.advance(1_000);
  Array.from({ length: SERVING_IMAGES }, (_, index) => index).forEach((index) =>
    fleet.submit(servingJob(index), Infinity),
  );
  fleet.advance(3_000);
  Array.from({ length: BATCH_JOBS }, (_, index) => index).forEach((index) => {
    const isBurst = index >= BURST_FROM && index < BURST_TO;
    fleet.submit(batchJob(index), TASK_MS);
    fleet.advance(isBurst ? BURST_INTERVAL_MS : JOB_INTERVAL_MS);
  });
  fleet.advance(3 * OBJECTIVE_MS);
  return fleet;
}

function countInAim(fleet: Colocated): number {
  const batch = [...fleet.completed()].filter(([jobId]) => jobId.startsWith('batch'));
  return batch.filter(([, { ageMs }]) => Number(ageMs) <= OBJECTIVE_MS).length;
}

const OVERLOAD_INTERVAL_MS = 200;
const OVERLOAD_JOBS = 100;

/**
 * Share of the work of the overload that the processors which serving tasks leave idle can do in the time in
 * which it comes.
 */
export const OVERLOAD_CAPACITY = 0.64;

/** Plays batch jobs that ask for more than the idle processors of the fleet for a long time. */
export function playOverfull(seed: number, influence: Influence): Colocated {
  const fleet = createColocated(seed, WORKERS, influence);
  fleet.advance(1_000);
  Array.from({ length: SERVING_IMAGES }, (_, index) => index).forEach((index) =>
    fleet.submit(servingJob(index), Infinity),
  );
  fleet.advance(3_000);
  Array.from({ length: OVERLOAD_JOBS }, (_, index) => index).forEach((index) => {
    fleet.submit(batchJob(index), TASK_MS);
    fleet.advance(OVERLOAD_INTERVAL_MS);
  });
  fleet.advance(OBJECTIVE_MS);
  return fleet;
}

/** Share of the batch jobs of an overload that were complete within their objective. */
export function overfullInAim(fleet: Colocated): number {
  return countInAim(fleet) / OVERLOAD_JOBS;
}

/** Share of the batch jobs that were complete within their objective. */
export function shareInAim(fleet: Colocated): number {
  return countInAim(fleet) / BATCH_JOBS;
}

/** Share of the time of all serving tasks that they were over their target. */
export function harmedShare(fleet: Colocated): number {
  return fleet.harmedMs() / fleet.servedMs();
}
