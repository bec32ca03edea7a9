import type { WorkerState } from './types';

/**
 * Returns the sequence that the next call acknowledges; 0 for none. Sequences begin anew with each
 * instance, and a later one under the id would drop its own first ends for a sequence of the earlier one. So
 * only ends that the last list still names are acknowledged, and none while calls fail.
 */
export function sequenceToAcknowledge({ ended, ackSequence, failures }: WorkerState): number {
  if (failures !== undefined) return 0;
  return ended.findLast(({ sequence }) => sequence <= ackSequence)?.sequence ?? 0;
}
