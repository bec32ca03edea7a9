import type { RunTimeKey } from '@bronzeyoke/runtimes';
import {
  observationCount,
  recordRunTime,
  remainingMs,
  runTimeMs,
  sizeClassOf,
} from '@bronzeyoke/runtimes';
import type { Stage } from '@bronzeyoke/workflow';
import type { SchedulerState } from '../types';
import type { OpenJob, RunView } from '../views';

/** Observations from which on the tail of a key's run times counts as known. */
const KNOWN_TAIL_COUNT = 20;

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
  if (state.settings.policy?.learnsRunTimes !== true || !isWholeRun(open, run)) return state;
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

/** Returns whether enough runs were observed to tell how long nearly all tasks of a stage take. */
export function isTailKnown(
  { runTimes }: Pick<SchedulerState, 'runTimes'>,
  queue: string,
  stage: Stage,
): boolean {
  return observationCount(runTimes, keyOf(queue, stage)) >= KNOWN_TAIL_COUNT;
}
