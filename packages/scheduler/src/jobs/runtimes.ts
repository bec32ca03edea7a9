import type { RunTimeKey } from '@bronzeyoke/runtimes';
import {
  earliestRemainingMs,
  observationCount,
  recordRunTime,
  remainingMs,
  runTimeMs,
  sizeClassOf,
} from '@bronzeyoke/runtimes';
import type { Stage } from '@bronzeyoke/workflow';
import { policyOf } from '../policy';
import type { SchedulerState } from '../types';
import type { OpenJob, RunView } from '../views';

/** Quantile of the run time before which a run hardly ends, and observations from which it is known. */
const EARLIEST = 0.05;
const KNOWN_EARLIEST_COUNT = 20;

/**
 * Quantile of the run time up to which a task hardly goes on, and observations from which it is known. On
 * one deployment 3% of the tasks take seven times as long; among so many observations there is nearly
 * always one of them.
 */
const LATEST = 0.99;
const KNOWN_LATEST_COUNT = 60;

const FULL_PACE_PERCENT = 100;

function keyOf(queue: string, { needs }: Stage): RunTimeKey {
  return { queue, sizeClass: sizeClassOf(needs.processorsMilli) };
}

/** Returns whether the time of a run is that of its work: begun here from the start, and never slowed. */
function isWholeRun({ latency }: OpenJob, run: RunView): boolean {
  const paced = latency.tasks.get(run.slot)?.run.paced ?? 0;
  return (
    run.attempt === 1 &&
    run.keptUntilMs === undefined &&
    run.stopSentAtMs === undefined &&
    run.pace === FULL_PACE_PERCENT &&
    paced === 0
  );
}

/** Records the time of a run whose end as done was listed, from its claim. */
export function learnRunTime(
  state: SchedulerState,
  open: OpenJob,
  run: RunView,
  nowMs: number,
): SchedulerState {
  if (!policyOf(state.settings).learnsRunTimes || !isWholeRun(open, run)) return state;
  const key = keyOf(open.job.policy.queue, run.stage);
  const durationMs = nowMs - run.claimedAtMs;
  const runTimes = recordRunTime(state.runTimes, key, durationMs, run.stage.estimateMs);
  return { ...state, runTimes };
}

/** Returns the run time, from the claim, that a share of a stage's tasks does not exceed. */
export function expectedRunMs(
  { runTimes }: Pick<SchedulerState, 'runTimes'>,
  queue: string,
  stage: Stage,
  quantile: number,
): number {
  return runTimeMs(runTimes, keyOf(queue, stage), quantile, stage.estimateMs);
}

/** Returns what is left of a run that was claimed some time ago, for a share of such runs. */
export function expectedRestMs(
  { runTimes }: Pick<SchedulerState, 'runTimes'>,
  queue: string,
  stage: Stage,
  elapsedMs: number,
  quantile: number,
): number {
  return remainingMs(runTimes, keyOf(queue, stage), elapsedMs, quantile, stage.estimateMs);
}

/** Returns the run time that tasks of a stage hardly ever exceed; undefined while too little is known. */
export function latestRunMs(
  { runTimes }: Pick<SchedulerState, 'runTimes'>,
  queue: string,
  stage: Stage,
): number | undefined {
  const key = keyOf(queue, stage);
  return observationCount(runTimes, key) < KNOWN_LATEST_COUNT
    ? undefined
    : runTimeMs(runTimes, key, LATEST, stage.estimateMs);
}

/**
 * Returns the time before which a run hardly ends by itself. A run that was taken over, started anew or
 * slowed down may end at any time, as may one of a key of which too little is known.
 */
export function earliestRestMs(state: SchedulerState, task: string, nowMs: number): number {
  const run = state.runs.byTask.get(task);
  const open = state.jobs.get(run?.jobId ?? '');
  if (run === undefined || open === undefined || !isWholeRun(open, run)) return 0;
  const { stage, claimedAtMs } = run;
  const key = keyOf(open.job.policy.queue, stage);
  const elapsedMs = nowMs - claimedAtMs;
  return observationCount(state.runTimes, key) < KNOWN_EARLIEST_COUNT
    ? 0
    : earliestRemainingMs(state.runTimes, key, elapsedMs, EARLIEST, stage.estimateMs);
}
