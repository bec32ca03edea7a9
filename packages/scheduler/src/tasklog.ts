import type { EventFields, LogEffect, TaskEventName } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import type { RunRef } from '@bronzeyoke/wire';
import type { Stage } from '@bronzeyoke/workflow';
import { parseTaskName } from '@bronzeyoke/workflow';
import { runKey } from './runs';
import type { SchedulerState } from './types';

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
    state.orphans.byTask.get(runKey(run))?.stage
  );
}
