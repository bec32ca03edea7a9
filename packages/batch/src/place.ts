import type { Configuration, Resources } from '@bronzeyoke/types';
import { draws, fitsIn, isDomainIn } from '@bronzeyoke/types';
import type { Candidate } from './types';

const SAMPLE_SIZE = 8;
/** Weight of one task of the same job in the rack, against a slow-down by the whole latency. */
const RACK_WEIGHT = 0.25;

/** What a task asks of its place. */
export interface PlacementRequest {
  readonly workKind: string;
  readonly reserved: Resources;
  readonly avoidedWorkers: readonly string[];
  /** How many tasks of the same job each rack runs. */
  readonly tasksByRack: ReadonlyMap<string, number>;
}

/** Whether a worker may get tasks at all. */
export type CandidateFilter = (candidate: Candidate) => boolean;

/** Racks are named within a domain. */
export function rackOf(candidate: Candidate): string {
  return `${candidate.profile.domain}/${candidate.profile.rack}`;
}

function isEligible(
  candidate: Candidate,
  wanted: PlacementRequest,
  configuration: Configuration,
  mayTake: CandidateFilter,
  room: (candidate: Candidate) => Resources,
): boolean {
  return (
    !candidate.isLeaving &&
    fitsIn(wanted.reserved, room(candidate)) &&
    isDomainIn(configuration, candidate.profile.domain) &&
    !wanted.avoidedWorkers.includes(candidate.profile.worker) &&
    mayTake(candidate)
  );
}

/** Cost of a place: learned slow-down of the service there, tasks of the job in the rack, fill. */
export function costOf(candidate: Candidate, wanted: PlacementRequest): number {
  const slowDown = candidate.slowDowns.find(
    (known) => known.workKind === wanted.workKind && known.service === candidate.profile.service,
  );
  const penalty = Math.max(0, (slowDown?.factor ?? 1) - 1);
  const { free, profile } = candidate;
  const fill = 1 - free.processorsMilli / Math.max(1, profile.total.processorsMilli);
  return penalty + RACK_WEIGHT * (wanted.tasksByRack.get(rackOf(candidate)) ?? 0) + fill;
}

/** Chooses the best of a few sampled agents with room, or of all when none of the sample has room. */
export function choosePlace(
  candidates: readonly Candidate[],
  wanted: PlacementRequest,
  configuration: Configuration,
  mayTake: CandidateFilter,
  random: number,
): Candidate | undefined {
  const sampled = draws(random, SAMPLE_SIZE).flatMap(
    (draw) => candidates[Math.floor(draw * candidates.length)] ?? [],
  );
  const fit = (list: readonly Candidate[]) =>
    list.filter((candidate) =>
      isEligible(candidate, wanted, configuration, mayTake, ({ free }) => free),
    );
  const few = fit(sampled);
  const usable = few.length > 0 ? few : fit(candidates);
  return usable.reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || costOf(candidate, wanted) < costOf(best, wanted) ? candidate : best,
    undefined,
  );
}

/** Any agent whose worker would have room for urgent work if others were evicted. */
export function choosePreemption(
  candidates: readonly Candidate[],
  wanted: PlacementRequest,
  configuration: Configuration,
  mayTake: CandidateFilter,
  random: number,
): Candidate | undefined {
  const usable = candidates.filter((candidate) =>
    isEligible(candidate, wanted, configuration, mayTake, ({ profile }) => profile.total),
  );
  return usable[Math.floor(random * usable.length)];
}
