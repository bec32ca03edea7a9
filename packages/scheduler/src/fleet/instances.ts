import type { WorkerReport } from '@bronzeyoke/ports';
import type { TaskProgress } from '@bronzeyoke/workflow';
import { taskProgress, withTasks } from '@bronzeyoke/workflow';
import type { InstanceIndex } from './identities';
import { instancesAt, instancesWith } from './identities';
import { isHeard } from './leases';
import { runsOn } from '../runs';
import { putJob } from '../state';
import type { SchedulerState } from '../types';

function bornAtMsOf(workerKey: string): number {
  return Number(workerKey.slice(workerKey.lastIndexOf('@') + 1));
}

/**
 * Returns the keys of the instances that a report proves to have ended: those that were born earlier
 * under its id or at its address. An instance that was not born later proves nothing, because its
 * report may have been delayed until after its own end.
 */
export function earlierInstances(
  instances: InstanceIndex,
  worker: WorkerReport,
): readonly string[] {
  return instancesWith(instances, worker).filter(
    (workerKey) => bornAtMsOf(workerKey) < worker.bornAtMs,
  );
}

/**
 * Returns whether another agent than that of a report has just reported an instance, and is connected. The
 * instance may have moved to another address, which that agent tells with its next report. An agent that has
 * reconnected is still the same one, and knows which of its instances has ended.
 */
export function isReportedElsewhere(
  { workers }: SchedulerState,
  workerKey: string,
  { agentId }: { readonly agentId: string },
  nowMs: number,
): boolean {
  const view = workers.get(workerKey);
  return view?.agentId !== agentId && isHeard(view, nowMs);
}

function hasMoved({ workerAddress }: TaskProgress, address: string): boolean {
  return workerAddress !== undefined && workerAddress !== address;
}

/**
 * Updates the address in the claims of a worker that reports at another one. A later leader would take
 * an instance at the old address as proof that the worker has ended.
 */
export function storeAddress(
  state: SchedulerState,
  workerKey: string,
  address: string,
): SchedulerState {
  if (state.workers.get(workerKey)?.report?.address === address) return state;
  return runsOn(state.runs, workerKey).reduce((current, { jobId, slot }) => {
    const open = current.jobs.get(jobId);
    if (open === undefined) return current;
    const stored = taskProgress(open.progress, slot);
    if (!hasMoved(stored, address)) return current;
    const moved = { ...stored, workerAddress: address };
    return putJob(current, jobId, {
      ...open,
      progress: withTasks(open.progress, [[slot, moved]]),
    });
  }, state);
}

/** A worker instance in a report. */
interface ReportedWorker {
  readonly workerKey: string;
  readonly worker: WorkerReport;
}

/** Returns whether a later instance at a worker's address has reported. */
export function hasNewerInstance(
  state: SchedulerState,
  { workerKey, worker }: ReportedWorker,
): boolean {
  return instancesAt(state.instances, worker.address).some((otherKey) => {
    const other = state.workers.get(otherKey)?.report;
    return otherKey !== workerKey && other !== undefined && other.bornAtMs > worker.bornAtMs;
  });
}

/** Returns whether a worker was compared with all known instances and says the same of itself as then. */
export function wasCompared(state: SchedulerState, { workerKey, worker }: ReportedWorker): boolean {
  const known = state.workers.get(workerKey);
  return known?.report === worker && known.comparedCount === state.instanceCount;
}

/** Records that a worker was compared with all known instances. */
export function markCompared(state: SchedulerState, workerKey: string): SchedulerState {
  const { workers, instanceCount } = state;
  const view = workers.get(workerKey);
  if (view === undefined || view.comparedCount === instanceCount) return state;
  const compared = { ...view, comparedCount: instanceCount };
  return { ...state, workers: workers.set(workerKey, compared) };
}
