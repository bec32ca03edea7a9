import type { HeldLease, RunnerState, WorkerState } from './types';

/**
 * Longest lease that an agent passes on to its worker. Each hold renews it. The tasks of a worker that
 * does not answer are placed elsewhere once it has ended, so it is shorter than what the leader grants.
 */
const WORKER_LEASE_MS = 3_000;

/**
 * The same for a worker that has announced its end, which takes its runs along soon in any case. Longer than
 * a hold without an answer and the next one, which take 1.1 s.
 */
const DRAINING_LEASE_MS = 1_500;

/** Rate of the slowest clock of a worker. */
const SLOWEST_CLOCK_RATE = 0.98;

/** Margin for timers, and for the time that a worker takes to end its runs. */
const MARGIN_MS = 150;

/** Time after the start of an agent in which calls of the agent before it may still take effect. */
const EARLIER_CALLS_MS = 15_000;

/**
 * Returns whether no call that sets a lease was made to an instance before its first reply, neither by an
 * earlier agent nor to an earlier instance under its id. Its clock begins at its start.
 */
function isUntouched(
  { startedAtMs = Infinity, workerIds }: RunnerState,
  id: string,
  clockMs: number,
  nowMs: number,
): boolean {
  const longestAgeMs = clockMs / SLOWEST_CLOCK_RATE;
  return !workerIds.has(id) && nowMs - longestAgeMs >= startedAtMs + EARLIER_CALLS_MS;
}

/** Returns what is known of the lease that an instance holds at its first reply. */
export function firstHeldLease(
  state: RunnerState,
  id: string,
  clockMs: number,
  nowMs: number,
): HeldLease {
  const longestMs = isUntouched(state, id, clockMs, nowMs) ? 0 : state.settings.maxLeaseMs;
  return { clockMs, repliedAtMs: nowMs, latestEndClockMs: clockMs + longestMs };
}

/** Records the clock value in a reply. Replies may overtake each other. */
export function noteClock(worker: WorkerState, clockMs: number, nowMs: number): WorkerState {
  const { heldLease } = worker;
  if (clockMs <= heldLease.clockMs) return worker;
  return { ...worker, heldLease: { ...heldLease, clockMs, repliedAtMs: nowMs } };
}

/** Records the end of a lease that a call to the worker sets. */
export function noteLeaseEnd(worker: WorkerState, endClockMs = 0): WorkerState {
  const { heldLease } = worker;
  const latestEndClockMs = Math.max(heldLease.latestEndClockMs, endClockMs);
  return { ...worker, heldLease: { ...heldLease, latestEndClockMs } };
}

/** Returns whether the worker held no lease when it made a list, by its own clock. */
export function isWithoutLease({ heldLease }: WorkerState, clockMs: number): boolean {
  return clockMs >= heldLease.latestEndClockMs;
}

/** Returns the end of the lease that the next call passes on; undefined without a grant. */
export function leaseToPass(worker: WorkerState): number | undefined {
  const { leaseUntilClockMs, heldLease, report } = worker;
  if (leaseUntilClockMs === undefined) return undefined;
  const longestMs = report.isDraining ? DRAINING_LEASE_MS : WORKER_LEASE_MS;
  return Math.min(leaseUntilClockMs, heldLease.clockMs + longestMs);
}

/**
 * Returns the time in which the worker may still hold a lease; 0 once it has surely ended, and with it
 * everything that the worker ran.
 */
export function leaseLeftMs({ heldLease }: WorkerState, nowMs: number): number {
  const { clockMs, repliedAtMs, latestEndClockMs } = heldLease;
  const longestMs = (latestEndClockMs - clockMs) / SLOWEST_CLOCK_RATE + MARGIN_MS;
  return Math.max(0, longestMs - (nowMs - repliedAtMs));
}
