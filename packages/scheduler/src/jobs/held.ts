import type { Moment } from '@bronzeyoke/latency';
import type { RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, chainAll, unchanged } from '@bronzeyoke/types';
import type { JobProgress, WorkflowJob } from '@bronzeyoke/workflow';
import { decodeProgress, parseTaskName } from '@bronzeyoke/workflow';
import { progressPageRows } from '../leadership/budget';
import { PARTITION, TABLES } from '../leadership/rows';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import type { StoredProgress } from '../views';
import { handleKeptEnds } from './keptends';
import { openWithRuns } from './openjobruns';
import { isUndecodedTask } from './undecoded';

/** Id of the call that reads the progress of held jobs. */
export const HELD_CALL = 'held-jobs';

/** Interval of the reads, and time after which a read without a result is given up. */
const READ_INTERVAL_MS = 5_000;

/** Returns what a row of the progress table tells. */
export function readProgress({ value, version }: StoredRow): StoredProgress {
  const progress = decodeProgress(value);
  return progress === undefined
    ? { kind: 'unreadable', version }
    : { kind: 'readable', progress, version };
}

/**
 * Holds a job whose progress cannot be read: its tasks may be done, or run on workers that are silent. It
 * is not opened, so nothing of it is placed or written.
 */
export function holdJob(state: SchedulerState, job: WorkflowJob, version: number): SchedulerStep {
  const { jobId } = job;
  const isKnown = state.held.jobs.get(jobId)?.version === version;
  const held = { ...state.held, jobs: state.held.jobs.set(jobId, { job, version }) };
  return withEffects(
    { ...state, held },
    isKnown ? [] : [logEffect('jobHeld', { job: jobId, version, queue: job.policy.queue })],
  );
}

/** Ends the hold of a job. The ends that were not acknowledged because of it are handled once more. */
export function dropHeld(state: SchedulerState, jobId: string): SchedulerState {
  if (!state.held.jobs.has(jobId)) return state;
  const held = { ...state.held, jobs: state.held.jobs.delete(jobId) };
  return handleKeptEnds({ ...state, held });
}

/** Returns whether a task belongs to a held job. */
export function isHeldTask(state: SchedulerState, task: string): boolean {
  const { jobs } = state.held;
  if (isUndecodedTask(state, task)) return true;
  return jobs.size > 0 && jobs.has(parseTaskName(task)?.jobId ?? '');
}

/** Reads the progress of the held jobs from time to time, one page after the other. */
export function readHeldJobs(state: SchedulerState, nowMs: number): SchedulerStep {
  const { jobs, fromKey, sentAtMs } = state.held;
  const isDue = nowMs - sentAtMs >= READ_INTERVAL_MS;
  if (state.phase !== 'leading' || jobs.isEmpty() || !isDue) return unchanged(state);
  const ids = jobs.keySeq().sort();
  const nextId = ids.find((jobId) => jobId >= fromKey) ?? ids.first('');
  const maxRows = progressPageRows(state.settings.capacity);
  const range = { table: TABLES.progress, partition: PARTITION, maxRows, fromKey: nextId };
  const held = { ...state.held, sentAtMs: nowMs, isReading: true };
  return withEffects({ ...state, held }, [{ kind: 'range', callId: HELD_CALL, range }]);
}

/** Opens a held job whose progress has become readable. */
function openHeld(
  state: SchedulerState,
  job: WorkflowJob,
  progress: JobProgress,
  moment: Moment,
): SchedulerStep {
  const { jobId } = job;
  const rest = dropHeld(state, jobId);
  const { outcome, endedAtMs = 0 } = progress;
  return outcome === undefined
    ? openWithRuns(rest, job, progress, { ...moment, source: 'held' })
    : unchanged({ ...rest, ended: rest.ended.set(jobId, endedAtMs) });
}

/** Opens the held jobs whose progress has become readable. One whose row is missing stays held. */
export function onHeldRows(
  state: SchedulerState,
  result: RowRangeResult,
  moment: Moment,
): SchedulerStep {
  if (state.phase !== 'leading' || !state.held.isReading) return unchanged(state);
  const rows = result.kind === 'rows' ? result.rows : [];
  const nextKey = result.kind === 'rows' ? (result.nextKey ?? '') : state.held.fromKey;
  const read = { ...state, held: { ...state.held, isReading: false, fromKey: nextKey } };
  return chainAll(
    read,
    rows.map((row) => (current: SchedulerState) => {
      const known = current.held.jobs.get(row.key);
      if (known === undefined) return unchanged(current);
      const stored = readProgress(row);
      switch (stored.kind) {
        case 'readable':
          return openHeld(current, known.job, stored.progress, moment);
        case 'unreadable':
          return holdJob(current, known.job, stored.version);
        default:
          return assertNever(stored);
      }
    }),
  );
}
