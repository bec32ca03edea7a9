import type { PairBook, PairObservation } from '@bronzeyoke/interference';
import { HARMED_RATIO, judgePair, observePairs, suspectsOf } from '@bronzeyoke/interference';
import { logEffect } from '@bronzeyoke/telemetry';
import { moveRun, taskOf, withTasks } from '@bronzeyoke/workflow';
import type { Stage } from '@bronzeyoke/workflow';
import { putRun, runsOn } from './runs';
import { chain, chainAfter, stay, tellWorker, withEffects } from './state';
import type { RunView, SchedulerEffect, SchedulerState, SchedulerStep } from './types';
import { runRef } from './types';

/** Loads are figures for the last half second, so a change shows only after that. */
const SETTLE_MS = 700;

/** Share at which a task works that was placed beside one that it harms. */
const LAST_RESORT_PERCENT = 10;

/** Harm that lasts so long is ended whatever its cause. */
const LONG_HARM_MS = 700;

/** How long the serving tasks of a worker have to be calm before a paced task works again. */
const CALM_MS = 800;

interface Listed {
  readonly task: string;
  readonly run: RunView;
  readonly stage: Stage;
}

function listedOn(state: SchedulerState, workerKey: string): readonly Listed[] {
  return [...runsOn(state.runs, workerKey)]
    .filter(([, run]) => run.isListed)
    .map(([task, run]) => ({ task, run, stage: run.stage }));
}

function setPace(
  state: SchedulerState,
  { task, run }: Listed,
  percent: number,
  reason: string,
  nowMs: number,
): SchedulerStep {
  const { workerKey, attempt } = run;
  const ref = runRef(task, attempt);
  return withEffects(
    { ...state, runs: putRun(state.runs, task, { ...run, pace: percent, pacedAtMs: nowMs }) },
    [
      ...tellWorker(state, workerKey, { kind: 'pace', workerKey, run: ref, percent }),
      logEffect('taskPaced', {
        task,
        attempt,
        worker: workerKey,
        image: run.stage.image ?? '',
        percent,
        reason,
      }),
    ],
  );
}

/** Stops a run so that its task is placed elsewhere; the end that the worker lists gives it back. */
export function stopRun(
  state: SchedulerState,
  task: string,
  reason: string,
  nowMs: number,
): SchedulerStep {
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  if (run === undefined || open === undefined) return stay(state);
  if (run.stopSentAtMs !== undefined) return stay(state);
  const { slot, jobId } = run;
  const stopping = moveRun(taskOf(open.progress, slot), 'stop');
  const progress = withTasks(open.progress, [[slot, stopping]]);
  const { workerKey, attempt } = run;
  return withEffects(
    {
      ...state,
      jobs: state.jobs.set(jobId, { ...open, progress }),
      runs: putRun(state.runs, task, { ...run, stopSentAtMs: nowMs }),
    },
    [
      ...tellWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) }),
      logEffect('taskStopped', { job: jobId, task, attempt, worker: workerKey, reason }),
    ],
  );
}

/** Images that have filled for long enough to show in the loads of now. */
function settledFills(listed: readonly Listed[], nowMs: number): readonly string[] {
  const working = listed.filter(
    ({ stage, run }) =>
      stage.fillsIdle &&
      run.pace > 0 &&
      run.stopSentAtMs === undefined &&
      nowMs - Math.max(run.listedAtMs, run.pacedAtMs) >= SETTLE_MS,
  );
  return [...new Set(working.flatMap(({ stage }) => stage.image ?? []))];
}

function observe({ stage, run }: Listed, fillImages: readonly string[]): PairObservation {
  return {
    servingImage: stage.image ?? '',
    ratio: run.load / Math.max(1, stage.latencyTargetMs ?? 1),
    fillImages,
  };
}

