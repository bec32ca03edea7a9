import type { WorkerCallResult } from '@bronzeyoke/ports';
import { workerKeyOf } from '@bronzeyoke/ports';
import { isOfOther } from './failures';
import type { RunnerState } from './types';

/** Returns whether the present worker has been heard at another address, which has not been refuted. */
export function mayHaveMoved({ worker, candidates }: RunnerState): boolean {
  return candidates.some(
    ({ report }) =>
      workerKeyOf(report) === worker?.workerKey && report.address !== worker.report.address,
  );
}

/** Returns whether a result shows that a later instance under the worker's id has answered. */
function isOfLater({ worker }: RunnerState, result: WorkerCallResult): boolean {
  if (result.kind !== 'done' || result.bornAtMs === undefined) return false;
  return result.bornAtMs > (worker?.report.bornAtMs ?? 0);
}

/**
 * Returns the result of a hold as it counts for the present worker. The answer of another instance at an
 * address that the worker may have left counts as none, until the worker's new address is settled.
 */
export function resultForWorker(state: RunnerState, result: WorkerCallResult): WorkerCallResult {
  const { worker } = state;
  if (worker === undefined || !isOfOther(worker, result)) return result;
  if (isOfLater(state, result) || !mayHaveMoved(state)) return result;
  return { kind: 'lost' };
}
