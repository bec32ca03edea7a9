import type { RunnerMessage } from '@bronzeyoke/wire';
import type { RunnerEffect, RunnerState } from './types';

/** Returns the effect that sends a message to the leader, or none without a connection. */
export function sendToLeader(state: RunnerState, message: RunnerMessage): readonly RunnerEffect[] {
  return state.isLinked ? [{ kind: 'send', message }] : [];
}

/** Returns the report of the worker to the leader, or none before the worker's first reply. */
export function reportEffects(state: RunnerState): readonly RunnerEffect[] {
  const { worker, settings, phase, term, lastOrder } = state;
  if (worker?.clockMs === undefined) return [];
  const { workerKey, report, clockMs, running, ended, pending } = worker;
  return sendToLeader(state, {
    kind: 'report',
    agentId: settings.agentId,
    term,
    workerKey,
    // The leader places nothing on a worker whose agent is about to exit.
    worker: phase === 'running' ? report : { ...report, isDraining: true },
    clockMs,
    running,
    ended,
    pending: pending
      .valueSeq()
      .map(({ run }) => run)
      .toArray(),
    lastOrder,
  });
}
