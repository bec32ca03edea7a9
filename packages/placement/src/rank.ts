import type { FillShare } from '@bronzeyoke/interference';
import { mergeFills } from '@bronzeyoke/interference';
import type { Resources } from '@bronzeyoke/types';
import type { Stage } from '@bronzeyoke/workflow';
import { gapCost } from './gaps';
import type { Outlook } from './outlook';
import type { FillEffects, WorkerLoad } from './types';

/** Minimum idle share of the processors that a filling task requests. It runs at that speed. */
const MIN_FILL_SHARE = 0.6;

/**
 * Minimum share of their requested processors that the filling tasks of a worker get before another one
 * joins them. Tasks that share too few processors all end late, and their jobs with them.
 */
const MIN_SHARED_SPEED = 0.75;

/** Smallest difference of predicted loads that decides between workers. Estimates are rough. */
const LOAD_STEP = 0.05;

/** Compares two ranks by their first difference; the lower rank comes first. */
export function compareRanks(left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((value, position) => value !== right[position]);
  return index === -1 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
}

function freeMilli(load: WorkerLoad): number {
  return load.capacity.processorsMilli - load.reserved.processorsMilli;
}

/**
 * Returns whether the observed use by filling tasks implies idle processors for one more. Serving tasks do
 * not use all that they reserve, so a fully reserved worker may still be idle.
 */
function hasObservedIdle({ fillRequestedMilli, fillUsedMilli }: WorkerLoad): boolean {
  return fillUsedMilli >= fillRequestedMilli * MIN_SHARED_SPEED;
}

/** Returns whether a task fits on a worker. The first filling task probes the idle capacity. */
export function hasRoom(stage: Stage, load: WorkerLoad): boolean {
  const { needs } = stage;
  const fitsOtherResources =
    needs.memoryMb <= load.capacity.memoryMb - load.reserved.memoryMb &&
    needs.accelerators <= load.capacity.accelerators - load.reserved.accelerators;
  if (!stage.fillsIdle) return fitsOtherResources && needs.processorsMilli <= freeMilli(load);
  const leftMilli = freeMilli(load) - load.fillRequestedMilli;
  const isLikelyIdle = needs.processorsMilli * MIN_FILL_SHARE <= leftMilli;
  return (
    fitsOtherResources &&
    !load.isOvercommitted &&
    (isLikelyIdle || load.fillRequestedMilli === 0 || hasObservedIdle(load))
  );
}

/** Returns whether a task could run on this worker if it were empty. */
export function fitsEmptyWorker(stage: Stage, load: WorkerLoad): boolean {
  const { needs, requiredLabel } = stage;
  return (
    needs.processorsMilli <= load.capacity.processorsMilli &&
    needs.memoryMb <= load.capacity.memoryMb &&
    needs.accelerators <= load.capacity.accelerators &&
    (requiredLabel === undefined || load.labels.includes(requiredLabel))
  );
}

function dataDistance(stage: Stage, load: WorkerLoad): number {
  return stage.dataRack === undefined || stage.dataRack === load.rack ? 0 : 1;
}

function fillsOf(stage: Stage, load: WorkerLoad): readonly FillShare[] {
  const { image, needs } = stage;
  const share = needs.processorsMilli / Math.max(1, load.capacity.processorsMilli);
  return stage.fillsIdle && image !== undefined ? [{ image, share }] : [];
}

/** Returns the highest predicted load of the serving images on a worker, in steps. */
function loadStep(load: WorkerLoad, effects: FillEffects, fills: readonly FillShare[]): number {
  const loads = load.servingImages.map((serving) => effects.predictLoad(serving, fills));
  return Math.floor(Math.max(0, ...loads) / LOAD_STEP);
}

/** What a placement looks ahead by. */
export interface Foresight {
  readonly outlook: Outlook;
  /** Time that nearly all tasks of the stage take at most. */
  readonly runMs: number;
}

function costOf(stage: Stage, load: WorkerLoad, foresight: Foresight | undefined): number {
  return foresight === undefined ? 0 : gapCost(stage, load, foresight.outlook, foresight.runMs);
}

