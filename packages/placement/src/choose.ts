import type { FillShare } from '@bronzeyoke/interference';
import { mergeFills } from '@bronzeyoke/interference';
import type { Stage } from '@bronzeyoke/workflow';
import type { FillClassifier, WorkerLoad } from './types';

/** Unproven pairs of images that one worker may try at a time. */
const MAX_TRIALS = 1;

/** Share of what it asks for that a filling task has to find idle; it works at that speed. */
const MIN_FILL_SHARE = 0.6;

/**
 * Filling tasks may ask for this many times what they were last seen to use. Reservations are not
 * what serving tasks use, so a worker that is fully reserved may still have much to give.
 */
const MAX_FILL_REQUEST_RATIO = 4;

/** A worker on which a task may be placed, with its rank; the lowest is the best. */
interface Candidate {
  readonly load: WorkerLoad;
  readonly rank: readonly number[];
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((value, position) => value !== right[position]);
  return index === -1 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
}

function freeMilli(load: WorkerLoad): number {
  return load.capacity.processorsMilli - load.reserved.processorsMilli;
}

/** Whether the use of the filling tasks here shows that one more finds idle processors. */
function hasObservedIdle(stage: Stage, load: WorkerLoad): boolean {
  return (
    load.fillRequestedMilli + stage.needs.processorsMilli <=
    load.fillUsedMilli * MAX_FILL_REQUEST_RATIO
  );
}

/** Whether a task fits into what a worker has left. A first filling task finds out what is idle. */
export function hasRoom(stage: Stage, load: WorkerLoad): boolean {
  const { needs } = stage;
  const fitsElsewise =
    needs.memoryMb <= load.capacity.memoryMb - load.reserved.memoryMb &&
    needs.accelerators <= load.capacity.accelerators - load.reserved.accelerators;
  if (!stage.fillsIdle) return fitsElsewise && needs.processorsMilli <= freeMilli(load);
  const leftMilli = freeMilli(load) - load.fillRequestedMilli;
  const isLikelyIdle = needs.processorsMilli * MIN_FILL_SHARE <= leftMilli;
  return (
    fitsElsewise && (isLikelyIdle || load.fillRequestedMilli === 0 || hasObservedIdle(stage, load))
  );
}

/** Whether a task could run on an empty worker of this kind. */
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

/** Images that fill here though it is not known what they do to a serving image beside them. */
function trialImages(load: WorkerLoad, judge: FillClassifier): readonly string[] {
  return load.fills
    .filter((fill) => load.servingImages.some((serving) => judge(serving, [fill]) === 'unknown'))
    .map(({ image }) => image);
}

function fillRank(
  stage: Stage,
  load: WorkerLoad,
  judge: FillClassifier,
  isLastResort: boolean,
): readonly number[] | undefined {
  const own = fillsOf(stage, load);
  const fills = mergeFills([...load.fills, ...own]);
  const verdicts = load.servingImages.map((serving) => judge(serving, fills));
  const harms = verdicts.filter((verdict) => verdict === 'harmful').length;
  if (harms > 0 && !isLastResort) return undefined;
  const isTrial = load.servingImages.some((serving) => judge(serving, own) === 'unknown');
  const trials = isTrial && !isLastResort ? trialImages(load, judge) : [];
  const joinsTrial = own.some(({ image }) => trials.includes(image));
  if (!joinsTrial && trials.length >= MAX_TRIALS) return undefined;
  const beside = load.servingImages.length > 0 ? 1 : 0;
  const isSlow =
    stage.needs.processorsMilli > freeMilli(load) - load.fillRequestedMilli &&
    !hasObservedIdle(stage, load);
  return [
    harms,
    Number(isSlow),
    Number(isTrial),
    dataDistance(stage, load),
    beside,
    load.fillRequestedMilli - freeMilli(load),
  ];
}

function servingRank(stage: Stage, load: WorkerLoad): readonly number[] {
  const isAlone = load.servingImages.length === 0 ? 1 : 0;
  const isNewImage = stage.image === undefined || !load.servingImages.includes(stage.image) ? 1 : 0;
  const isBesideFills = load.fillRequestedMilli > 0 ? 1 : 0;
  // The fewer serving images a worker has, the more images can fill it.
  return [dataDistance(stage, load), isNewImage, isAlone, isBesideFills, freeMilli(load)];
}

function defaultRank(stage: Stage, load: WorkerLoad): readonly number[] {
  const isAlone = load.servingImages.length === 0 ? 1 : 0;
  return [dataDistance(stage, load), isAlone, -freeMilli(load)];
}

function rankOf(
  stage: Stage,
  load: WorkerLoad,
  judge: FillClassifier,
  isLastResort: boolean,
): readonly number[] | undefined {
  if (stage.fillsIdle) return fillRank(stage, load, judge, isLastResort);
  return stage.latencyTargetMs === undefined ? defaultRank(stage, load) : servingRank(stage, load);
}

/** What restricts the choice for one task. */
export interface PlacementConstraints {
  /** Tasks of the same stage and occurrence on a worker. */
  readonly siblingCount: (workerKey: string) => number;
  /** Whether a place beside a task that it harms is better than none; it then works at a low pace. */
  readonly isLastResort?: boolean;
  /** Worker to avoid while there are others. */
  readonly avoidWorkerKey?: string;
}

/** The best worker for a task; undefined when none can take it now. */
export function chooseWorker(
  stage: Stage,
  loads: readonly WorkerLoad[],
  judge: FillClassifier,
  restriction: PlacementConstraints,
): WorkerLoad | undefined {
  const most = stage.maxPerWorker ?? Infinity;
  const candidates = loads.flatMap<Candidate>((load) => {
    if (!fitsEmptyWorker(stage, load) || !hasRoom(stage, load)) return [];
    if (restriction.siblingCount(load.workerKey) >= most) return [];
    const rank = rankOf(stage, load, judge, restriction.isLastResort ?? false);
    if (rank === undefined) return [];
    return [{ load, rank: [load.workerKey === restriction.avoidWorkerKey ? 1 : 0, ...rank] }];
  });
  return candidates.reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || compareRanks(candidate.rank, best.rank) < 0 ? candidate : best,
    undefined,
  )?.load;
}

/** A worker's load with one more task of a stage. */
export function withTask(load: WorkerLoad, stage: Stage): WorkerLoad {
  const { needs, image } = stage;
  const { reserved, servingImages } = load;
  const base = {
    ...load,
    reserved: {
      processorsMilli: reserved.processorsMilli + (stage.fillsIdle ? 0 : needs.processorsMilli),
      memoryMb: reserved.memoryMb + needs.memoryMb,
      accelerators: reserved.accelerators + needs.accelerators,
    },
  };
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
