import { logEffect } from '@bronzeyoke/telemetry';
import type { StoredRow } from '@bronzeyoke/ports';
import { parseTaskName } from '@bronzeyoke/workflow';
import { parseJobKey } from '../leadership/rows';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import { handleKeptEnds } from './keptends';

/**
 * Holds a job whose definition cannot be decoded, unless an earlier version of it is known. Its tasks may
 * run, and what they need is not known, so nothing else is placed beside them.
 */
export function holdUndecoded(state: SchedulerState, row: StoredRow, jobId: string): SchedulerStep {
  const { jobs, ended, held, undecoded } = state;
  const isKnown = [jobs, ended, held.jobs, undecoded].some((known) => known.has(jobId));
  return withEffects(
    isKnown ? state : { ...state, undecoded: undecoded.set(jobId, { isCancelled: false }) },
    [logEffect('malformed', { what: 'job', key: row.key })],
  );
}

/** Ends the hold of a cancelled job. It is cancelled once more when its definition can be decoded. */
export function cancelUndecoded(state: SchedulerState, jobId: string): SchedulerState {
  if (!state.undecoded.has(jobId)) return state;
  const undecoded = state.undecoded.set(jobId, { isCancelled: true });
  return handleKeptEnds({ ...state, undecoded });
}

/** Ends the hold of a job whose definition can be decoded. */
export function dropUndecoded(state: SchedulerState, jobId: string): SchedulerState {
  if (!state.undecoded.has(jobId)) return state;
  return handleKeptEnds({ ...state, undecoded: state.undecoded.delete(jobId) });
}

/** Ends the holds of jobs whose definitions are not among all rows of the table. */
export function dropRemoved(state: SchedulerState, rows: readonly StoredRow[]): SchedulerState {
  if (state.undecoded.isEmpty()) return state;
  const stored = new Set(
    rows.flatMap(({ key }) => {
      const parsed = parseJobKey(key);
      return parsed.kind === 'job' ? [parsed.jobId] : [];
    }),
  );
  const removed = [...state.undecoded.keys()].filter((jobId) => !stored.has(jobId));
  return removed.reduce(dropUndecoded, state);
}

/** Returns whether a task belongs to a job that is held because its definition cannot be decoded. */
export function isUndecodedTask({ undecoded }: SchedulerState, task: string): boolean {
  if (undecoded.isEmpty()) return false;
  return undecoded.get(parseTaskName(task)?.jobId ?? '')?.isCancelled === false;
}
