import { LATE_CALL_MS } from '@bronzeyoke/ports';
import type { RunRef } from '@bronzeyoke/wire';
import { runsOn } from '../runs';
import type { SchedulerTimes } from '../times';
import type { SchedulerState } from '../types';
import { runRef } from '../types';
import type { RunView } from '../views';

/**
 * Returns whether a later instance under the worker's id may still begin a run: the agent that got the
 * order has ended, so nobody knows whether its call is on the way.
 */
export function mayStartLate(run: RunView, agentId: string | undefined, nowMs: number): boolean {
  const { orderedAgentId, orderedAtMs = -Infinity, isListed } = run;
  const hasEnded = orderedAgentId !== undefined && orderedAgentId !== agentId;
  return hasEnded && !isListed && nowMs - orderedAtMs < LATE_CALL_MS;
}

/** Returns the runs of a worker that a later instance may begin, given the agent at work there now. */
export function lateStartsOn(
  state: SchedulerState,
  workerKey: string,
  agentId: string | undefined,
  nowMs: number,
): readonly RunRef[] {
  return [...runsOn(state.runs, workerKey)].flatMap(([task, run]) =>
    mayStartLate(run, agentId, nowMs) ? [runRef(task, run.attempt)] : [],
  );
}

/** Returns the time until which a start that was ordered of a worker may still come late. */
export function lateStartsEndMs(state: SchedulerState, workerKey: string): number {
  return [...runsOn(state.runs, workerKey).values()].reduce(
    (endMs, { isListed, orderedAtMs = -Infinity }) =>
      isListed ? endMs : Math.max(endMs, orderedAtMs + LATE_CALL_MS),
    -Infinity,
  );
}

/**
 * Returns the time until which a run may go on that no agent reports. A later instance that began it from a
 * late order holds a lease by the clock of the one before it, which the worker cuts to the longest one. A
 * lasting task has to be back sooner, and no success of it counts.
 */
function lateRunEndMs(
  { isListed, orderedAtMs = -Infinity, keptUntilMs = -Infinity, stage }: RunView,
  { maxLeaseEndMs }: SchedulerTimes,
): number {
  if (isListed) return -Infinity;
  const lateEndMs = orderedAtMs + LATE_CALL_MS + (stage.isLasting ? 0 : maxLeaseEndMs);
  return Math.max(lateEndMs, keptUntilMs);
}

/** Returns the runs of a silent worker that a later instance may have begun from late orders. */
export function lateRunsOn(
  state: SchedulerState,
  workerKey: string,
  nowMs: number,
): readonly RunRef[] {
  const { times } = state.settings;
  return [...runsOn(state.runs, workerKey)].flatMap(([task, run]) =>
    nowMs < lateRunEndMs(run, times) ? [runRef(task, run.attempt)] : [],
  );
}

/** Returns the time until which runs may go on that a later instance began from late orders. */
export function lateRunsEndMs(state: SchedulerState, workerKey: string): number {
  const { times } = state.settings;
  return [...runsOn(state.runs, workerKey).values()].reduce(
    (endMs, run) => Math.max(endMs, lateRunEndMs(run, times)),
    -Infinity,
  );
}
