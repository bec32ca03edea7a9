import type { FillShare, PairEstimates, PairObservation } from '@bronzeyoke/interference';
import {
  classifyFills,
  findSuspects,
  HARMED_RATIO,
  learnFrom,
  mergeFills,
} from '@bronzeyoke/interference';
import type { EventFields } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import { chainAfter, chainAll, unchanged, without } from '@bronzeyoke/types';
import { advanceRun, taskProgress, withTasks } from '@bronzeyoke/workflow';
import type { Stage } from '@bronzeyoke/workflow';
import { recordTaskTime, taskTime } from '../jobs/openjob';
import { putRun, runsOn } from '../runs';
import { sendToWorker, withEffects } from '../state';
import { taskLog } from '../tasklog';
import type { SchedulerEffect, SchedulerState, SchedulerStep } from '../types';
import { runRef } from '../types';
import type { InheritedPace, RunView } from '../views';

/** Pace of a task that was placed beside one that it harms. */
const LAST_RESORT_PERCENT = 10;

/** Duration of harm after which all filling tasks are paused, whatever the cause. */
const PROLONGED_HARM_MS = 700;

/** Shortest pause of a task before it may resume beside unharmed serving tasks. */
const MIN_PAUSE_MS = 800;

/** Time after which a pace order to an adopted run is sent again if it has no effect. */
const PACE_REPEAT_MS = 600;

/** Pace orders to one adopted run. All are sent before it can count as stalled. */
const MAX_INHERITED_ORDERS = 4;

interface ListedTask {
  readonly task: string;
  readonly run: RunView;
  readonly stage: Stage;
}

function listedTasks(state: SchedulerState, workerKey: string): readonly ListedTask[] {
  return [...runsOn(state.runs, workerKey)]
    .filter(([, run]) => run.isListed)
    .map(([task, run]) => ({ task, run, stage: run.stage }));
}

function setPace(
  state: SchedulerState,
  { task, run }: ListedTask,
  percent: number,
  reason: string,
  nowMs: number,
  evidence: EventFields = {},
): SchedulerStep {
  const { workerKey, attempt } = run;
  const ref = runRef(task, attempt);
  const paced = { ...without(run, 'inheritedPace'), pace: percent, pacedAtMs: nowMs };
  const recorded = recordTaskTime(state, run, { kind: 'paced', percent }, nowMs);
  return withEffects({ ...recorded, runs: putRun(state.runs, task, paced) }, [
    ...sendToWorker(state, workerKey, { kind: 'pace', workerKey, run: ref, percent }),
    logEffect('taskPaced', {
      task,
      attempt,
      worker: workerKey,
      image: run.stage.image ?? '',
      percent,
      reason,
      ...evidence,
    }),
  ]);
}

/** Stops a run so that its task is placed elsewhere once the worker lists the end. */
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
  const time = taskTime(open, slot, { kind: 'stopped' }, nowMs);
  return withEffects(
    {
      ...state,
      jobs: state.jobs.set(jobId, { ...open, progress, ...time }),
      runs: putRun(state.runs, task, { ...run, stopSentAtMs: nowMs }),
    },
    [
      ...sendToWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) }),
      taskLog(run.stage, 'taskStopped', { job: jobId, task, attempt, worker: workerKey, reason }),
    ],
  );
}

/** Returns the share of the worker that a filling task uses at a pace; empty when it is paused. */
function fillShares(
  { stage, run }: ListedTask,
  capacityMilli: number,
  pace = run.pace,
): readonly FillShare[] {
  const share = (stage.needs.processorsMilli * pace) / 100 / capacityMilli;
  return stage.image === undefined || pace === 0 ? [] : [{ image: stage.image, share }];
}

