import { performance } from 'node:perf_hooks';
import type { WorkflowJob } from '@bronzeyoke/workflow';
import type { Colocated, Handle } from '../../packages/scheduler/test/colocated';
import { createColocated } from '../../packages/scheduler/test/colocated';
import { drawInfluence } from '../../packages/scheduler/test/colocatedburst';
import { dispatch } from '../../packages/scheduler/test/fixture';
import { coreStage, priorityJob } from './fleet';

const SEED = 1;

/** Processors of the entry that leads: passes, and the pauses after them, are longer by this factor. */
const PROCESSORS = 0.675;

/** Virtual time before and during the measurement. */
const WARM_UP_MS = 4_000;
const MEASURED_MS = 6_000;
const STEP_MS = 10;

/** Serving tasks that reserve 65% of a fleet of 64 cores each. */
const SERVING_TASKS = 24;
const SERVING_CORES = 7;
const SERVING_IMAGES = 10;
const SERVED_SHARE = 0.65;
const WORKER_CORES = 64;

/** Wide filling jobs, and narrow ones with room of their own; together some 350 tasks a second. */
const WIDE = { jobsPerS: 2.7, tasks: 39, cores: 7, taskMs: 2_400 } as const;
const NARROW = { jobsPerS: 9, tasks: 8, cores: 3.6, taskMs: 1_140 } as const;

const FILL_IMAGES = 20;
const FILL_PRIORITY = 2;
const FAILED_SHARE = 0.04;

/** What a leader's core has spent on a stream of tasks, in ms of processor time. */
export interface StreamCost {
  readonly starts: number;
  readonly passes: number;
  readonly ms: number;
  readonly msByKind: ReadonlyMap<string, number>;
}

function servingJobs(workers: number): readonly WorkflowJob[] {
  const reserved = workers * WORKER_CORES * SERVED_SHARE;
  return Array.from(
    { length: Math.round(reserved / (SERVING_TASKS * SERVING_CORES)) },
    (_, index) =>
      priorityJob(
        `serving${index}`,
        coreStage(SERVING_TASKS, SERVING_CORES, {
          isLasting: true,
          image: `serving${index % SERVING_IMAGES}`,
          latencyTargetMs: 20,
        }),
      ),
  );
}

function wideJob(index: number): WorkflowJob {
  const stage = coreStage(WIDE.tasks, WIDE.cores, {
    fillsIdle: true,
    savesCheckpoints: true,
    image: `fill${index % FILL_IMAGES}`,
  });
  const job = priorityJob(`wide${index}`, stage, FILL_PRIORITY);
  return { ...job, stages: [stage, { ...stage, dependsOn: [0] }] };
}

function narrowJob(index: number): WorkflowJob {
  const stage = coreStage(NARROW.tasks, NARROW.cores, { estimateMs: NARROW.taskMs });
  const job = priorityJob(`narrow${index}`, stage);
  return { ...job, stages: [stage, { ...stage, dependsOn: [0] }] };
}

/** Submits the jobs that are due in a step of virtual time. */
function submitDue(fleet: Colocated, elapsedMs: number): void {
  const due = (jobsPerS: number): readonly number[] => {
    const before = Math.floor((jobsPerS * elapsedMs) / 1_000);
    const after = Math.floor((jobsPerS * (elapsedMs + STEP_MS)) / 1_000);
    return Array.from({ length: after - before }, (_, index) => before + index);
  };
  due(WIDE.jobsPerS).forEach((index) => fleet.submit(wideJob(index), WIDE.taskMs));
  due(NARROW.jobsPerS).forEach((index) => fleet.submit(narrowJob(index), NARROW.taskMs));
}

/** Plays a steady stream of jobs on a fleet, and returns what the leader's core has spent on it. */
export function measureStream(workers: number): StreamCost {
  const known = { isOn: false, starts: 0, passes: 0, ms: 0 };
  const msByKind = new Map<string, number>();
  const handle: Handle = (kind, before, change) => {
    const startMs = performance.now();
    const after = change(before);
    const tookMs = performance.now() - startMs;
    const hasPlaced = after.state.passCount !== before.state.passCount;
    if (known.isOn) {
      const key = hasPlaced ? `${kind}, pass` : kind;
      msByKind.set(key, (msByKind.get(key) ?? 0) + tookMs);
      known.ms += tookMs;
      known.passes += Number(hasPlaced);
      known.starts += after.effects.filter(
        (effect) => effect.kind === 'send' && effect.message.kind === 'start',
      ).length;
    }
    const durationMs = tookMs / PROCESSORS;
    return hasPlaced ? dispatch(after, { kind: 'passTook', durationMs }) : after;
  };
  const options = { failedShare: FAILED_SHARE, handle };
  const fleet = createColocated(SEED, workers, drawInfluence(SEED), options);
  fleet.advance(1_000);
  servingJobs(workers).forEach((job) => fleet.submit(job, Infinity));
  fleet.advance(3_000);
  const steps = Array.from(
    { length: (WARM_UP_MS + MEASURED_MS) / STEP_MS },
    (_, step) => step * STEP_MS,
  );
  steps.forEach((elapsedMs) => {
    known.isOn = elapsedMs >= WARM_UP_MS;
    submitDue(fleet, elapsedMs);
    fleet.advance(STEP_MS);
  });
  return { ...known, msByKind };
}
