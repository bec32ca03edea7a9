/** Rules about the runs of a task that are checked on what workers saw. */
export { findRepeatedTasks } from './repeats';
export type { LeaseLapse, RecordedRun, RepeatedTask, RepeatKind } from './types';
