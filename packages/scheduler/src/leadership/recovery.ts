import { advance } from '@bronzeyoke/chart';
import { logEffect } from '@bronzeyoke/telemetry';
import type { RecoveryEvent } from './recoverychart';
import { recoveryChart } from './recoverychart';
import type { SchedulerEffect, SchedulerState, SchedulerStep } from '../types';

/** Returns whether an effect orders the start of a lasting task. */
function isLastingStart({ runs }: SchedulerState, effect: SchedulerEffect): boolean {
  if (effect.kind !== 'send' || effect.message.kind !== 'start') return false;
  return runs.byTask.get(effect.message.run.task)?.stage.isLasting === true;
}

/**
 * Returns whether every worker in a claim has reported or ended, and every lasting task that waited has
 * got its order.
 */
function isRestored({ workers, waits, runs }: SchedulerState): boolean {
  return (
    workers.every(({ report }) => report !== undefined) &&
    waits.every(
      ({ phase, cause }, task) =>
        cause !== 'returning' ||
        (phase === 'claimed' && runs.byTask.get(task)?.isOrdered !== false),
    )
  );
}

/** Returns what a leader has reached since its last step; undefined if nothing. */
function reachedEvent({ state, effects }: SchedulerStep): RecoveryEvent | undefined {
  const { phase, recovery, workers } = state;
  const isAtWork = phase === 'loading' || phase === 'leading';
  if (recovery.phase !== 'idle' && !isAtWork) return 'ended';
  switch (recovery.phase) {
    case 'idle':
      return isAtWork ? 'claimed' : undefined;
    case 'claimed':
      return phase === 'leading' ? 'loaded' : undefined;
    case 'loaded':
      return workers.some(({ report }) => report !== undefined) ? 'reported' : undefined;
    case 'reported':
      if (effects.some((effect) => isLastingStart(state, effect))) return 'ordered';
      return isRestored(state) ? 'restored' : undefined;
    case 'ordering':
      return isRestored(state) ? 'restored' : undefined;
    case 'restored':
      return undefined;
  }
}

/** Advances the recovery of a leader after a step, and logs the step of the way back that it has reached. */
export function traceRecovery(step: SchedulerStep, nowMs: number): SchedulerStep {
  const event = reachedEvent(step);
  if (event === undefined) return step;
  const { state, effects } = step;
  const { recovery, leader, restoredCount } = state;
  const next = advance(recoveryChart, recovery.phase, event);
  const beganAtMs = event === 'claimed' ? state.claimedAtMs : recovery.beganAtMs;
  const lastStepAtMs = event === 'claimed' ? state.claimedAtMs : recovery.lastStepAtMs;
  const fields = {
    step: event,
    term: leader?.term ?? 0,
    tookMs: Math.round(nowMs - lastStepAtMs),
    sinceClaimMs: Math.round(nowMs - beganAtMs),
    atFormerPlace: restoredCount,
  };
  const logs = next.actions.map(() => logEffect('recoveryStep', fields));
  const traced = { ...state, recovery: { phase: next.state, beganAtMs, lastStepAtMs: nowMs } };
  return { state: traced, effects: [...effects, ...logs] };
}