/** Returns a serving task's tail latency and the fills beside it, both over the last half second. */
function observeTask(
  { stage, run }: ListedTask,
  fills: readonly ListedTask[],
  capacityMilli: number,
): PairObservation {
  return {
    servingImage: stage.image ?? '',
    ...(run.ownLoad === undefined ? {} : { own: run.ownLoad }),
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

/** Learns from the observations of a worker's serving tasks, of pairs of images and of each task. */
function learnPairs(
  state: SchedulerState,
  serving: readonly ListedTask[],
  observations: readonly PairObservation[],
): Pick<SchedulerState, 'pairs' | 'runs'> {
  return observations.reduce<Pick<SchedulerState, 'pairs' | 'runs'>>(
    ({ pairs, runs }, observation, index) => {
      const listed = serving[index];
      const { estimates, own } = learnFrom(pairs, observation);
      if (listed === undefined) return { pairs: estimates, runs };
      const { task, run } = listed;
      return { pairs: estimates, runs: putRun(runs, task, { ...run, ownLoad: own }) };
    },
    { pairs: state.pairs, runs: state.runs },
  );
}

/** Returns log effects for the pairs whose verdict changed. */
function verdictLogs(
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

/** Inputs of the pacing decisions for one worker. */
interface PacingContext {
  readonly serving: readonly ListedTask[];
  readonly fills: readonly ListedTask[];
  readonly capacityMilli: number;
  readonly pairs: PairEstimates;
  /** Estimates before the report, on which the placement of the fills rests. */
  readonly pairsBefore: PairEstimates;
  readonly nowMs: number;
}

function isHarmful({ serving, pairs }: PacingContext, fills: readonly FillShare[]): boolean {
  return serving.some(({ stage }) => classifyFills(pairs, stage.image ?? '', fills) === 'harmful');
}

function isHarmfulAlone(context: PacingContext, task: ListedTask): boolean {
  return !task.run.isLastResort && isHarmful(context, fillShares(task, context.capacityMilli, 100));
}

/** Returns what a pause rests on: the serving image that is harmed most, and what was expected beside it. */
function harmEvidence(
  { fills, capacityMilli, pairsBefore }: PacingContext,
  harmed: readonly PairObservation[],
  task: ListedTask,
): EventFields {
  const [worst] = harmed.toSorted((left, right) => right.ratio - left.ratio);
  if (worst === undefined) return {};
  const { servingImage, ratio } = worst;
  const expect = (shares: readonly FillShare[]): string =>
    classifyFills(pairsBefore, servingImage, mergeFills(shares));
  return {
    serving: servingImage,
    ratio: Math.round(ratio * 100) / 100,
    expectedAlone: expect(fillShares(task, capacityMilli, 100)),
    expectedAll: expect(fills.flatMap((fill) => fillShares(fill, capacityMilli))),
  };
}

/** Pauses the likely causes of harm, and moves those that are harmful on their own. */
function pauseSuspects(
  step: SchedulerStep,
  context: PacingContext,
  harmed: readonly PairObservation[],
): SchedulerStep {
  const { serving, fills, capacityMilli, pairs, nowMs } = context;
  const runningFills = mergeFills(fills.flatMap((task) => fillShares(task, capacityMilli)));
  const isProlonged = serving.some(
    ({ run }) => run.harmedSinceMs !== undefined && nowMs - run.harmedSinceMs >= PROLONGED_HARM_MS,
  );
  // Harm without a suspect is mostly the serving task's own load, unless it lasts.
  const suspects = new Set(
    isProlonged
      ? runningFills.map(({ image }) => image)
      : harmed.flatMap(({ servingImage }) =>
          findSuspects(pairs, { servingImage, fills: runningFills }),
        ),
  );
  const paced = fills.filter(
    ({ stage, run }) => run.pace > 0 && (stage.image === undefined || suspects.has(stage.image)),
  );
  return chainAfter(
    step,
    paced.map(
      (task) => (current: SchedulerState) =>
        chainAll(current, [
          (before) => setPace(before, task, 0, 'harm', nowMs, harmEvidence(context, harmed, task)),
          (before) =>
            isHarmfulAlone(context, task)
              ? stopRun(before, task.task, 'harm', nowMs)
              : unchanged(before),
        ]),
    ),
  );
}

/**
 * Resumes one paused task if it fits beside the others. Moves paused tasks that are harmful on their
 * own, and those with checkpoints that do not fit.
 */
function resumePaused(step: SchedulerStep, context: PacingContext): SchedulerStep {
  const { fills, capacityMilli, nowMs } = context;
  const paused = fills.filter(({ run }) => run.pace === 0 && nowMs - run.pacedAtMs >= MIN_PAUSE_MS);
  const runningFills = fills.flatMap((task) => fillShares(task, capacityMilli));
  const fits = (task: ListedTask): boolean =>
    !isHarmful(context, mergeFills([...runningFills, ...fillShares(task, capacityMilli, 100)]));
  const next = paused.find((task) => task.run.isLastResort || fits(task));
  return chainAfter(step, [
    ...paused
      .filter(
        (task) =>
          isHarmfulAlone(context, task) ||
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

/** Returns the pace orders that an adopted run needs; none unless the leader before may have paced it. */
export function inheritedPaceOf(
  stage: Stage,
  nowMs: number,
): { readonly inheritedPace?: InheritedPace } {
  return stage.fillsIdle
    ? { inheritedPace: { dueAtMs: nowMs, ordersLeft: MAX_INHERITED_ORDERS } }
    : {};
}

/**
 * Sends an adopted run the full pace that this leader assumes. The order is repeated while the run
 * neither progresses nor uses processors, because a run that stays paused would count as stalled and as
 * a failure of its worker. A lost order to a run at a low pace is not repeated: the run progresses, and
 * its load is known from the list.
 */
function resetInheritedPace(
  state: SchedulerState,
  { task, run }: ListedTask,
  nowMs: number,
): SchedulerStep {
  const { inheritedPace, workerKey, attempt } = run;
  if (inheritedPace === undefined || nowMs < inheritedPace.dueAtMs) return unchanged(state);
  const { ordersLeft } = inheritedPace;
  const isFirst = ordersLeft === MAX_INHERITED_ORDERS;
  const hasEffect = !isFirst && (run.load > 0 || run.percentAtMs > run.listedAtMs);
  if (hasEffect || ordersLeft === 0) {
    const known = without(run, 'inheritedPace');
    return unchanged({ ...state, runs: putRun(state.runs, task, known) });
  }
  const ordered: RunView = {
    ...run,
    // The time without progress counts from the first order; repeats must not extend it.
    pacedAtMs: isFirst ? nowMs : run.pacedAtMs,
    inheritedPace: { dueAtMs: nowMs + PACE_REPEAT_MS, ordersLeft: ordersLeft - 1 },
  };
  // Not logged: a new leader sends one for each filling task, and the lines would push out others.
  return withEffects(
    { ...state, runs: putRun(state.runs, task, ordered) },
    sendToWorker(state, workerKey, {
      kind: 'pace',
      workerKey,
      run: runRef(task, attempt),
      percent: run.pace,
    }),
  );
}

/** Resets the pace of adopted runs that no other decision has paced or stopped. */
function resetInheritedPaces(
  state: SchedulerState,
  workerKey: string,
  nowMs: number,
): SchedulerStep {
  return chainAll(
    state,
    listedTasks(state, workerKey)
      .filter(({ run }) => run.stopSentAtMs === undefined)
      .map((listed) => (current: SchedulerState) => resetInheritedPace(current, listed, nowMs)),
  );
}

function paceBesideServing(state: SchedulerState, workerKey: string, nowMs: number): SchedulerStep {
  const listed = listedTasks(state, workerKey);
  const serving = listed.filter(({ stage }) => stage.latencyTargetMs !== undefined);
  const capacity = state.workers.get(workerKey)?.report?.capacity;
  if (serving.length === 0 || capacity === undefined) return unchanged(state);
  const unpaced = listed.filter(({ run }) => run.isLastResort && run.pace > LAST_RESORT_PERCENT);
  if (unpaced.length > 0) {
    return chainAll(
      state,
      unpaced.map(
        (task) => (current: SchedulerState) =>
          setPace(current, task, LAST_RESORT_PERCENT, 'lastResort', nowMs),
      ),
    );
  }
  const capacityMilli = Math.max(1, capacity.processorsMilli);
  const filling = listed.filter(({ stage }) => stage.fillsIdle);
  const observations = serving.map((task) => observeTask(task, filling, capacityMilli));
  const { pairs, runs } = learnPairs(state, serving, observations);
  const updated = withEffects(
    { ...state, pairs, runs, arePairsDirty: state.arePairsDirty || pairs !== state.pairs },
    verdictLogs(state.pairs, pairs, observations),
  );
  const fills = filling.filter(({ run }) => run.stopSentAtMs === undefined);
  const context = { serving, fills, capacityMilli, pairs, pairsBefore: state.pairs, nowMs };
  const harmed = observations.filter(({ ratio }) => ratio >= HARMED_RATIO);
  return harmed.length > 0
    ? pauseSuspects(updated, context, harmed)
    : resumePaused(updated, context);
}

/**
 * Pauses tasks that harm a serving task, and resumes or moves them once the harm has ended. A report
 * leads to at most one pace order for a run, since the worker may carry out two in either order.
 */
export function paceWorker(state: SchedulerState, workerKey: string, nowMs: number): SchedulerStep {
  return chainAll(state, [
    (current) => paceBesideServing(current, workerKey, nowMs),
    (current) => resetInheritedPaces(current, workerKey, nowMs),
  ]);
}
