import { unchanged } from '@bronzeyoke/types';
import type { RunRef } from '@bronzeyoke/wire';
import { runKey } from '../runs';
import { withEffects } from '../state';
import { knownStage, taskLog } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';
import type { ReleasedRun, RunView } from '../views';

/** Time for which a released run is remembered. Longer than any lease that a worker accepts. */
export const REMEMBER_RELEASED_MS = 30_000;

/** Remembers a run that was released without a listed end. One that was never ordered can't be listed. */
export function rememberReleased(
  state: SchedulerState,
  task: string,
  { workerKey, attempt, isOrdered }: RunView,
  reason: string,
  nowMs: number,
): SchedulerState {
  if (!isOrdered) return state;
  const leaseFrom = state.workers.get(workerKey)?.leaseFrom.kind;
  const released: ReleasedRun = {
    workerKey,
    reason,
    releasedAtMs: nowMs,
    ...(leaseFrom === undefined ? {} : { leaseFrom }),
  };
  return {
    ...state,
    released: state.released.set(runKey({ task, attempt }), released),
  };
}

/** Forgets the runs that were released long ago. */
export function forgetReleased(state: SchedulerState, nowMs: number): SchedulerState {
  if (state.released.isEmpty()) return state;
  const isRecent = ({ releasedAtMs }: ReleasedRun): boolean =>
    nowMs - releasedAtMs < REMEMBER_RELEASED_MS;
  if (state.released.every(isRecent)) return state;
  return { ...state, released: state.released.filter(isRecent) };
}

/**
 * Logs once that a worker lists a run that was released before. Its task may have run twice: the sign on
 * which it was released was no proof of its end.
 */
export function logListedAfterRelease(
  state: SchedulerState,
  workerKey: string,
  run: RunRef,
  listedAs: string,
  nowMs: number,
): SchedulerStep {
  const { task, attempt } = run;
  const key = runKey(run);
  const known = state.released.get(key);
  if (known === undefined || known.isListed === true) return unchanged(state);
  const claimedOn = state.runs.byTask.get(task)?.workerKey;
  const { reason, releasedAtMs, workerKey: releasedFrom } = known;
  const fields = {
    task,
    attempt,
    worker: workerKey,
    releasedFrom,
    reason,
    releasedAgoMs: Math.round(nowMs - releasedAtMs),
    listedAs,
    ...(claimedOn === undefined ? {} : { claimedOn }),
  };
  const listed = { ...known, isListed: true };
  return withEffects({ ...state, released: state.released.set(key, listed) }, [
    taskLog(knownStage(state, run), 'taskListedAfterRelease', fields),
  ]);
}
