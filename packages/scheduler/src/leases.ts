import { Map } from 'immutable';
import type { LeaseGrants, LeaseValue } from './rows';
import type { SchedulerTimes } from './times';
import type { EarlierLeases, SchedulerState, SeenLease } from './types';

/** Grant window of builds whose lease row does not describe the leases that its holder grants. */
const UNDESCRIBED_GRANT_WINDOW_MS = 6_000;

/** No earlier leader has granted a lease. */
export const NO_EARLIER_LEASES: EarlierLeases = { endAtMs: 0, awaited: Map() };

/** Returns the longest time from a grant to the end of the lease on the worker. */
export function leaseEndMs({ agentLeaseMs, marginMs }: SchedulerTimes): number {
  return agentLeaseMs + marginMs;
}

/** Returns the longest time from a write of the lease row to the end of leases granted under it. */
export function lastLeaseEndMs(times: SchedulerTimes): number {
  return times.grantWindowMs + leaseEndMs(times);
}

function undescribedEndMs({ isReleased }: LeaseValue, times: SchedulerTimes): number {
  return (isReleased ? 0 : UNDESCRIBED_GRANT_WINDOW_MS) + leaseEndMs(times);
}

/** Returns when the leases of the holder of a lease row, and of those before it, have ended. */
export function earlierLeasesOf(
  { value, sinceClockMs }: SeenLease,
  times: SchedulerTimes,
): EarlierLeases {
  if (value === undefined) return NO_EARLIER_LEASES;
  const { grants } = value;
  if (grants === undefined) {
    return { endAtMs: sinceClockMs + undescribedEndMs(value, times), awaited: Map() };
  }
  const ownEndAtMs = grants.lastEndMs === 0 ? 0 : sinceClockMs + grants.lastEndMs;
  return {
    endAtMs: Math.max(grants.earlierEndAtMs, ownEndAtMs),
    awaited: Map(grants.awaited),
  };
}

/** Returns when the leases of a worker have ended, on the store's clock. */
export function leaseEndAtMs({ awaited, endAtMs }: EarlierLeases, workerKey: string): number {
  return awaited.get(workerKey, endAtMs);
}

/** Converts a time on the store's clock to this process's clock. */
export function toLocalMs({ storeClock }: SchedulerState, storeMs: number): number {
  return storeMs - storeClock.storeMs + storeClock.localMs;
}

/** Returns what the lease row says about the leases that workers may still hold. */
export function describeGrants(state: SchedulerState): LeaseGrants {
  const { phase, settings, earlierLeases, awaited, isGranting } = state;
  const earlier = { earlierEndAtMs: earlierLeases.endAtMs, awaited: awaited.toObject() };
  switch (phase) {
    case 'leading':
      return { ...earlier, lastEndMs: lastLeaseEndMs(settings.times) };
    case 'releasing':
      return { ...earlier, lastEndMs: isGranting ? leaseEndMs(settings.times) : 0 };
    case 'following':
    case 'claiming':
    case 'withdrawing':
    case 'loading':
    case 'stopped':
      return { ...earlier, lastEndMs: 0 };
  }
}
