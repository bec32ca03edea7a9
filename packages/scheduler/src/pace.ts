import type { FillShare, PairEstimates, PairObservation } from '@bronzeyoke/interference';
import {
  HARMED_RATIO,
  classifyFills,
  mergeFills,
  updatePairs,
  findSuspects,
} from '@bronzeyoke/interference';
import { logEffect } from '@bronzeyoke/telemetry';
import { advanceRun, taskProgress, withTasks } from '@bronzeyoke/workflow';
import type { Stage } from '@bronzeyoke/workflow';
import { putRun, runsOn } from './runs';
import { chain, chainAfter, unchanged, sendToWorker, withEffects } from './state';
import type { RunView, SchedulerEffect, SchedulerState, SchedulerStep } from './types';
import { runRef } from './types';

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
      ...sendToWorker(state, workerKey, { kind: 'pace', workerKey, run: ref, percent }),
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
  if (run === undefined || open === undefined) return unchanged(state);
  if (run.stopSentAtMs !== undefined) return unchanged(state);
  const { slot, jobId } = run;
  const stopping = advanceRun(taskProgress(open.progress, slot), 'stop');
  const progress = withTasks(open.progress, [[slot, stopping]]);
  const { workerKey, attempt } = run;
  return withEffects(
    {
      ...state,
      jobs: state.jobs.set(jobId, { ...open, progress }),
      runs: putRun(state.runs, task, { ...run, stopSentAtMs: nowMs }),
    },
    [
      ...sendToWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) }),
      logEffect('taskStopped', { job: jobId, task, attempt, worker: workerKey, reason }),
    ],
  );
}

/** Share of the worker that a filling task uses at a pace. */
function fillOf(
  { stage, run }: Listed,
  capacityMilli: number,
  pace = run.pace,
): readonly FillShare[] {
  const share = (stage.needs.processorsMilli * pace) / 100 / capacityMilli;
  return stage.image === undefined || pace === 0 ? [] : [{ image: stage.image, share }];
}

/** A serving task's tail latency and what filled beside it, both over the last half second. */
function observe(
  { stage, run }: Listed,
  fills: readonly Listed[],
  capacityMilli: number,
): PairObservation {
  return {
    servingImage: stage.image ?? '',
    ratio: run.load / Math.max(1, stage.latencyTargetMs ?? 1),
    fills: mergeFills(
      fills.flatMap((fill) =>
        fill.stage.image === undefined
          ? []
          : [{ image: fill.stage.image, share: fill.run.load / capacityMilli }],
      ),
    ),
  };
}

/** Log lines for pairs that are judged otherwise than before. */
function judgements(
  before: PairEstimates,
  after: PairEstimates,
  observations: readonly PairObservation[],
): readonly SchedulerEffect[] {
  return observations.flatMap(({ servingImage, fills, ratio }) =>
    fills
      .map((fill) => ({ fill, verdict: classifyFills(after, servingImage, [fill]) }))
      .filter(({ fill, verdict }) => verdict !== classifyFills(before, servingImage, [fill]))
      .map(({ fill: { image, share }, verdict }) =>
        logEffect('pairLearned', { serving: servingImage, fill: image, share, verdict, ratio }),
      ),
  );
}

/** What the pacing of one worker is decided on. */
interface Surroundings {
  readonly serving: readonly Listed[];
  readonly fills: readonly Listed[];
  readonly capacityMilli: number;
  readonly pairs: PairEstimates;
  readonly nowMs: number;
}

function isHarmful({ serving, pairs }: Surroundings, fills: readonly FillShare[]): boolean {
  return serving.some(({ stage }) => classifyFills(pairs, stage.image ?? '', fills) === 'harmful');
}

function harmsAlone(around: Surroundings, task: Listed): boolean {
  return !task.run.isLastResort && isHarmful(around, fillOf(task, around.capacityMilli, 100));
}

