import { Map } from 'immutable';
import type { JobProgress, TaskProgress, WorkflowJob } from '@bronzeyoke/workflow';
import { assignedSlots } from '@bronzeyoke/workflow';
import { indexInstances } from './identities';
import { addOrphan, orphansOf } from '../jobs/jobend';
import { rowLeaseBasis } from './leasebasis';
import { leaseEndAtMs, leaseEndMs } from './leases';
import { inheritedPaceOf } from '../placement/inheritedpace';
import type { RunTable } from '../runs';
import { createRun, dropRuns, NO_RUNS, putRun, runKey } from '../runs';
import { findSuspects } from '../jobs/suspects';
import type { GoneReport, SchedulerState } from '../types';
import type { LeaseBasis, OpenJob, RunView, WorkerView } from '../views';

function isOpen({ jobs }: SchedulerState, jobId: string): boolean {
  const open = jobs.get(jobId);
  return open !== undefined && open.progress.outcome === undefined;
}

/** Returns the addresses that the claims of each worker name. */
function claimedAddresses(state: SchedulerState): Map<string, ReadonlySet<string>> {
  const claims = state.jobs
    .valueSeq()
    .flatMap(({ progress }) => assignedSlots(progress).map(([, task]) => task));
  return claims.reduce(
    (known, { workerKey = '', workerAddress: address }) =>
      address === undefined
        ? known
        : known.set(workerKey, new Set([...known.get(workerKey, []), address])),
    Map<string, ReadonlySet<string>>(),
  );
}

/** Adds the addresses in the claims. */
function withClaimedAddresses(
  workers: Map<string, WorkerView>,
  state: SchedulerState,
): Map<string, WorkerView> {
  const addresses = claimedAddresses(state);
  return workers.map((view): WorkerView => {
    const [address, other] = addresses.get(view.workerKey, []);
    // Claims that name different addresses do not show which one the worker has left.
    return address === undefined || other !== undefined
      ? view
      : { ...view, claimedAddress: address };
  });
}

/**
 * Time from a load in which the agents that are up find the new leader and report. Without it, a leader that
 * was slow to claim gives runs away whose agents are just about to report their ends. Lasting tasks do not
 * wait for them: they have to be back soon, and their work is not lost by a second run.
 */
const FIRST_REPORTS_MS = 2_000;

/**
 * Returns the run that the stored progress of a task tells of, if its job has such a stage. `orderedAtMs`
 * is the latest time of its order.
 */
function adoptedRun(
  { jobId, stages }: WorkflowJob,
  slot: string,
  task: TaskProgress,
  orderedAtMs: number,
  nowMs: number,
): RunView | undefined {
  const stage = stages[Number(slot.split('.')[1])];
  if (stage === undefined) return undefined;
  const { workerKey = '', attempt } = task;
  const claim = { jobId, slot, stage, workerKey, attempt, isOrdered: true, isLastResort: false };
  return {
    ...createRun(claim, nowMs),
    ...inheritedPaceOf(stage, nowMs),
    // The worker has listed a run that is stored as running, so its order was carried out there.
    ...(task.phase === 'running' || stage.isLasting ? {} : { orderedAtMs }),
    ...(stage.isLasting ? {} : { keptUntilMs: nowMs + FIRST_REPORTS_MS }),
  };
}

/** Returns the runs that the stored progress of a job tells of, by task. */
function adoptedRuns(
  job: WorkflowJob,
  progress: JobProgress,
  orderedAtMs: number,
  nowMs: number,
): readonly (readonly [string, RunView])[] {
  return assignedSlots(progress).flatMap(([slot, task]) => {
    const run = adoptedRun(job, slot, task, orderedAtMs, nowMs);
    return run === undefined ? [] : [[`${job.jobId}.${slot}`, run] as const];
  });
}

/** Returns a worker that has not reported yet, and may run tasks until `expiresAtMs`. */
function unheardWorker(workerKey: string, expiresAtMs: number, leaseFrom: LeaseBasis): WorkerView {
  return {
    workerKey,
    clockMs: -1,
    linkNumber: -1,
    expiresAtMs,
    leaseFrom,
    handledSequence: 0,
    failedJobs: [],
    quarantinedUntilMs: 0,
  };
}

