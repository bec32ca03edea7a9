import type { BatchState, TaskRecord } from './types';

/** Workers after whose failures a task is not tried again. */
export const MAX_FAILED_WORKERS = 3;

/** Bound for fleets with fewer than three workers. */
const MAX_FAILURES = 6;

/** Failures of a task after another one. */
export interface CountedFailures {
  readonly failures: number;
  readonly failedOn: readonly string[];
  /** Whether there have been so many that the task is not tried again. */
  readonly failsEverywhere: boolean;
}

/** Counts a failure of a task on a worker, or the loss of the worker that it was on. */
export function countTaskFailure(
  { health }: BatchState,
  task: TaskRecord,
  worker: string,
): CountedFailures {
  const failures = task.failures + 1;
  const failedOn = [...new Set([...task.failedOn, worker])];
  // Quarantined workers fail any task, so their failures do not count against this one.
  const counted = failedOn.filter((name) => health.get(name)?.quarantine === undefined);
  const failsEverywhere = counted.length >= MAX_FAILED_WORKERS || failures >= MAX_FAILURES;
  return { failures, failedOn, failsEverywhere };
}
