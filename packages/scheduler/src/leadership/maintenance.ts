import type { RowWrite } from '@bronzeyoke/ports';
import type { JobProgress } from '@bronzeyoke/workflow';
import { areVerdictsDue, markWritten } from '../admission/view';
import { ADMISSION_KEY, COUNTS_KEY, PAIRS_KEY, progressKey } from './rows';
import type { SchedulerState } from '../types';

const MAX_EXPIRED_JOBS = 20;

/** Outcomes are stored for this many times the promised `statusMs`. */
const OUTCOME_KEEP_FACTOR = 1.5;
const COUNTS_INTERVAL_MS = 500;

/** Unchanged counts are written again, so that a reader sees that they are current. */
const COUNTS_REFRESH_MS = 1_000;
const PAIRS_INTERVAL_MS = 1_000;

function hasStarted({ tasks }: JobProgress): boolean {
  return [...tasks.values()].some(
    ({ phase, failures }) => phase === 'running' || phase === 'done' || failures > 0,
  );
}

/** Counts the jobs of each queue without a task known to have run. Scheduled jobs are left out. */
export function countQueuedJobs(state: SchedulerState): Readonly<Record<string, number>> {
  const waiting = state.jobs
    .valueSeq()
    .filter(({ job, progress }) => job.schedule === undefined && !hasStarted(progress))
    .countBy(({ job }) => job.policy.queue);
  return Object.fromEntries(waiting);
}

/**
 * Returns ended jobs whose outcome has been stored for long enough. The time of day may step, and a full read
 * of the job table may still deliver the row of a job that ended under this leader, so the steady clock
 * counts too.
 */
function expiredJobs(state: SchedulerState, nowMs: number, wallMs: number): readonly string[] {
  const { ended, endStoredAtMs } = state;
  const keepMs = state.settings.times.statusMs * OUTCOME_KEEP_FACTOR;
  const expired = ended.filter(
    (endedAtMs, jobId) =>
      wallMs - endedAtMs > keepMs && nowMs - endStoredAtMs.get(jobId, -Infinity) > keepMs,
  );
  return expired.keySeq().take(MAX_EXPIRED_JOBS).toArray();
}

/** Returns the rows that a leader writes from time to time, with the state that records them. */
export function maintenanceWrites(
  state: SchedulerState,
  nowMs: number,
  wallMs: number,
): { readonly state: SchedulerState; readonly writes: readonly RowWrite[] } {
  if (state.phase !== 'leading') return { state, writes: [] };
  const sinceMs = nowMs - state.countsWrittenAtMs;
  const counts = sinceMs < COUNTS_INTERVAL_MS ? {} : countQueuedJobs(state);
  const countsText = JSON.stringify(counts);
  const isChanged = countsText !== state.writtenCounts;
  const writesCounts = sinceMs >= (isChanged ? COUNTS_INTERVAL_MS : COUNTS_REFRESH_MS);
  const expired = expiredJobs(state, nowMs, wallMs);
  const writesPairs = state.arePairsDirty && nowMs - state.pairsSavedAtMs >= PAIRS_INTERVAL_MS;
  const writesVerdicts = areVerdictsDue(state.admission, nowMs);
  const next = {
    ...state,
    ended: state.ended.deleteAll(expired),
    endStoredAtMs: state.endStoredAtMs.deleteAll(expired),
    ...(writesCounts ? { writtenCounts: countsText, countsWrittenAtMs: nowMs } : {}),
    ...(writesPairs ? { pairsSavedAtMs: nowMs, arePairsDirty: false } : {}),
    ...(writesVerdicts ? { admission: markWritten(state.admission, nowMs) } : {}),
  };
  const writes: readonly RowWrite[] = [
    ...expired.map((jobId) => ({ kind: 'delete', ...progressKey(jobId) }) as const),
    ...(writesCounts
      ? [{ kind: 'put', ...COUNTS_KEY, value: { atMs: wallMs, queues: counts } } as const]
      : []),
    ...(writesPairs ? [{ kind: 'put', ...PAIRS_KEY, value: state.pairs.toObject() } as const] : []),
    ...(writesVerdicts
      ? [{ kind: 'put', ...ADMISSION_KEY, value: state.admission.notice } as const]
      : []),
  ];
  return { state: next, writes };
}
