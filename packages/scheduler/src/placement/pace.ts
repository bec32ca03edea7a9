import type { FillShare, Paces, PairEstimates, PairObservation } from '@bronzeyoke/interference';
import {
  classifyFills,
  findSuspects,
  FULL_PACES,
  HARMED_RATIO,
  lowerPaces,
  mergeFills,
  reducedPaces,
  SLOWING_RATIO,
  sustainablePaces,
} from '@bronzeyoke/interference';
import type { EventFields } from '@bronzeyoke/telemetry';
import { chainAfter, chainAll, unchanged } from '@bronzeyoke/types';
import type { SchedulerState, SchedulerStep } from '../types';
import { resetInheritedPaces } from './inheritedpace';
import { learnPairs, observeTasks } from './pairlearning';
import type { ListedTask } from './runorders';
import { listedTasks, setPace, stopRun } from './runorders';

/** First and lowest pace of a task that was placed beside one that it harms. */
const LAST_RESORT_PERCENT = 10;

/** Duration of harm after which all filling tasks are paused, whatever the cause. */
const PROLONGED_HARM_MS = 1_000;

/** Time after a pace order until its effect is listed: an order, half a second of averages, a report. */
const SETTLE_MS = 700;

/** Ratio of tail latency to target up to which slowed tasks may go faster. */
const CALM_RATIO = 0.75;

/** Lowest pace; a task that may do less is paused. */
const MIN_PERCENT = 10;

/** Smallest change of a pace that is worth an order. */
const MIN_CHANGE_PERCENT = 10;

/** Largest step of a pace upwards: the estimates may be wrong, and the effect comes late. */
const MAX_RAISE_PERCENT = 50;

/**
 * Time that a task may lose at a low pace until it is moved. A move takes longer, but it lets the tasks that
 * stay go faster.
 */
const MAX_LOSS_MS = 400;

/** Pace below which a task that is not raised in time is moved: a serving task may be loaded by itself. */
const LOW_PERCENT = 50;

/** Longest time at a low pace. */
const MAX_LOW_PACE_MS = 2_000;

/** Returns the share of the worker that a filling task uses at a pace; empty when it is paused. */
function fillShares(
  { stage, run }: ListedTask,
  capacityMilli: number,
  pace = run.pace,
): readonly FillShare[] {
  const share = (stage.needs.processorsMilli * pace) / 100 / capacityMilli;
  return stage.image === undefined || pace === 0 ? [] : [{ image: stage.image, share }];
}

/** Inputs of the pacing decisions for one worker. */
interface PacingContext {
  readonly serving: readonly ListedTask[];
  /** Filling tasks that are not being stopped. */
  readonly fills: readonly ListedTask[];
  readonly capacityMilli: number;
  readonly pairs: PairEstimates;
  /** Estimates before the report, on which the placement of the fills rests. */
  readonly pairsBefore: PairEstimates;
  readonly observations: readonly PairObservation[];
  readonly nowMs: number;
}

/** Returns the shares of some filling tasks by image, at their present pace or at another one. */
function sharesOf(
  { capacityMilli }: PacingContext,
  tasks: readonly ListedTask[],
  percent?: number,
): readonly FillShare[] {
  return mergeFills(tasks.flatMap((task) => fillShares(task, capacityMilli, percent)));
}

/** Returns what a pause rests on: the serving image that is harmed most, and what was expected beside it. */
function harmEvidence(context: PacingContext, task: ListedTask): EventFields {
  const { fills, pairsBefore, observations } = context;
  const [worst] = observations.toSorted((left, right) => right.ratio - left.ratio);
  if (worst === undefined) return {};
  const { servingImage, ratio } = worst;
  const expect = (tasks: readonly ListedTask[], percent?: number): string =>
    classifyFills(pairsBefore, servingImage, sharesOf(context, tasks, percent));
  return {
    serving: servingImage,
    ratio: Math.round(ratio * 100) / 100,
    expectedAlone: expect([task], 100),
    expectedAll: expect(fills),
  };
}

/** Rounds a pace. One that was placed as a last resort goes on, because it has no better place. */
function limitPercent({ run }: ListedTask, percent: number): number {
  if (run.isLastResort && percent > 0) return Math.max(LAST_RESORT_PERCENT, Math.round(percent));
  return percent < MIN_PERCENT ? 0 : Math.round(percent);
}

/** Returns the pace of a task in percent by the paces of images. */
function percentOf(task: ListedTask, paces: Paces): number {
  return limitPercent(task, 100 * paces.get(task.stage.image ?? '', 1));
}

