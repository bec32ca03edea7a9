import type { SchedulerState } from '../types';

/**
 * Makes the lease row tell of the earlier leases of all workers while runs in the store can't be read: which
 * workers they are on is not known, and a later leader may be able to read them.
 */
export function countUnreadRuns(state: SchedulerState): SchedulerState {
  const { earlierLeases, held, undecoded, unopened } = state;
  if ([held.jobs, undecoded, unopened].every((jobs) => jobs.isEmpty())) return state;
  const { endAtMs, awaited } = earlierLeases;
  const latestEndAtMs = Math.max(endAtMs, awaited.max() ?? 0);
  return { ...state, earlierLeases: { ...earlierLeases, endAtMs: latestEndAtMs } };
}
