import type { Refusal } from '@bronzeyoke/wire';
import { releaseRun } from './release';
import { dropRun, runKey } from '../runs';
import { withEffects } from '../state';
import { knownStage, taskLog } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';

/** Records that an agent cannot reach its worker, until its next report. */
function noteUnreachable(state: SchedulerState, { workerKey, reason }: Refusal): SchedulerState {
  const view = state.workers.get(workerKey);
  if (view === undefined || reason !== 'unreachable') return state;
  const workers = state.workers.set(workerKey, { ...view, isUnreachable: true });
  return { ...state, workers };
}

/** Releases a run whose order was refused; the run did not start and never will. */
export function onOrderRefused(
  known: SchedulerState,
  message: Refusal,
  nowMs: number,
): SchedulerStep {
  const state = noteUnreachable(known, message);
  const { task, attempt } = message.run;
  const run = state.runs.byTask.get(task);
  const log = taskLog(knownStage(state, message.run), 'orderRefused', {
    task,
    attempt,
    worker: message.workerKey,
    reason: message.reason,
  });
  if (run?.attempt !== attempt || run.workerKey !== message.workerKey) {
    return withEffects({ ...state, orphans: dropRun(state.orphans, runKey(message.run)) }, [log]);
  }
  const step = releaseRun(state, task, 'refused', nowMs);
  return withEffects(step.state, [log, ...step.effects]);
}