function isProlonged({ serving, nowMs }: PacingContext): boolean {
  return serving.some(
    ({ run }) => run.harmedSinceMs !== undefined && nowMs - run.harmedSinceMs >= PROLONGED_HARM_MS,
  );
}

/** Returns the paces that stop the unproven images beside a serving task that is harmed. */
function pausedSuspects(context: PacingContext): Paces {
  const { fills, pairs, observations } = context;
  const running = sharesOf(context, fills);
  const suspects = observations
    .filter(({ ratio }) => ratio >= HARMED_RATIO)
    .flatMap(({ servingImage }) => {
      const found = findSuspects(pairs, { servingImage, fills: running });
      return found.filter(
        (image) =>
          classifyFills(
            pairs,
            servingImage,
            sharesOf(context, fills, 100).filter((fill) => fill.image === image),
          ) === 'unknown',
      );
    });
  return suspects.reduce<Paces>((paces, image) => paces.set(image, 0), FULL_PACES);
}

/** Returns the paces that let the serving tasks recover. */
function recoveryPaces(context: PacingContext): Paces {
  const { fills, pairs, observations } = context;
  const fullFills = sharesOf(context, fills, 100);
  if (isProlonged(context)) {
    return fullFills.reduce<Paces>((paces, { image }) => paces.set(image, 0), FULL_PACES);
  }
  const presentFills = sharesOf(context, fills);
  return observations.reduce(
    (paces, { servingImage, ratio }) =>
      lowerPaces(paces, reducedPaces(pairs, { servingImage, ratio, fullFills, presentFills })),
    pausedSuspects(context),
  );
}

/** Returns the tasks that have been slow for so long that another worker is better. */
function longSlowed({ fills, nowMs }: PacingContext): readonly ListedTask[] {
  return fills.filter(
    ({ run }) =>
      run.pace < LOW_PERCENT && !run.isLastResort && nowMs - run.pacedAtMs >= MAX_LOW_PACE_MS,
  );
}

function moveTasks(
  step: SchedulerStep,
  tasks: readonly ListedTask[],
  nowMs: number,
): SchedulerStep {
  return chainAfter(
    step,
    tasks.map(
      ({ task }) =>
        (current: SchedulerState) =>
          stopRun(current, task, 'harm', nowMs),
    ),
  );
}

/** Slows the filling tasks down that a serving task has to recover from. */
function slowFills(step: SchedulerStep, context: PacingContext): SchedulerStep {
  const { fills, observations, nowMs } = context;
  const isSettling = fills.some(({ run }) => nowMs - run.pacedAtMs < SETTLE_MS && run.pace < 100);
  const moving = longSlowed(context);
  const moved = moveTasks(step, moving, nowMs);
  if (isSettling && !isProlonged(context)) return moved;
  const paces = recoveryPaces(context);
  const isHarmed = observations.some(({ ratio }) => ratio >= HARMED_RATIO);
  // A pace order writes the run as it was before the stop.
  const slower = fills
    .filter((task) => !moving.includes(task))
    .map((task) => {
      // Nothing is known of a task without an image.
      const percent = task.stage.image === undefined && isHarmed ? 0 : percentOf(task, paces);
      return { task, percent };
    })
    .filter(
      ({ task: { run }, percent }) =>
        percent < run.pace && (percent === 0 || run.pace - percent >= MIN_CHANGE_PERCENT),
    );
  return chainAfter(
    moved,
    slower.map(
      ({ task, percent }) =>
        (current: SchedulerState) =>
          setPace(current, task, percent, 'harm', nowMs, harmEvidence(context, task)),
    ),
  );
}

/** Lets slowed tasks go faster while the serving tasks are calm, up to what the estimates allow. */
function raiseFills(step: SchedulerStep, context: PacingContext, plan: Paces): SchedulerStep {
  const { fills, nowMs } = context;
  const faster = fills
    .map((task) => {
      const allowed = percentOf(task, plan);
      return { task, percent: Math.min(allowed, task.run.pace + MAX_RAISE_PERCENT) };
    })
    .filter(
      ({ task: { run }, percent }) =>
        nowMs - run.pacedAtMs >= SETTLE_MS &&
        percent - run.pace >= Math.min(MIN_CHANGE_PERCENT, 100 - run.pace) &&
        percent > run.pace,
    );
  return chainAfter(
    step,
    faster.map(
      ({ task, percent }) =>
        (current: SchedulerState) =>
          setPace(current, task, percent, 'calm', nowMs),
    ),
  );
}

/** Returns the paces at which some filling tasks harm none of the serving ones, by the estimates. */
function planOf(context: PacingContext, tasks: readonly ListedTask[]): Paces {
  const { serving, pairs } = context;
  const images = [...new Set(serving.flatMap(({ stage }) => stage.image ?? []))];
  return sustainablePaces(pairs, images, sharesOf(context, tasks, 100));
}

