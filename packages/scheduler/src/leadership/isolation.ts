import { logEffect } from '@bronzeyoke/telemetry';
import { unchanged, without } from '@bronzeyoke/types';
import { advanceLeadership } from './leadership';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';

/**
 * Time without a message of an agent, after the leases of all workers have ended, after which a leader
 * steps down. Agents that lost power together need several seconds to find the leader.
 */
const STEP_DOWN_AFTER_MS = 10_000;

/** Time for which the leader that stepped down leaves the lease to other entries. */
const CLAIM_PAUSE_MS = 4_000;

/**
 * Notes when the lease of the last known worker has ended. A fleet without workers, or one whose workers
 * were reported as gone, says nothing about the leader.
 */
export function noteIsolation(state: SchedulerState, nowMs: number): SchedulerState {
  return state.workers.isEmpty() ? { ...state, isolatedSinceMs: nowMs } : state;
}

/** Clears the note when an agent has sent a message. */
export function clearIsolation(state: SchedulerState): SchedulerState {
  return state.isolatedSinceMs === undefined ? state : without(state, 'isolatedSinceMs');
}

/**
 * Releases the lease of a leader that no agent has reached for long, because another entry may be within
 * their reach. The released tasks are stored first, so that the next leader need not wait for them.
 */
export function stepDownIfIsolated(state: SchedulerState, nowMs: number): SchedulerStep {
  const { phase, isolatedSinceMs, inFlight, pendingWrites, leader } = state;
  if (phase !== 'leading' || isolatedSinceMs === undefined) return unchanged(state);
  const silentMs = nowMs - isolatedSinceMs;
  const isStored = inFlight === undefined && pendingWrites.jobs.isEmpty();
  if (silentMs < STEP_DOWN_AFTER_MS || !isStored) return unchanged(state);
  const claimPausedUntilMs = nowMs + CLAIM_PAUSE_MS;
  const step = advanceLeadership({ ...state, claimPausedUntilMs }, 'isolated');
  const fields = { term: leader?.term ?? 0, reason: 'noAgents', silentMs: Math.round(silentMs) };
  return withEffects(step.state, [...step.effects, logEffect('leaderLost', fields)]);
}
