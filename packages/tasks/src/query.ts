import type { TaskId } from '@bronzeyoke/types';
import { assertNever, taskKey, unchanged, chain } from '@bronzeyoke/types';
import type { TaskReport } from '@bronzeyoke/wire';
import { isLeaseHeld } from './lease';
import { advanceTask, addRecent } from './task';
import { queueReport, repeatReport, sendReport } from './report';
import type { TasksState, TasksStep } from './types';

/**
 * Reports that a task does not run here, and blocks this epoch from starting later. Only an agent
 * with a current list of running tasks may report this; others send nothing and are queried again.
 */
export function reportNotRunning(
  state: TasksState,
  linkId: string,
  id: TaskId,
  epoch: number,
  report: TaskReport,
  nowMs: number,
): TasksStep {
  const pending = repeatReport(state, linkId, id, epoch);
  if (pending !== undefined) return pending;
  if (!isLeaseHeld(state) || state.needsListing) return unchanged(state);
  const key = taskKey(id);
  const highest = Math.max(epoch, state.epochs.get(key) ?? 0);
  const closed = { ...state, epochs: addRecent(state.epochs, key, highest) };
  return queueReport(closed, linkId, id, epoch, report, nowMs);
}

/** Answers a new owner's query about a claimed task. Later reports go to this owner. */
export function onAskTask(
  state: TasksState,
  linkId: string,
  id: TaskId,
  epoch: number,
  nowMs: number,
): TasksStep {
  const key = taskKey(id);
  const record = state.records.get(key);
  if (record === undefined || record.epoch < epoch) {
    // A record of an older epoch does not match the query: the queried epoch is not here.
    return reportNotRunning(state, linkId, id, epoch, { kind: 'notStarted' }, nowMs);
  }
  if (record.epoch > epoch) return unchanged(state);
  const updated = { ...record, linkId };
  const base = { ...state, records: state.records.set(key, updated) };
  switch (record.phase) {
    case 'reserved':
      // The claim was lost with the old owner: a copy of it that arrives later is returned.
      return chain(advanceTask(base, updated, { kind: 'drop' }, nowMs), (current) =>
        reportNotRunning(current, linkId, id, epoch, { kind: 'notStarted' }, nowMs),
      );
    case 'running':
    case 'checkpointing':
    case 'stopping':
      return sendReport(base, linkId, id, epoch, { kind: 'started' });
    case 'offered':
    case 'claimed':
    case 'starting':
      return unchanged(base);
    case 'finished':
    case 'failed':
    case 'released':
      return unchanged(state);
    default:
      return assertNever(record.phase);
  }
}
