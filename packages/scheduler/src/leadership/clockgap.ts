import { logEffect } from '@bronzeyoke/telemetry';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';

/**
 * Ends the right to grant leases until a renewal is stored that is sent from now on. If the machine was
 * suspended, its steady clock stood still, so the time since earlier renewals is longer than it says. What
 * counts from other times waits longer than needed after a suspension, which is safe: the ends of leases,
 * takeovers and held starts, which wait for a lease of their worker.
 */
export function onClockGap(state: SchedulerState, gapMs: number, nowMs: number): SchedulerStep {
  const { phase, inFlight } = state;
  const paused = { ...state, mayGrantUntilMs: 0, renewAtMs: nowMs };
  const log = logEffect('clockGap', { gapMs: Math.round(gapMs), phase });
  if (inFlight === undefined) return withEffects(paused, [log]);
  const attempts = { sentAtMs: -Infinity, firstSentAtMs: -Infinity };
  return withEffects({ ...paused, inFlight: { ...inFlight, ...attempts } }, [log]);
}
