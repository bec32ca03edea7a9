import type { HeldLease, WorkerState } from './types';

/**
 * Returns what is known of the lease of an instance from its first reply. An earlier agent may have set
 * one, or a late call to an earlier instance under its id.
 */
export function firstHeldLease(clockMs: number, maxLeaseMs: number, nowMs: number): HeldLease {
  return { clockMs, repliedAtMs: nowMs, latestEndClockMs: clockMs + maxLeaseMs };
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

/** Returns how much is left of the longest lease that the worker may hold; 0 once it has ended. */
export function leaseLeftMs({ heldLease }: WorkerState, nowMs: number): number {
  const { clockMs, repliedAtMs, latestEndClockMs } = heldLease;
  return Math.max(0, latestEndClockMs - clockMs - (nowMs - repliedAtMs));
}