/** Returns whether a task is done sooner elsewhere than at a pace here, with what a stop throws away. */
function isWorthMoving({ stage, run }: ListedTask, percent: number, nowMs: number): boolean {
  const leftMs = stage.estimateMs * (1 - run.percent / 100);
  const lostWorkMs = stage.savesCheckpoints ? 0 : nowMs - run.listedAtMs;
  const slowedByMs = percent === 0 ? Infinity : leftMs * (100 / percent - 1);
  return slowedByMs > MAX_LOSS_MS + lostWorkMs;
}

/** Tasks that stay on a worker, and those that are moved away. */
interface MovePlan {
  readonly staying: readonly ListedTask[];
  readonly moving: readonly ListedTask[];
  /** Paces that those that stay may have. */
  readonly paces: Paces;
}

/**
 * Chooses the slowed tasks to move. The latest ones come first, because they have the least to lose; each
 * that leaves lets the others go faster.
 */
function chooseMoves(context: PacingContext): MovePlan {
  const { fills, nowMs } = context;
  const slow = longSlowed(context);
  const slowed = fills
    .filter(({ run, stage }) => run.pace < 100 && !run.isLastResort && stage.image !== undefined)
    .filter((task) => !slow.includes(task))
    .toSorted((left, right) => right.run.claimedAtMs - left.run.claimedAtMs);
  const planWithout = (leaving: readonly ListedTask[]): MovePlan => {
    const staying = fills.filter((task) => !leaving.includes(task));
    return { staying, moving: leaving, paces: planOf(context, staying) };
  };
  return slowed.reduce<MovePlan>(
    (plan, task) =>
      isWorthMoving(task, percentOf(task, plan.paces), nowMs)
        ? planWithout([...plan.moving, task])
        : plan,
    planWithout(slow),
  );
}

/** Moves tasks that are done sooner elsewhere, and lets the others go as fast as they may. */
function relieveFills(step: SchedulerStep, context: PacingContext): SchedulerStep {
  const { observations, nowMs } = context;
  const { staying, moving, paces } = chooseMoves(context);
  const stopped = moveTasks(step, moving, nowMs);
  const isCalm = observations.every(({ ratio }) => ratio < CALM_RATIO);
  if (!isCalm) return stopped;
  return raiseFills(stopped, { ...context, fills: staying }, paces);
}

/** Returns slowed tasks to full pace on a worker whose serving tasks have left it. */
function restoreFills(
  state: SchedulerState,
  listed: readonly ListedTask[],
  nowMs: number,
): SchedulerStep {
  const slowed = listed.filter(
    ({ run }) =>
      run.pace < 100 && run.stopSentAtMs === undefined && nowMs - run.pacedAtMs >= SETTLE_MS,
  );
  return chainAll(
    state,
    slowed.map((task) => (current: SchedulerState) => setPace(current, task, 100, 'calm', nowMs)),
  );
}

function paceBesideServing(state: SchedulerState, workerKey: string, nowMs: number): SchedulerStep {
  const listed = listedTasks(state, workerKey);
  const serving = listed.filter(({ stage }) => stage.latencyTargetMs !== undefined);
  const capacity = state.workers.get(workerKey)?.report?.capacity;
  if (serving.length === 0) return restoreFills(state, listed, nowMs);
  if (capacity === undefined) return unchanged(state);
  const unpaced = listed.filter(({ run }) => run.isLastResort && run.pacedAtMs === run.claimedAtMs);
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
  const observations = observeTasks(serving, filling, capacityMilli);
  const learned = learnPairs(state, serving, observations);
  const fills = filling.filter(({ run }) => run.stopSentAtMs === undefined);
  const context: PacingContext = {
    serving,
    fills,
    capacityMilli,
    pairs: learned.state.pairs,
    pairsBefore: state.pairs,
    observations,
    nowMs,
  };
  const isHarmed = observations.some(({ ratio }) => ratio >= SLOWING_RATIO);
  return isHarmed ? slowFills(learned, context) : relieveFills(learned, context);
}

/**
 * Slows down tasks that harm a serving task, and lets them go faster or moves them once the harm has ended.
 * A report leads to at most one pace order for a run, since the worker may carry out two in either order.
 */
export function paceWorker(state: SchedulerState, workerKey: string, nowMs: number): SchedulerStep {
  return chainAll(state, [
    (current) => paceBesideServing(current, workerKey, nowMs),
    (current) => resetInheritedPaces(current, workerKey, nowMs),
  ]);
}
