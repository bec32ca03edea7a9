/** Start of the ids of jobs whose first task crashes each worker that starts it. */
const CRASHING_PREFIX = 'dead';

/** Time from the start of such a task to the crash. */
export const CRASH_DELAY_MS = 10;

/** Returns the id of a job that crashes workers, made from another id. */
export function crashingId(id: string): string {
  return `${CRASHING_PREFIX}${id.slice(CRASHING_PREFIX.length)}`;
}

/** Returns whether a job crashes workers, so that it can only fail. */
export function isCrashingJob(id: string): boolean {
  return id.startsWith(CRASHING_PREFIX);
}

/** Returns whether a task crashes each worker that starts it. */
export function isCrashingTask(task: string): boolean {
  return isCrashingJob(task) && task.endsWith('.0.0.0');
}
