import type { Map } from 'immutable';
import type { WorkerReport } from '@bronzeyoke/ports';
import type { WorkerView } from './types';

function bornAtMsOf(workerKey: string): number {
  return Number(workerKey.slice(workerKey.lastIndexOf('@') + 1));
}

function isSameWorker(view: WorkerView, { id, address }: WorkerReport): boolean {
  const { workerKey, report, claimedAddress } = view;
  return report === undefined
    ? workerKey.startsWith(`${id}@`) || claimedAddress === address
    : report.id === id || report.address === address;
}

/**
 * Returns the keys of the instances that a report proves to have ended: those that were born earlier
 * under its id or at its address. An instance that was not born later proves nothing, because its
 * report may have been delayed until after its own end.
 */
export function earlierInstances(
  workers: Map<string, WorkerView>,
  worker: WorkerReport,
): readonly string[] {
  return workers
    .filter((view) => bornAtMsOf(view.workerKey) < worker.bornAtMs && isSameWorker(view, worker))
    .keySeq()
    .toArray();
}
