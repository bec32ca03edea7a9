import { Map } from 'immutable';
import { assertNever } from '@bronzeyoke/types';
import { lateStartsEndMs } from './latestarts';
import type { LeaseGrants } from '../leadership/rows';
import type { SchedulerTimes } from '../times';
import type { EarlierLeases, SchedulerState, SeenLease } from '../types';
import type { WorkerView } from '../views';

/** Grant window of builds whose lease row does not describe the leases that its holder grants. */
const UNDESCRIBED_GRANT_WINDOW_MS = 6_000;

/** A worker whose last report is older than this counts as silent. */
export const SILENT_AFTER_MS = 800;

/** Returns whether a worker has just been reported on a connection that is open. */
export function isHeard(view: WorkerView | undefined, nowMs: number): boolean {
  if (view?.linkId === undefined || view.reportedAtMs === undefined) return false;
  return nowMs - view.reportedAtMs < SILENT_AFTER_MS;
}

/** No earlier leader has granted a lease. */
export const NO_EARLIER_LEASES: EarlierLeases = { rowSeenAtMs: 0, endAtMs: 0, awaited: Map() };

function msUntil(atMs: number, nowMs: number): number {
  return Math.max(0, Math.ceil(atMs - nowMs));
}

/** Returns the longest time from a grant to the end of the lease on the worker. */
export function leaseEndMs({ agentLeaseMs, marginMs }: SchedulerTimes): number {
  return agentLeaseMs + marginMs;
}

/**
 * Age of an instance up to which a call to the one before it may have reached it, with room for times of day
 * that differ: such calls are up to 12 s late.
 */
const YOUNG_INSTANCE_MS = 15_000;

/** Returns whether a call to the instance before a worker may have given it the longest lease. */
export function isYoungInstance(times: SchedulerTimes, bornAtMs: number, wallMs: number): boolean {
  return wallMs - bornAtMs < YOUNG_INSTANCE_MS + times.maxLeaseEndMs;
}

/**
 * Returns when the lease of a worker that reports for the first time has ended at the latest. A call to the
 * instance before it carries a lease by that one's clock, which the worker cuts to the longest one; the
 * tokens of the calls that led to the report refuse later calls of that kind. An instance of some age, as a
 * new leader sees it, has none left of these.
 */
export function firstLeaseEndAtMs(
  times: SchedulerTimes,
  bornAtMs: number,
  nowMs: number,
  wallMs: number,
): number {
  const isYoung = isYoungInstance(times, bornAtMs, wallMs);
  return nowMs + (isYoung ? times.maxLeaseEndMs : leaseEndMs(times));
}

function lastLeaseEndMs(times: SchedulerTimes): number {
  return times.grantWindowMs + leaseEndMs(times);
}

/**
 * Returns when the leases of the holder of a lease row, and of those before it, have ended. The row
 * counts from its write, which precedes the first read of its version.
 */
export function earlierLeasesOf(
  { value, firstSeenAtMs }: SeenLease,
  times: SchedulerTimes,
): EarlierLeases {
  if (value === undefined) return NO_EARLIER_LEASES;
  const { grants } = value;
  if (grants === undefined) {
    // Also when the row was released: it does not tell of the leader before its holder.
    const endMs = UNDESCRIBED_GRANT_WINDOW_MS + leaseEndMs(times);
    return { rowSeenAtMs: firstSeenAtMs, endAtMs: firstSeenAtMs + endMs, awaited: Map() };
  }
  return {
    rowSeenAtMs: firstSeenAtMs,
    grants,
    endAtMs: firstSeenAtMs + Math.max(grants.earlierEndMs, grants.lastEndMs),
    awaited: Map(grants.awaitedEndMs)
      .merge(grants.longEndMs ?? {})
      .map((endMs) => firstSeenAtMs + endMs),
  };
}

/** Returns when the leases of a worker have ended. */
export function leaseEndAtMs({ awaited, endAtMs }: EarlierLeases, workerKey: string): number {
  return awaited.get(workerKey, endAtMs);
}

/**
 * Returns the workers that get no lease until the lease row no longer names them. One whose report has
 * not been answered is not silent: an overloaded leader that named it again would never grant it one.
 */
function awaitedWorkers(state: SchedulerState, nowMs: number): Map<string, number> {
  const isDue = ({ linkId, workerKey }: WorkerView): boolean =>
    state.phase === 'leading' && linkId !== undefined && state.dueGrants.has(workerKey);
  const silent = state.workers.filter(
    (view) =>
      view.reportedAtMs !== undefined &&
      nowMs - view.reportedAtMs > SILENT_AFTER_MS &&
      !isDue(view),
  );
  return silent
    .map(({ workerKey, expiresAtMs }) => Math.max(expiresAtMs, lateStartsEndMs(state, workerKey)))
    .merge(state.awaited);
}

/** Returns the longest time to the end of a lease that the holder of the row has granted. */
function ownLeaseEndMs(state: SchedulerState, nowMs: number): number {
  const { phase, settings, storedTimes, formerLeasesEndAtMs } = state;
  const formerEndMs = msUntil(formerLeasesEndAtMs, nowMs);
  switch (phase) {
    case 'leading':
      return Math.max(lastLeaseEndMs(settings.times), formerEndMs);
    case 'steppingDown':
    case 'releasing':
      return Math.max(storedTimes === undefined ? 0 : leaseEndMs(storedTimes), formerEndMs);
    case 'following':
    case 'claiming':
    case 'withdrawing':
    case 'loading':
    case 'stopped':
      return 0;
    default:
      return assertNever(phase);
  }
}

/** Returns what the lease row says about the leases that workers may still hold. */
export function describeGrants(state: SchedulerState, nowMs: number): LeaseGrants {
  const lastEndMs = ownLeaseEndMs(state, nowMs);
  const long = state.workers.filter(
    ({ reportedAtMs, expiresAtMs }) =>
      reportedAtMs !== undefined && msUntil(expiresAtMs, nowMs) > lastEndMs,
  );
  const longEndMs = long.map(({ expiresAtMs }) => msUntil(expiresAtMs, nowMs)).toObject();
  return {
    lastEndMs,
    earlierEndMs: msUntil(state.earlierLeases.endAtMs, nowMs),
    awaitedEndMs: awaitedWorkers(state, nowMs)
      .map((endAtMs) => msUntil(endAtMs, nowMs))
      .toObject(),
    ...(long.isEmpty() ? {} : { longEndMs }),
  };
}

/**
 * Changes the times. Leases are granted by the former ones until a row that states the new ones is
 * stored, and last as long as the rows sent until now allow.
 */
export function changeTimes(
  state: SchedulerState,
  times: SchedulerTimes,
  nowMs: number,
): SchedulerState {
  const settings = { ...state.settings, times };
  if (state.phase !== 'leading') return { ...state, settings };
  const endAtMs = nowMs + lastLeaseEndMs(state.settings.times);
  const formerLeasesEndAtMs = Math.max(state.formerLeasesEndAtMs, endAtMs);
  return { ...state, settings, formerLeasesEndAtMs };
}

/**
 * Returns whether a worker may get no lease yet: the lease row, or the one that is being written, names
 * it as awaited, so that a later leader would not wait for a new lease.
 */
export function isAwaited(state: SchedulerState, workerKey: string): boolean {
  const pending = state.inFlight?.lease.grants?.awaitedEndMs ?? {};
  return state.storedAwaited.has(workerKey) || workerKey in pending;
}