/** Log lines for pairs that are judged otherwise than before. */
function judgements(
  before: PairBook,
  after: PairBook,
  observations: readonly PairObservation[],
): readonly SchedulerEffect[] {
  if (before === after) return [];
  return observations.flatMap(({ servingImage, fillImages, ratio }) =>
    fillImages
      .map((fill) => ({ fill, verdict: judgePair(after, servingImage, fill) }))
      .filter(({ fill, verdict }) => verdict !== judgePair(before, servingImage, fill))
      .map(({ fill, verdict }) =>
        logEffect('pairLearned', { serving: servingImage, fill, verdict, ratio }),
      ),
  );
}

/** Holds the tasks back that disturb a serving task, and lets them go on or elsewhere once it is calm. */
export function paceWorker(state: SchedulerState, workerKey: string, nowMs: number): SchedulerStep {
  const listed = listedOn(state, workerKey);
  const serving = listed.filter(({ stage }) => stage.latencyTargetMs !== undefined);
  if (serving.length === 0) return stay(state);
  const unpaced = listed.filter(({ run }) => run.isLastResort && run.pace > LAST_RESORT_PERCENT);
  if (unpaced.length > 0) {
    return chain(
      state,
      unpaced.map(
        (task) => (current: SchedulerState) =>
          setPace(current, task, LAST_RESORT_PERCENT, 'lastResort', nowMs),
      ),
    );
  }
  const settled = settledFills(listed, nowMs);
  const observations = serving.map((task) => observe(task, settled));
  const pairs = observations.reduce(observePairs, state.pairs);
  const learned = withEffects(
    { ...state, pairs, arePairsDirty: state.arePairsDirty || pairs !== state.pairs },
    judgements(state.pairs, pairs, observations),
  );
  const isHarmful = ({ stage }: Listed): boolean =>
    serving.some(
      (other) => judgePair(pairs, other.stage.image ?? '', stage.image ?? '') === 'harmful',
    );
  const harmed = observations.filter(({ ratio }) => ratio >= HARMED_RATIO);
  const fills = listed.filter(
    ({ stage, run }) => stage.fillsIdle && run.stopSentAtMs === undefined,
  );
  if (harmed.length > 0) {
    const beside = fills.flatMap(({ stage, run }) =>
      run.pace > 0 && stage.image !== undefined ? [stage.image] : [],
    );
    const suspects = harmed.flatMap((observation) =>
      suspectsOf(pairs, { ...observation, fillImages: beside }),
    );
    const isLong = serving.some(
      ({ run }) => run.harmedSinceMs !== undefined && nowMs - run.harmedSinceMs >= LONG_HARM_MS,
    );
    // Harm without a suspect is mostly the serving task's own load, unless it lasts.
    const culprits = new Set(isLong ? beside : suspects);
    const paced = fills.filter(
      ({ stage, run }) => run.pace > 0 && (stage.image === undefined || culprits.has(stage.image)),
    );
    return chainAfter(
      learned,
      paced.map(
        (task) => (current: SchedulerState) =>
          chain(current, [
            (before) => setPace(before, task, 0, 'harm', nowMs),
            (before) =>
              isHarmful(task) && !task.run.isLastResort
                ? stopRun(before, task.task, 'harm', nowMs)
                : stay(before),
          ]),
      ),
    );
  }
  const waiting = fills.filter(({ run }) => run.pace === 0 && nowMs - run.pacedAtMs >= CALM_MS);
  const [first] = waiting.filter((task) => task.run.isLastResort || !isHarmful(task));
  return chainAfter(learned, [
    ...waiting
      .filter((task) => isHarmful(task) && !task.run.isLastResort)
      .map(
        ({ task }) =>
          (current: SchedulerState) =>
            stopRun(current, task, 'harm', nowMs),
      ),
    ...(first === undefined
      ? []
      : [
          (current: SchedulerState) =>
            setPace(
              current,
              first,
              first.run.isLastResort ? LAST_RESORT_PERCENT : 100,
              'calm',
              nowMs,
            ),
        ]),
  ]);
}