/** What a new leader knows beside the stored progress. */
export interface LoadedEvidence {
  /** Messages during the load that workers are gone. */
  readonly goneReports: readonly GoneReport[];
  /** Latest times of the orders in the rows of jobs, by job. */
  readonly orderedAtMs: Map<string, number>;
}

/**
 * Adds the runs in the stored progress. Their start orders may or may not have been sent. Those of jobs
 * that have ended since occupy their workers too, until these report without them.
 */
export function adoptRuns(
  state: SchedulerState,
  { goneReports, orderedAtMs }: LoadedEvidence,
  nowMs: number,
): SchedulerState {
  const assigned = state.jobs
    .valueSeq()
    .flatMap(({ job, progress }) =>
      adoptedRuns(job, progress, orderedAtMs.get(job.jobId, nowMs), nowMs),
    )
    .toArray();
  const runs = assigned.filter(([, { jobId }]) => isOpen(state, jobId));
  const ended = assigned.filter(([, { jobId }]) => !isOpen(state, jobId));
  const withoutRuns = goneReports.filter(({ openRuns }) => openRuns.length === 0);
  const gone = new Set(withoutRuns.map(({ workerKey }) => workerKey));
  const keys = [...new Set(assigned.map(([, { workerKey }]) => workerKey))];
  const leaseEndOf = (workerKey: string): number => leaseEndAtMs(state.earlierLeases, workerKey);
  const silent = keys.filter((workerKey) => !gone.has(workerKey));
  const workers = keys.map((workerKey) => {
    const view = gone.has(workerKey)
      ? unheardWorker(workerKey, nowMs, { kind: 'reportedGone', baseAtMs: nowMs })
      : unheardWorker(
          workerKey,
          leaseEndOf(workerKey),
          rowLeaseBasis(state.earlierLeases, workerKey),
        );
    return [workerKey, view] as const;
  });
  const known = withClaimedAddresses(Map(workers), state);
  return {
    ...state,
    suspects: findSuspects(state, nowMs),
    runs: runs.reduce<RunTable>((table, [task, run]) => putRun(table, task, run), NO_RUNS),
    orphans: orphansOf(ended).reduce(addOrphan, state.orphans),
    workers: known,
    instances: indexInstances(known),
    awaited: Map(silent.map((workerKey) => [workerKey, leaseEndOf(workerKey)])),
  };
}

/** Adds the runs in the progress of a job that is opened while this entry leads. */
export function adoptJobRuns(state: SchedulerState, open: OpenJob, nowMs: number): SchedulerState {
  const { job, progress } = open;
  const runs = adoptedRuns(job, progress, nowMs, nowMs);
  // Until then a later instance may report a run whose order it carried out.
  const earliestEndAtMs = nowMs + leaseEndMs(state.settings.times);
  const unheard = runs
    .map(([, { workerKey }]) => workerKey)
    .filter((workerKey) => !state.workers.has(workerKey))
    .map((workerKey) => {
      const rowEndAtMs = leaseEndAtMs(state.earlierLeases, workerKey);
      return rowEndAtMs > earliestEndAtMs
        ? unheardWorker(workerKey, rowEndAtMs, rowLeaseBasis(state.earlierLeases, workerKey))
        : unheardWorker(workerKey, earliestEndAtMs, { kind: 'adopted', baseAtMs: nowMs });
    });
  const workers = state.workers.merge(unheard.map((view) => [view.workerKey, view]));
  const keys = runs.map(([task, { attempt }]) => runKey({ task, attempt }));
  const jobs = Map([[job.jobId, open]]);
  return {
    ...state,
    runs: runs.reduce<RunTable>((table, [task, run]) => putRun(table, task, run), state.runs),
    orphans: dropRuns(state.orphans, keys),
    suspects: state.suspects.merge(findSuspects({ ...state, jobs }, nowMs)),
    workers,
    instances: indexInstances(workers),
    // Workers are compared with all instances again, for runs that were moved to later ones.
    instanceCount: state.instanceCount + 1,
  };
}