/** Holds the likely causes of harm back, and moves those that harm by themselves. */
function holdBack(
  step: SchedulerStep,
  around: Surroundings,
  harmed: readonly PairObservation[],
): SchedulerStep {
  const { serving, fills, capacityMilli, pairs, nowMs } = around;
  const beside = mergeFills(fills.flatMap((task) => fillOf(task, capacityMilli)));
  const isLong = serving.some(
    ({ run }) => run.harmedSinceMs !== undefined && nowMs - run.harmedSinceMs >= LONG_HARM_MS,
  );
  // Harm without a suspect is mostly the serving task's own load, unless it lasts.
  const culprits = new Set(
    isLong
      ? beside.map(({ image }) => image)
      : harmed.flatMap(({ servingImage }) => findSuspects(pairs, { servingImage, fills: beside })),
  );
  const paced = fills.filter(
    ({ stage, run }) => run.pace > 0 && (stage.image === undefined || culprits.has(stage.image)),
  );
  return chainAfter(
    step,
    paced.map(
      (task) => (current: SchedulerState) =>
        chain(current, [
          (before) => setPace(before, task, 0, 'harm', nowMs),
          (before) =>
            harmsAlone(around, task)
              ? stopRun(before, task.task, 'harm', nowMs)
              : unchanged(before),
        ]),
    ),
  );
}

/** Lets one held task go on if it fits beside the others, and moves those that harm by themselves. */
function letGoOn(step: SchedulerStep, around: Surroundings): SchedulerStep {
  const { fills, capacityMilli, nowMs } = around;
  const waiting = fills.filter(({ run }) => run.pace === 0 && nowMs - run.pacedAtMs >= CALM_MS);
  const beside = fills.flatMap((task) => fillOf(task, capacityMilli));
  const fits = (task: Listed): boolean =>
    !isHarmful(around, mergeFills([...beside, ...fillOf(task, capacityMilli, 100)]));
  const next = waiting.find((task) => task.run.isLastResort || fits(task));
  return chainAfter(step, [
    ...waiting
      .filter(
        (task) =>
          harmsAlone(around, task) ||
          (task.stage.savesCheckpoints && !task.run.isLastResort && !fits(task)),
      )
      .map(
        ({ task }) =>
          (current: SchedulerState) =>
            stopRun(current, task, 'harm', nowMs),
      ),
    ...(next === undefined
      ? []
      : [
          (current: SchedulerState) => {
            const percent = next.run.isLastResort ? LAST_RESORT_PERCENT : 100;
            return setPace(current, next, percent, 'calm', nowMs);
          },
        ]),
  ]);
}

/** Holds the tasks back that disturb a serving task, and lets them go on or elsewhere once it is calm. */
export function paceWorker(state: SchedulerState, workerKey: string, nowMs: number): SchedulerStep {
  const listed = listedOn(state, workerKey);
  const serving = listed.filter(({ stage }) => stage.latencyTargetMs !== undefined);
  const capacity = state.workers.get(workerKey)?.report?.capacity;
  if (serving.length === 0 || capacity === undefined) return unchanged(state);
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
  const capacityMilli = Math.max(1, capacity.processorsMilli);
  const filling = listed.filter(({ stage }) => stage.fillsIdle);
  const observations = serving.map((task) => observe(task, filling, capacityMilli));
  const pairs = observations.reduce(updatePairs, state.pairs);
  const learned = withEffects(
    { ...state, pairs, arePairsDirty: state.arePairsDirty || pairs !== state.pairs },
    judgements(state.pairs, pairs, observations),
  );
  const fills = filling.filter(({ run }) => run.stopSentAtMs === undefined);
  const around = { serving, fills, capacityMilli, pairs, nowMs };
  const harmed = observations.filter(({ ratio }) => ratio >= HARMED_RATIO);
  return harmed.length > 0 ? holdBack(learned, around, harmed) : letGoOn(learned, around);
}
