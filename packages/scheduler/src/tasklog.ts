import type { WorkerLoad } from '@bronzeyoke/placement';
import { fitsEmptyWorker, hasRoom } from '@bronzeyoke/placement';
import type { EventFields, LogEffect, TaskEventName } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import type { RunRef } from '@bronzeyoke/wire';
import type { Stage } from '@bronzeyoke/workflow';
import { parseTaskName } from '@bronzeyoke/workflow';
import { runKey } from './runs';
import type { SchedulerState } from './types';

/** Lines about tasks or workers in one look at them. Counting rooms for them must not take long. */
export const MAX_LINES = 20;

/** Time after which what has not ended is logged again. */
export const LOG_AGAIN_MS = 5_000;

/** Returns what a stage needs, and how many workers could run a task of it, for a log line. */
export function roomFields(stage: Stage, loads: readonly WorkerLoad[]): EventFields {
  const fitting = loads.filter((load) => fitsEmptyWorker(stage, load));
  const withRoom = fitting.filter((load) => hasRoom(stage, load));
  return { ...stage.needs, fitsEmpty: fitting.length, withRoom: withRoom.length };
}

/** Creates the log effect of an event about a task. The lines of lasting tasks are marked. */
export function taskLog(
  stage: Stage | undefined,
  event: TaskEventName,
  fields: EventFields,
): LogEffect {
  return logEffect(event, stage?.isLasting === true ? { ...fields, isLasting: true } : fields);
}

/** Returns the stage of a task of an open job, or of a run that outlived its job. */
export function knownStage(state: SchedulerState, run: RunRef): Stage | undefined {
  const ref = parseTaskName(run.task);
  if (ref === undefined) return undefined;
  return (
    state.jobs.get(ref.jobId)?.job.stages[ref.stageIndex] ??
    state.held.jobs.get(ref.jobId)?.job.stages[ref.stageIndex] ??
    state.orphans.byTask.get(runKey(run))?.stage
  );
}
