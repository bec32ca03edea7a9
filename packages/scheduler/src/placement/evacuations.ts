import { is, Set as ImmutableSet } from 'immutable';
import type { EventFields } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import { unchanged, without } from '@bronzeyoke/types';
import { isEvacuated } from './domains';
import { withEffects } from '../state';
import type { SchedulerEvent, SchedulerState, SchedulerStep } from '../types';

/**
 * Returns whether the evacuations are known well enough to start tasks. An entry that has not read them, or
 * that no longer hears of changes, may miss one that was acknowledged long ago.
 */
export function areEvacuationsCurrent(
  { settings, evacuations }: SchedulerState,
  nowMs: number,
): boolean {
  const { maxEvacuationAgeMs } = settings;
  if (maxEvacuationAgeMs === undefined) return true;
  return evacuations.kind === 'read' && nowMs - evacuations.confirmedAtMs <= maxEvacuationAgeMs;
}

/** Returns whether a task may start now in a domain. */
export function mayStartIn(state: SchedulerState, domain: string, nowMs: number): boolean {
  return areEvacuationsCurrent(state, nowMs) && !isEvacuated(state.evacuations, domain);
}

function ageFields({ evacuations }: SchedulerState, nowMs: number): EventFields {
  return evacuations.kind === 'unread'
    ? { reason: 'evacuationsUnread' }
    : { reason: 'evacuationsOld', ageMs: Math.round(nowMs - evacuations.confirmedAtMs) };
}

/** Logs once that placement waits for the evacuations. */
export function holdPlacement(state: SchedulerState, nowMs: number): SchedulerStep {
  if (state.placementHeldSinceMs !== undefined) return unchanged(state);
  return withEffects({ ...state, placementHeldSinceMs: nowMs }, [
    logEffect('placementHeld', ageFields(state, nowMs)),
  ]);
}

/** Logs the end of a wait for the evacuations. */
export function resumePlacement(state: SchedulerState, nowMs: number): SchedulerStep {
  const { placementHeldSinceMs } = state;
  if (placementHeldSinceMs === undefined) return unchanged(state);
  return withEffects(without(state, 'placementHeldSinceMs'), [
    logEffect('placementResumed', { heldMs: Math.round(nowMs - placementHeldSinceMs) }),
  ]);
}

/** Takes over the evacuated domains as the store held them some time ago. */
export function onDomainsOut(
  state: SchedulerState,
  { domains, ageMs }: Extract<SchedulerEvent, { kind: 'domainsOut' }>,
  nowMs: number,
): SchedulerStep {
  const { evacuations } = state;
  const confirmedAtMs = nowMs - ageMs;
  const isSame =
    evacuations.kind === 'read' && is(ImmutableSet(evacuations.domains), ImmutableSet(domains));
  const next = { ...state, evacuations: { kind: 'read', domains, confirmedAtMs } } as const;
  if (isSame) return unchanged(next);
  return withEffects({ ...next, needsPlacement: true }, [
    logEffect('domainsOut', { domains: [...domains].join(','), ageMs: Math.round(ageMs) }),
  ]);
}
