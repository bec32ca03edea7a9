import type { FillShare } from '@bronzeyoke/interference';
import { mergeFills } from '@bronzeyoke/interference';
import type { Resources } from '@bronzeyoke/types';
import type { Stage } from '@bronzeyoke/workflow';
import type { FillClassifier, WorkerLoad } from './types';

/** Maximum number of filling images with unknown effects that one worker may try at a time. */
const MAX_TRIALS = 1;

/** Minimum idle share of the processors that a filling task requests. It runs at that speed. */
const MIN_FILL_SHARE = 0.6;

/**
 * Maximum ratio between the processors that filling tasks request and their last observed use.
 * Serving tasks do not use all that they reserve, so a fully reserved worker may still be idle.
 */
const MAX_FILL_REQUEST_RATIO = 4;

/** Compares two ranks by their first difference; the lower rank comes first. */
export function compareRanks(left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((value, position) => value !== right[position]);
  return index === -1 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
}

function freeMilli(load: WorkerLoad): number {
  return load.capacity.processorsMilli - load.reserved.processorsMilli;
}

/** Returns whether the observed use by filling tasks implies idle processors for one more. */
function hasObservedIdle(stage: Stage, load: WorkerLoad): boolean {
  return (
    load.fillRequestedMilli + stage.needs.processorsMilli <=
    load.fillUsedMilli * MAX_FILL_REQUEST_RATIO
  );
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
    (isLikelyIdle || load.fillRequestedMilli === 0 || hasObservedIdle(stage, load))
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

/** Lists the filling images whose effect on a serving image on the worker is unknown. */
function trialImages(load: WorkerLoad, classify: FillClassifier): readonly string[] {
  return load.fills
    .filter((fill) => load.servingImages.some((serving) => classify(serving, [fill]) === 'unknown'))
    .map(({ image }) => image);
}

function fillRank(
  stage: Stage,
  load: WorkerLoad,
  classify: FillClassifier,
  isLastResort: boolean,
): readonly number[] | undefined {
  const added = fillsOf(stage, load);
  const fills = mergeFills([...load.fills, ...added]);
  const verdicts = load.servingImages.map((serving) => classify(serving, fills));
  const harmfulCount = verdicts.filter((verdict) => verdict === 'harmful').length;
  if (harmfulCount > 0 && !isLastResort) return undefined;
  const isTrial = load.servingImages.some((serving) => classify(serving, added) === 'unknown');
  const trials = isTrial && !isLastResort ? trialImages(load, classify) : [];
  const joinsTrial = added.some(({ image }) => trials.includes(image));
  if (!joinsTrial && trials.length >= MAX_TRIALS) return undefined;
  const isBesideServing = load.servingImages.length > 0 ? 1 : 0;
  const isSlow =
    stage.needs.processorsMilli > freeMilli(load) - load.fillRequestedMilli &&
    !hasObservedIdle(stage, load);
  return [
    harmfulCount,
    Number(isSlow),
    Number(isTrial),
    dataDistance(stage, load),
    isBesideServing,
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

function defaultRank(stage: Stage, load: WorkerLoad): readonly number[] {
  const isAlone = load.servingImages.length === 0 ? 1 : 0;
  return [dataDistance(stage, load), isAlone, -freeMilli(load)];
}

/** Returns the rank of a worker with room for a task; the lowest is the best. Undefined if it is unfit. */
export function rankOf(
  stage: Stage,
  load: WorkerLoad,
  classify: FillClassifier,
  isLastResort: boolean,
): readonly number[] | undefined {
  if (stage.fillsIdle) return fillRank(stage, load, classify, isLastResort);
  return stage.latencyTargetMs === undefined ? defaultRank(stage, load) : servingRank(stage, load);
}

/** Returns the reserved room of a worker with one more task of a stage. */
export function withReservation(reserved: Resources, { needs, fillsIdle }: Stage): Resources {
  return {
    processorsMilli: reserved.processorsMilli + (fillsIdle ? 0 : needs.processorsMilli),
    memoryMb: reserved.memoryMb + needs.memoryMb,
    accelerators: reserved.accelerators + needs.accelerators,
  };
}

/** Returns a worker's load with one more task of a stage. */
export function withTask(load: WorkerLoad, stage: Stage): WorkerLoad {
  const { needs, image } = stage;
  const { servingImages } = load;
  const base = { ...load, reserved: withReservation(load.reserved, stage) };
  if (stage.fillsIdle) {
    return {
      ...base,
      fillRequestedMilli: load.fillRequestedMilli + needs.processorsMilli,
      fills: mergeFills([...load.fills, ...fillsOf(stage, load)]),
    };
  }
  if (stage.latencyTargetMs === undefined || image === undefined) return base;
  return { ...base, servingImages: [...new Set([...servingImages, image])] };
}
