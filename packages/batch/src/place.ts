import type { Configuration, Resources } from '@bronzeyoke/types';
import { draws, fitsIn, isDomainIn } from '@bronzeyoke/types';
import type { Candidate } from './types';

const SAMPLE = 8;
/** Weight of one task of the same job in the rack, against a slow-down by the whole latency. */
const RACK_WEIGHT = 0.25;

/** What a task asks of its place. */
export interface Wanted {
  readonly workKind: string;
  readonly reserved: Resources;
  readonly avoid: readonly string[];
  /** How many tasks of the same job each rack runs. */
  readonly racks: ReadonlyMap<string, number>;
}

/** Whether a worker may get tasks at all. */
export type MayTake = (candidate: Candidate) => boolean;

/** Racks are named within a domain. */
export function rackOf(candidate: Candidate): string {
  return `${candidate.profile.domain}/${candidate.profile.rack}`;
}

function isEligible(
  candidate: Candidate,
  wanted: Wanted,
  configuration: Configuration,
  mayTake: MayTake,
): boolean {
  return (
    !candidate.isLeaving &&
    fitsIn(wanted.reserved, candidate.free) &&
    isDomainIn(configuration, candidate.profile.domain) &&
    !wanted.avoid.includes(candidate.profile.worker) &&
    mayTake(candidate)
  );
}

/** Cost of a place: learned slow-down of the service there, tasks of the job in the rack, fill. */
export function costOf(candidate: Candidate, wanted: Wanted): number {
  const slowDown = candidate.slowDowns.find(
    (known) => known.workKind === wanted.workKind && known.service === candidate.profile.service,
  );
  const penalty = Math.max(0, (slowDown?.factor ?? 1) - 1);
  const { free, profile } = candidate;
  const fill = 1 - free.processorsMilli / Math.max(1, profile.total.processorsMilli);
  return penalty + RACK_WEIGHT * (wanted.racks.get(rackOf(candidate)) ?? 0) + fill;
}

/** Chooses the best of a few sampled agents with room, or of all when none of the sample has room. */
export function choosePlace(
  candidates: readonly Candidate[],
  wanted: Wanted,
  configuration: Configuration,
  mayTake: MayTake,
  random: number,
): Candidate | undefined {
  const sampled = draws(random, SAMPLE).flatMap(
    (draw) => candidates[Math.floor(draw * candidates.length)] ?? [],
  );
  const fit = (list: readonly Candidate[]) =>
    list.filter((candidate) => isEligible(candidate, wanted, configuration, mayTake));
  const few = fit(sampled);
  const usable = few.length > 0 ? few : fit(candidates);
  return usable.reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || costOf(candidate, wanted) < costOf(best, wanted) ? candidate : best,
    undefined,
  );
}
