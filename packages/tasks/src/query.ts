import type { TaskId } from '@bronzeyoke/types';
import { assertNever, taskKey, unchanged } from '@bronzeyoke/types';
import type { TaskReport } from '@bronzeyoke/wire';
import { chain } from './call';
import { isLeaseHeld } from './lease';
import { applyTask, addRecent } from './task';
import { queueReport, repeatReport, sendReport } from './report';
import type { TasksState, TasksStep } from './types';

/**
 * Reports that a task does not run here, and never starts that epoch from then on. Only an agent
 * that knows what its worker runs can say so; others stay silent and are asked again.
 */
export function reportNotRunning(
  state: TasksState,
  linkId: string,
  id: TaskId,
  epoch: number,
  report: TaskReport,
  nowMs: number,
): TasksStep {
  const known = repeatReport(state, linkId, id, epoch);
  if (known !== undefined) return known;
  if (!isLeaseHeld(state) || state.needsListing) return unchanged(state);
  const key = taskKey(id);
  const highest = Math.max(epoch, state.epochs.get(key) ?? 0);
  const closed = { ...state, epochs: addRecent(state.epochs, key, highest) };
  return queueReport(closed, linkId, id, epoch, report, nowMs);
}

/** A new owner asks what became of a claimed task. Later reports go to it. */
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
    // An older run that is still here is not what was asked about; the asked one is not held.
    return reportNotRunning(state, linkId, id, epoch, { kind: 'notStarted' }, nowMs);
  }
  if (record.epoch > epoch) return unchanged(state);
  const asked = { ...record, linkId };
  const base = { ...state, records: state.records.set(key, asked) };
  switch (record.phase) {
    case 'reserved':
      // The claim was lost with the old owner: a copy of it that arrives later is returned.
      return chain(applyTask(base, asked, { kind: 'drop' }, nowMs), (current) =>
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
