import { Map } from 'immutable';
import type { Report, RunRef } from '@bronzeyoke/wire';
import { unchanged } from '@bronzeyoke/types';
import { addOrphan } from '../jobs/jobend';
import { runKey } from '../runs';
import { sendToWorker, withEffects } from '../state';
import { knownStage, taskLog } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';
import type { UnwantedStop } from '../views';

/** Time after which a stop order without effect is sent again. */
export const STOP_REPEAT_MS = 600;

/** Stops a run that no job wants. The order is repeated while the worker goes on listing the run. */
export function stopUnwanted(
  state: SchedulerState,
  workerKey: string,
  run: RunRef,
  nowMs: number,
): SchedulerStep {
  const view = state.workers.get(workerKey);
  const key = runKey(run);
  const known = view?.unwantedStops?.get(key);
  const isRecent = known !== undefined && nowMs - known.sentAtMs <= STOP_REPEAT_MS;
  if (view === undefined || isRecent) return unchanged(state);
  const stop = { sinceMs: known?.sinceMs ?? nowMs, sentAtMs: nowMs };
  const unwantedStops = (view.unwantedStops ?? Map<string, UnwantedStop>()).set(key, stop);
  const { task, attempt } = run;
  return withEffects(
    { ...state, workers: state.workers.set(workerKey, { ...view, unwantedStops }) },
    [
      ...sendToWorker(state, workerKey, { kind: 'stop', workerKey, run }),
      taskLog(knownStage(state, run), 'taskStopped', {
        task,
        attempt,
        worker: workerKey,
        reason: 'unwanted',
      }),
    ],
  );
}

/** Records that a run which no open job wants occupies a worker. */
export function keepUnwanted(
  state: SchedulerState,
  workerKey: string,
  run: RunRef,
): SchedulerState {
  const { task, attempt } = run;
  if (state.orphans.byTask.get(runKey(run))?.workerKey === workerKey) return state;
  const stage = knownStage(state, run);
  const orphan = { task, workerKey, attempt, order: 0, ...(stage === undefined ? {} : { stage }) };
  return { ...state, orphans: addOrphan(state.orphans, orphan) };
}

/** Returns whether a run is the one that its open job has claimed for a worker. */
export function isWanted(
  state: SchedulerState,
  workerKey: string,
  { task, attempt }: RunRef,
): boolean {
  const run = state.runs.byTask.get(task);
  return run?.attempt === attempt && run.workerKey === workerKey && state.jobs.has(run.jobId);
}

/** Records the starts on their way to a worker that no open job wants. */
export function keepUnwantedStarts(
  state: SchedulerState,
  { workerKey, pending }: Report,
): SchedulerState {
  return pending
    .filter((run) => !isWanted(state, workerKey, run))
    .reduce((current, run) => keepUnwanted(current, workerKey, run), state);
}
