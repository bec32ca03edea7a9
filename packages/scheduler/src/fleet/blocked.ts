import { logEffect } from '@bronzeyoke/telemetry';
import { unchanged } from '@bronzeyoke/types';
import { Map } from 'immutable';
import { runsOn } from '../runs';
import { withEffects } from '../state';
import { LOG_AGAIN_MS, MAX_LINES } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';
import type { OrphanRun } from '../views';

/** Time after its first stop order from which a run that its worker still lists ignores the stop. */
const IGNORED_AFTER_MS = 3_000;

/** Stop orders that a run ignores of which nothing tells what it needs. */
interface IgnoredStop {
  readonly orphan: OrphanRun;
  readonly stoppedForMs: number;
}

/** Returns the ignored stops of a worker's runs of unknown size. No task is placed beside these. */
function ignoredStops(
  state: SchedulerState,
  workerKey: string,
  nowMs: number,
): readonly IgnoredStop[] {
  const stops = state.workers.get(workerKey)?.unwantedStops;
  if (stops === undefined) return [];
  return [...runsOn(state.orphans, workerKey)]
    .map(([key, orphan]) => ({ orphan, stoppedForMs: nowMs - (stops.get(key)?.sinceMs ?? nowMs) }))
    .filter(
      ({ orphan, stoppedForMs }) => orphan.stage === undefined && stoppedForMs >= IGNORED_AFTER_MS,
    );
}

/**
 * Returns whether a worker gets no lease: its present one has to end for a success that must not count, or a
 * run there ignores its stop orders and it runs nothing for an open job.
 */
export function isLeaseWithheld(state: SchedulerState, workerKey: string, nowMs: number): boolean {
  if (state.workers.get(workerKey)?.awaitsLapse === true) return true;
  return (
    runsOn(state.runs, workerKey).isEmpty() && ignoredStops(state, workerKey, nowMs).length > 0
  );
}

/** A worker without room for tasks, because a run there ignores its stop orders. */
interface BlockedWorker {
  readonly workerKey: string;
  readonly stop: IgnoredStop;
}

function blockedWorkers(state: SchedulerState, nowMs: number): readonly BlockedWorker[] {
  return [...state.orphans.byWorker.keys()].flatMap((workerKey) => {
    const [stop] = ignoredStops(state, workerKey, nowMs);
    return stop === undefined ? [] : [{ workerKey, stop }];
  });
}

/**
 * Logs the workers that get no tasks because a run of unknown size ignores its stop orders, each again
 * while it lasts, and counts them.
 */
export function logBlockedWorkers(state: SchedulerState, nowMs: number): SchedulerStep {
  const { blockedLoggedAtMs: loggedAtMs } = state;
  const blocked = blockedWorkers(state, nowMs);
  if (blocked.length === 0 && loggedAtMs.isEmpty()) return unchanged(state);
  const late = blocked
    .filter(({ workerKey }) => nowMs - loggedAtMs.get(workerKey, -Infinity) >= LOG_AGAIN_MS)
    .slice(0, MAX_LINES);
  const known = blocked.map(({ workerKey }): readonly [string, number] => [
    workerKey,
    loggedAtMs.get(workerKey, -Infinity),
  ]);
  const logged = Map(known).merge(late.map(({ workerKey }) => [workerKey, nowMs]));
  return withEffects({ ...state, blockedLoggedAtMs: logged }, [
    ...late.map(({ workerKey, stop: { orphan, stoppedForMs } }) => {
      const { task, attempt } = orphan;
      const fields = { task, attempt, stoppedForMs: Math.round(stoppedForMs) };
      return logEffect('workerBlocked', { worker: workerKey, ...fields });
    }),
    logEffect('blockedCounts', { total: blocked.length }),
  ]);
}
