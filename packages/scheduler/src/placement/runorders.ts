import type { EventFields } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import { unchanged, without } from '@bronzeyoke/types';
import { advanceRun, taskProgress, withTasks } from '@bronzeyoke/workflow';
import type { Stage } from '@bronzeyoke/workflow';
import { recordTaskTime, taskTime } from '../jobs/openjob';
import { putRun, runsOn } from '../runs';
import { sendToWorker, withEffects } from '../state';
import { taskLog } from '../tasklog';
import type { SchedulerState, SchedulerStep } from '../types';
import { runRef } from '../types';
import type { RunView } from '../views';

/** A run that its worker lists. */
export interface ListedTask {
  readonly task: string;
  readonly run: RunView;
  readonly stage: Stage;
}

/** Returns the runs that a worker lists. */
export function listedTasks(state: SchedulerState, workerKey: string): readonly ListedTask[] {
  return [...runsOn(state.runs, workerKey)]
    .filter(([, run]) => run.isListed)
    .map(([task, run]) => ({ task, run, stage: run.stage }));
}

/** Orders a run to work at a pace. */
export function setPace(
  state: SchedulerState,
  { task, run }: ListedTask,
  percent: number,
  reason: string,
  nowMs: number,
  evidence: EventFields = {},
): SchedulerStep {
  const { workerKey, attempt } = run;
  const ref = runRef(task, attempt);
  const paced = { ...without(run, 'inheritedPace'), pace: percent, pacedAtMs: nowMs };
  const recorded = recordTaskTime(state, run, { kind: 'paced', percent }, nowMs);
  return withEffects({ ...recorded, runs: putRun(state.runs, task, paced) }, [
    ...sendToWorker(state, workerKey, { kind: 'pace', workerKey, run: ref, percent }),
    logEffect('taskPaced', {
      task,
      attempt,
      worker: workerKey,
      image: run.stage.image ?? '',
      percent,
      reason,
      ...evidence,
    }),
  ]);
}

/** Stops a run so that its task is placed elsewhere once the worker lists the end. */
export function stopRun(
  state: SchedulerState,
  task: string,
  reason: string,
  nowMs: number,
): SchedulerStep {
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  if (run === undefined || open === undefined) return unchanged(state);
  if (run.stopSentAtMs !== undefined) return unchanged(state);
  const { slot, jobId } = run;
  const stopping = advanceRun(taskProgress(open.progress, slot), 'stop');
  const progress = withTasks(open.progress, [[slot, stopping]]);
  const { workerKey, attempt } = run;
  const time = taskTime(open, slot, { kind: 'stopped' }, nowMs);
  return withEffects(
    {
      ...state,
      jobs: state.jobs.set(jobId, { ...open, progress, ...time }),
      runs: putRun(state.runs, task, { ...run, stopSentAtMs: nowMs }),
    },
    [
      ...sendToWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) }),
      taskLog(run.stage, 'taskStopped', { job: jobId, task, attempt, worker: workerKey, reason }),
    ],
  );
}