function fillRank(
  stage: Stage,
  load: WorkerLoad,
  effects: FillEffects,
  isLastResort: boolean,
  foresight: Foresight | undefined,
): readonly number[] | undefined {
  const added = fillsOf(stage, load);
  const fills = mergeFills([...load.fills, ...added]);
  const verdicts = load.servingImages.map((serving) => effects.classify(serving, fills));
  const harmfulCount = verdicts.filter((verdict) => verdict === 'harmful').length;
  if (harmfulCount > 0 && !isLastResort) return undefined;
  const isTrial = verdicts.includes('unknown');
  // Beside another filling task the cause of harm would not be clear, and a second one adds to it.
  if (isTrial && load.fills.length > 0 && !isLastResort) return undefined;
  const isBesideServing = load.servingImages.length > 0 ? 1 : 0;
  const isSlow =
    stage.needs.processorsMilli > freeMilli(load) - load.fillRequestedMilli &&
    !hasObservedIdle(load);
  return [
    harmfulCount,
    Number(isSlow),
    Number(isTrial),
    dataDistance(stage, load),
    isBesideServing,
    loadStep(load, effects, fills),
    costOf(stage, load, foresight),
    load.fillRequestedMilli - freeMilli(load),
  ];
}

function servingRank(stage: Stage, load: WorkerLoad): readonly number[] {
  const isAlone = load.servingImages.length === 0 ? 1 : 0;
  const isNewImage = stage.image === undefined || !load.servingImages.includes(stage.image) ? 1 : 0;
  const isBesideFills = load.fillRequestedMilli > 0 ? 1 : 0;
  // With fewer serving images on a worker, more images can fill it.
  return [dataDistance(stage, load), isNewImage, isAlone, isBesideFills, freeMilli(load)];
}

/** Spreads tasks while there is ample room; otherwise they take gaps that larger ones cannot use. */
function defaultRank(
  stage: Stage,
  load: WorkerLoad,
  foresight: Foresight | undefined,
): readonly number[] {
  const isAlone = load.servingImages.length === 0 ? 1 : 0;
  if (foresight === undefined || foresight.outlook.demands.length === 0) {
    return [dataDistance(stage, load), isAlone, -freeMilli(load)];
  }
  return [dataDistance(stage, load), costOf(stage, load, foresight), isAlone, freeMilli(load)];
}

/** Returns the rank of a worker with room for a task; the lowest is the best. Undefined if it is unfit. */
export function rankOf(
  stage: Stage,
  load: WorkerLoad,
  effects: FillEffects,
  isLastResort: boolean,
  foresight?: Foresight,
): readonly number[] | undefined {
  if (stage.fillsIdle) return fillRank(stage, load, effects, isLastResort, foresight);
  return stage.latencyTargetMs === undefined
    ? defaultRank(stage, load, foresight)
    : servingRank(stage, load);
}

/** Returns the reserved room of a worker with one more task of a stage. */
export function withReservation(reserved: Resources, { needs, fillsIdle }: Stage): Resources {
  return {
    processorsMilli: reserved.processorsMilli + (fillsIdle ? 0 : needs.processorsMilli),
    memoryMb: reserved.memoryMb + needs.memoryMb,
    accelerators: reserved.accelerators + needs.accelerators,
  };
}

/** Sums up what tasks of some stages need of one resource. */
function sumOf(stages: readonly Stage[], resource: keyof Resources): number {
  return stages.reduce((sum, { needs }) => sum + needs[resource], 0);
}

/** Returns a worker's load with one more task of each of some stages. */
export function withTasksOf(load: WorkerLoad, stages: readonly Stage[]): WorkerLoad {
  const { reserved, fillRequestedMilli, servingImages, fills } = load;
  const filling = stages.filter(({ fillsIdle }) => fillsIdle);
  const reserving = stages.filter(({ fillsIdle }) => !fillsIdle);
  const images = reserving.flatMap(({ latencyTargetMs, image }) =>
    latencyTargetMs === undefined || image === undefined ? [] : [image],
  );
  return {
    ...load,
    reserved: {
      processorsMilli: reserved.processorsMilli + sumOf(reserving, 'processorsMilli'),
      memoryMb: reserved.memoryMb + sumOf(stages, 'memoryMb'),
      accelerators: reserved.accelerators + sumOf(stages, 'accelerators'),
    },
    fillRequestedMilli: fillRequestedMilli + sumOf(filling, 'processorsMilli'),
    fills:
      filling.length === 0
        ? fills
        : mergeFills([...fills, ...filling.flatMap((stage) => fillsOf(stage, load))]),
    servingImages:
      images.length === 0 ? servingImages : [...new Set([...servingImages, ...images])],
  };
}

/** Returns a worker's load with one more task of a stage. */
export function withTask(load: WorkerLoad, stage: Stage): WorkerLoad {
  return withTasksOf(load, [stage]);
}
