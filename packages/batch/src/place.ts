import type { Configuration, Resources } from '@bronzeyoke/types';
import { drawUniforms, fitsIn, isDomainIn } from '@bronzeyoke/types';
import type { Candidate } from './types';

const SAMPLE_SIZE = 8;
/** Cost of one task of the same job in the rack; a slow-down that doubles the latency costs 1. */
const RACK_WEIGHT = 0.25;

/** Requirements of a task on its placement. */
export interface PlacementRequest {
  readonly workKind: string;
  readonly reserved: Resources;
  readonly avoidedWorkers: readonly string[];
  /** Number of tasks of the same job in each rack. */
  readonly tasksByRack: ReadonlyMap<string, number>;
}

/** Predicate for agents whose workers may receive tasks at all. */
export type CandidateFilter = (candidate: Candidate) => boolean;

/** Returns the name of the rack, qualified by its domain. */
export function rackOf(candidate: Candidate): string {
  return `${candidate.profile.domain}/${candidate.profile.rack}`;
}

function isEligible(
  candidate: Candidate,
  request: PlacementRequest,
  configuration: Configuration,
  isAvailable: CandidateFilter,
  capacityOf: (candidate: Candidate) => Resources,
): boolean {
  return (
    !candidate.isLeaving &&
    fitsIn(request.reserved, capacityOf(candidate)) &&
    isDomainIn(configuration, candidate.profile.domain) &&
    !request.avoidedWorkers.includes(candidate.profile.worker) &&
    isAvailable(candidate)
  );
}

/** Returns the cost of a candidate: slow-down of its service, tasks of the job in its rack, fill. */
function costOf(candidate: Candidate, request: PlacementRequest): number {
  const slowDown = candidate.slowDowns.find(
    (known) => known.workKind === request.workKind && known.service === candidate.profile.service,
  );
  const penalty = Math.max(0, (slowDown?.factor ?? 1) - 1);
  const { free, profile } = candidate;
  const fill = 1 - free.processorsMilli / Math.max(1, profile.total.processorsMilli);
  return penalty + RACK_WEIGHT * (request.tasksByRack.get(rackOf(candidate)) ?? 0) + fill;
}

/** Chooses the cheapest eligible agent of a random sample, or of all if the sample has none. */
export function chooseAgent(
  candidates: readonly Candidate[],
  request: PlacementRequest,
  configuration: Configuration,
  isAvailable: CandidateFilter,
  random: number,
): Candidate | undefined {
  const sampled = drawUniforms(random, SAMPLE_SIZE).flatMap(
    (draw) => candidates[Math.floor(draw * candidates.length)] ?? [],
  );
  const filterEligible = (list: readonly Candidate[]) =>
    list.filter((candidate) =>
      isEligible(candidate, request, configuration, isAvailable, ({ free }) => free),
    );
  const eligible = filterEligible(sampled);
  const usable = eligible.length > 0 ? eligible : filterEligible(candidates);
  return usable.reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || costOf(candidate, request) < costOf(best, request) ? candidate : best,
    undefined,
  );
}

/** Chooses a random agent whose worker has room for urgent work once other tasks are evicted. */
export function choosePreemption(
  candidates: readonly Candidate[],
  request: PlacementRequest,
  configuration: Configuration,
  isAvailable: CandidateFilter,
  random: number,
): Candidate | undefined {
  const usable = candidates.filter((candidate) =>
    isEligible(candidate, request, configuration, isAvailable, ({ profile }) => profile.total),
  );
  return usable[Math.floor(random * usable.length)];
}
