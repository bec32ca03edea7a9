import { without } from '@bronzeyoke/types';
import type { LowerSequences, WorkerState } from './types';

/**
 * Heartbeats in order after which the worker counts as their sender again. Another writer may have sent one
 * with a high sequence, and fewer may be late ones of the worker itself.
 */
const MIN_IN_ORDER = 3;

function follow({ count, last }: LowerSequences, sequence: number): LowerSequences {
  return sequence > last ? { count: count + 1, last: sequence } : { count, last };
}

/** Returns the worker after the sequence of a heartbeat, and whether the heartbeat is its latest one. */
export function noteSequence(
  worker: WorkerState,
  sequence: number,
): { readonly worker: WorkerState; readonly isLatest: boolean } {
  if (sequence > worker.report.sequence) {
    return { worker: without(worker, 'lowerSequences'), isLatest: true };
  }
  const { lowerSequences } = worker;
  const lower =
    lowerSequences === undefined ? { count: 1, last: sequence } : follow(lowerSequences, sequence);
  return lower.count >= MIN_IN_ORDER
    ? { worker: without(worker, 'lowerSequences'), isLatest: true }
    : { worker: { ...worker, lowerSequences: lower }, isLatest: false };
}
