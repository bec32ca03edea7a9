import type { Stage } from '@bronzeyoke/workflow';
import type { Foresight } from './rank';
import { compareRanks, fitsEmptyWorker, hasRoom, rankOf } from './rank';
import type { FillEffects, WorkerLoad } from './types';

/** A worker on which a task may be placed, with its rank. The lowest rank is the best. */
export interface Candidate {
  readonly load: WorkerLoad;
  readonly rank: readonly number[];
}

/** Constraints on the choice of a worker for the tasks of a stage. */
export interface PlacementConstraints {
  /** Number of tasks of the same stage and occurrence on a worker. */
  readonly siblingCount: (workerKey: string) => number;
  /** Whether a place beside a task that it harms is allowed. The task then runs at a low pace. */
  readonly isLastResort?: boolean;
  /** What waits and ends soon; absent if placement does not look ahead. */
  readonly foresight?: Foresight | undefined;
}

/** Returns the candidate that a worker is for the tasks of a stage; undefined if it cannot run one now. */
function candidateOf(
  stage: Stage,
  load: WorkerLoad,
  effects: FillEffects,
  { siblingCount, isLastResort = false, foresight }: PlacementConstraints,
): Candidate | undefined {
  if (!fitsEmptyWorker(stage, load) || !hasRoom(stage, load)) return undefined;
  if (siblingCount(load.workerKey) >= (stage.maxPerWorker ?? Infinity)) return undefined;
  const rank = rankOf(stage, load, effects, isLastResort, foresight);
  return rank === undefined ? undefined : { load, rank };
}

/** Returns the workers that can run a task of a stage now, in the order of the loads. */
export function findCandidates(
  stage: Stage,
  loads: readonly WorkerLoad[],
  effects: FillEffects,
  constraints: PlacementConstraints,
): readonly Candidate[] {
  return loads.flatMap((load) => candidateOf(stage, load, effects, constraints) ?? []);
}

/** Returns the candidates after the load of one of them has changed. The others keep their ranks. */
export function updateCandidate(
  candidates: readonly Candidate[],
  stage: Stage,
  load: WorkerLoad,
  effects: FillEffects,
  constraints: PlacementConstraints,
): readonly Candidate[] {
  const index = candidates.findIndex(({ load: known }) => known.workerKey === load.workerKey);
  const updated = candidateOf(stage, load, effects, constraints);
  return candidates.toSpliced(index, 1, ...(updated === undefined ? [] : [updated]));
}

/** Returns the best candidate. A worker to avoid is taken only if there is no other. */
export function bestCandidate(
  candidates: readonly Candidate[],
  avoidWorkerKey?: string,
): Candidate | undefined {
  const isAvoided = ({ load }: Candidate): boolean => load.workerKey === avoidWorkerKey;
  const isBetter = (candidate: Candidate, best: Candidate): boolean => {
    const avoided = Number(isAvoided(candidate)) - Number(isAvoided(best));
    return avoided === 0 ? compareRanks(candidate.rank, best.rank) < 0 : avoided < 0;
  };
  return candidates.reduce<Candidate | undefined>(
    (best, candidate) => (best === undefined || isBetter(candidate, best) ? candidate : best),
    undefined,
  );
}

/** Returns the best worker for a task, or undefined if none can run it now. */
export function chooseWorker(
  stage: Stage,
  loads: readonly WorkerLoad[],
  effects: FillEffects,
  constraints: PlacementConstraints,
  avoidWorkerKey?: string,
): WorkerLoad | undefined {
  return bestCandidate(findCandidates(stage, loads, effects, constraints), avoidWorkerKey)?.load;
}
