/** Start of the ids of jobs whose first task crashes each worker that starts it. */
const CRASHING_PREFIX = 'dead';

/** Start of the ids of jobs whose tasks run until the job is cancelled. */
const LASTING_PREFIX = 'cafe';

/** Time from the start of a crashing task to the crash. */
export const CRASH_DELAY_MS = 10;

const WORK_MS = 250;

/** Time after which the runs of lasting tasks end by themselves, as done. */
const LASTING_WORK_MS = 2_500;

function withPrefix(prefix: string, id: string): string {
  return `${prefix}${id.slice(prefix.length)}`;
}

/** Returns the id of a job that crashes workers, made from another id. */
export function crashingId(id: string): string {
  return withPrefix(CRASHING_PREFIX, id);
}

/** Returns the id of a job that lasts, made from another id. */
export function lastingId(id: string): string {
  return withPrefix(LASTING_PREFIX, id);
}

/** Returns whether a job crashes workers, so that it can only fail. */
export function isCrashingJob(id: string): boolean {
  return id.startsWith(CRASHING_PREFIX);
}

/** Returns whether a job or a task lasts until its job is cancelled. */
export function isLasting(id: string): boolean {
  return id.startsWith(LASTING_PREFIX);
}

/** Returns whether a task crashes each worker that starts it. */
export function isCrashingTask(task: string): boolean {
  return isCrashingJob(task) && task.endsWith('.0.0.0');
}

/** Returns how long a run of a task takes. */
export function workMsOf(task: string): number {
  return isLasting(task) ? LASTING_WORK_MS : WORK_MS;
}
