import type { Resources } from '@bronzeyoke/types';
import type { WorkerLoad } from './types';

/** A size of task for which places are worth keeping. */
export interface LargeDemand {
  readonly service: string;
  readonly requiredLabel?: string;
  readonly needs: Resources;
  /** What a lost place counts: 1 for tasks that wait, less for those that are only expected. */
  readonly weight: number;
  /** Tasks of this size wait for a place. */
  readonly isWaiting: boolean;
}

/** What a worker gets back when a run ends there. */
export interface ExpectedEnd {
  readonly returned: Resources;
  readonly inMs: number;
}

/** What waits and what ends soon, as a placement pass finds it. */
export interface Outlook {
  /** The largest first. */
  readonly demands: readonly LargeDemand[];
  /** Ends of runs on a worker, the soonest first. */
  readonly endsOn: (workerKey: string) => readonly ExpectedEnd[];
}

/** An outlook in which nothing waits. Placement then spreads tasks. */
export const NO_OUTLOOK: Outlook = { demands: [], endsOn: () => [] };

/** Returns what is free on a worker. */
export function freeRoom({ capacity, reserved }: WorkerLoad): Resources {
  return {
    processorsMilli: capacity.processorsMilli - reserved.processorsMilli,
    memoryMb: capacity.memoryMb - reserved.memoryMb,
    accelerators: capacity.accelerators - reserved.accelerators,
  };
}

/** Returns how many tasks of a size fit into some room. */
export function placeCount(needs: Resources, room: Resources): number {
  const count = (needed: number, free: number): number =>
    needed <= 0 ? Infinity : Math.floor(free / needed);
  const places = Math.min(
    count(needs.processorsMilli, room.processorsMilli),
    count(needs.memoryMb, room.memoryMb),
    count(needs.accelerators, room.accelerators),
  );
  return Number.isFinite(places) ? Math.max(0, places) : 0;
}

/** Returns whether a worker is of the kind that a demand asks for. */
export function isEligible(
  { service, requiredLabel }: LargeDemand,
  { service: offered, labels }: WorkerLoad,
): boolean {
  return service === offered && (requiredLabel === undefined || labels.includes(requiredLabel));
}
