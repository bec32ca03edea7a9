import { Map } from 'immutable';
import { logEffect } from '@bronzeyoke/telemetry';
import type { RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import { chainAll, unchanged } from '@bronzeyoke/types';
import type { JobProgress, WorkflowJob } from '@bronzeyoke/workflow';
import {
  assignedSlots,
  decodeJob,
  decodeProgress,
  NO_PROGRESS,
  restartLasting,
  statusOf,
} from '@bronzeyoke/workflow';
import { z } from 'zod';
import { indexInstances } from './identities';
import { earlierInstances } from './instances';
import { advanceLeadership } from './leadership';
import { leaseEndAtMs } from './leases';
import { advanceRead, areReadsDone, readTable } from './load';
import { inheritedPaceOf } from './pace';
import { PAIRS_KEY, parseJobKey, TABLES } from './rows';
import type { RunTable } from './runs';
import { NO_RUNS, putRun } from './runs';
import { withEffects } from './state';
import { findSuspects } from './suspects';
import type { GoneReport, SchedulerState, SchedulerStep } from './types';
import type { OpenJob, RunView, WorkerView } from './views';
import { addOrphan, endJob, orphansOf } from './jobend';

const pairsSchema = z.record(z.string(), z.object({ mean: z.number(), variance: z.number() }));

/** Worker keys in one log line. */
const MAX_LOGGED_WORKERS = 10;

function addJob(state: SchedulerState, job: WorkflowJob, progress: JobProgress): SchedulerStep {
  const { jobId } = job;
  if (state.jobs.has(jobId) || state.ended.has(jobId)) return unchanged(state);
  const open: OpenJob = { job, progress: restartLasting(job, progress), isCancelled: false };
  const fields = { job: jobId, queue: job.policy.queue, status: statusOf(progress) };
  return withEffects({ ...state, jobs: state.jobs.set(jobId, open), needsPlacement: true }, [
    logEffect('jobSeen', fields),
  ]);
}

function cancelJob(state: SchedulerState, jobId: string, wallMs: number): SchedulerStep {
  const open = state.jobs.get(jobId);
  if (open === undefined || open.isCancelled) return unchanged(state);
  const cancelled = { ...state, jobs: state.jobs.set(jobId, { ...open, isCancelled: true }) };
  return endJob(cancelled, jobId, { outcome: 'cancelled' }, wallMs);
}

function applyJobRow(
  state: SchedulerState,
  row: StoredRow,
  progressOf: (jobId: string) => JobProgress,
  wallMs: number,
): SchedulerStep {
  const parsed = parseJobKey(row.key);
  switch (parsed.kind) {
    case 'job': {
      const job = decodeJob(row.value);
      if (job === undefined) {
        return withEffects(state, [logEffect('malformed', { what: 'job', key: row.key })]);
      }
      return addJob(state, job, progressOf(parsed.jobId));
    }
    case 'cancel':
      return cancelJob(state, parsed.jobId, wallMs);
    case 'other':
      return unchanged(state);
  }
}

function applyJobRows(
  state: SchedulerState,
  rows: readonly StoredRow[],
  progressOf: (jobId: string) => JobProgress,
  wallMs: number,
): SchedulerStep {
  // In key order a cancellation precedes the definition of its job.
  const [cancels, others] = [
    rows.filter(({ key }) => parseJobKey(key).kind === 'cancel'),
    rows.filter(({ key }) => parseJobKey(key).kind !== 'cancel'),
  ];
  return chainAll(
    state,
    [...others, ...cancels].map(
      (row) => (current: SchedulerState) => applyJobRow(current, row, progressOf, wallMs),
    ),
  );
}

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

/** Adds the addresses in the claims, and expires the workers that a known report proves to have ended. */
function withClaimedAddresses(
  workers: Map<string, WorkerView>,
  state: SchedulerState,
  nowMs: number,
): Map<string, WorkerView> {
  const addresses = claimedAddresses(state);
  const located = workers.map((view): WorkerView => {
    const [address, other] = addresses.get(view.workerKey, []);
    // Claims that name different addresses do not show which one the worker has left.
    return address === undefined || other !== undefined
      ? view
      : { ...view, claimedAddress: address };
  });
  const instances = indexInstances(located);
  const ended = state.workers
    .valueSeq()
    .flatMap(({ report }) => (report === undefined ? [] : earlierInstances(instances, report)));
  return ended.reduce(
    (all, workerKey) => all.update(workerKey, (view) => view && { ...view, expiresAtMs: nowMs }),
    located,
  );
}

/**
 * Adds the runs in the stored progress. Their start orders may or may not have been sent. Those of jobs
 * that have ended since occupy their workers too, until these report without them.
 */
function adoptRuns(
  state: SchedulerState,
  goneReports: readonly GoneReport[],
  nowMs: number,
): SchedulerState {
  const isGone = (workerKey: string): boolean =>
    goneReports.some((report) => report.workerKey === workerKey && report.openRuns.length === 0);
  const assigned = state.jobs.valueSeq().flatMap(({ job, progress }) =>
    assignedSlots(progress).flatMap(([slot, task]): readonly (readonly [string, RunView])[] => {
      const stage = job.stages[Number(slot.split('.')[1])];
      if (stage === undefined) return [];
      const run: RunView = {
        jobId: job.jobId,
        slot,
        stage,
        workerKey: task.workerKey ?? '',
        attempt: task.attempt,
        order: 0,
        isOrdered: true,
        claimedAtMs: nowMs,
        percent: 0,
        percentAtMs: nowMs,
        load: 0,
        isListed: false,
        listedAtMs: nowMs,
        isLastResort: false,
        pace: 100,
        pacedAtMs: nowMs,
        ...inheritedPaceOf(stage, nowMs),
      };
      return [[`${job.jobId}.${slot}`, run]];
    }),
  );
  const [ended, runs] = assigned.partition(([, { jobId }]) => isOpen(state, jobId));
  const keys = new Set(assigned.map(([, run]) => run.workerKey));
  const leaseEndOf = (workerKey: string): number => leaseEndAtMs(state.earlierLeases, workerKey);
  const silent = [...keys].filter((workerKey) => !isGone(workerKey));
  const workers = [...keys].map(
    (workerKey) =>
      [
        workerKey,
        {
          workerKey,
          clockMs: -1,
          linkNumber: -1,
          expiresAtMs: isGone(workerKey) ? nowMs : leaseEndOf(workerKey),
          handledSequence: 0,
          failedJobs: [],
          quarantinedUntilMs: 0,
        },
      ] as const,
  );
  const known = withClaimedAddresses(Map(workers), state, nowMs).merge(state.workers);
  return {
    ...state,
    suspects: findSuspects(state, nowMs),
    runs: runs.reduce<RunTable>((table, [task, run]) => putRun(table, task, run), NO_RUNS),
    orphans: orphansOf([...ended]).reduce(addOrphan, state.orphans),
    workers: known,
    instances: indexInstances(known),
    awaited: Map(silent.map((workerKey) => [workerKey, leaseEndOf(workerKey)])),
  };
}

/** Logs what a new leader has loaded, and until when it waits for which workers. */
function logLoaded(state: SchedulerState, nowMs: number): SchedulerStep {
  const awaited = state.workers.filter(
    ({ report, expiresAtMs }) => report === undefined && expiresAtMs > nowMs,
  );
  const waits = awaited.valueSeq().map(({ expiresAtMs }) => expiresAtMs - nowMs);
  const waitMs = Math.round(waits.max() ?? 0);
  const keys = awaited.keySeq().sort().take(MAX_LOGGED_WORKERS).join(',');
  const loaded = logEffect('leaderLoaded', {
    term: state.leader?.term ?? 0,
    jobs: state.jobs.size,
    runs: state.runs.byTask.size,
    workers: awaited.size,
    waitMs,
    sinceClaimMs: Math.round(nowMs - state.claimedAtMs),
  });
  const workers = logEffect('workersAwaited', { count: awaited.size, waitMs, workers: keys });
  return withEffects(state, awaited.size === 0 ? [loaded] : [loaded, workers]);
}

function beginIfLoaded(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const { progress = Map<string, JobProgress>(), jobRows, goneReports = [] } = state.loading;
  if (state.phase !== 'loading') return unchanged(state);
  if (jobRows === undefined || !areReadsDone(state)) return unchanged(state);
  const ended = progress.filter(({ outcome }) => outcome !== undefined);
  const loaded: SchedulerState = {
    ...state,
    loading: {},
    ended: ended.map(({ endedAtMs }) => endedAtMs ?? wallMs),
    // Workers may be granted leases once the lease row says so.
    renewAtMs: nowMs,
  };
  return chainAll(loaded, [
    (current) =>
      applyJobRows(current, jobRows, (jobId) => progress.get(jobId) ?? NO_PROGRESS, wallMs),
    (current) => unchanged(adoptRuns(current, goneReports, nowMs)),
    (current) => advanceLeadership(current, 'loaded'),
    (current) => logLoaded(current, nowMs),
  ]);
}

/** Applies rows of the job table, from a full read or from changes. */
export function onJobRows(
  state: SchedulerState,
  event: { readonly isFull: boolean; readonly rows: readonly StoredRow[]; readonly wallMs: number },
  nowMs: number,
): SchedulerStep {
  const { rows, isFull, wallMs } = event;
  if (state.phase === 'leading') return applyJobRows(state, rows, () => NO_PROGRESS, wallMs);
  if (state.phase !== 'loading') return unchanged(state);
  const known = state.loading.jobRows;
  if (known === undefined && !isFull) return unchanged(state);
  const loading = { ...state.loading, jobRows: [...(known ?? []), ...rows] };
  return beginIfLoaded({ ...state, loading }, nowMs, wallMs);
}

function applyProgress(state: SchedulerState, rows: readonly StoredRow[]): SchedulerStep {
  const decoded = rows.map((row) => [row.key, decodeProgress(row.value)] as const);
  const decodable = decoded.flatMap(([key, value]) =>
    value === undefined ? [] : [[key, value] as const],
  );
  const malformed = decoded.filter(([, value]) => value === undefined);
  const progress = (state.loading.progress ?? Map<string, JobProgress>()).merge(Map(decodable));
  return withEffects(
    { ...state, loading: { ...state.loading, progress } },
    malformed.map(([key]) => logEffect('malformed', { what: 'progress', key })),
  );
}

function applyNotes(state: SchedulerState, rows: readonly StoredRow[]): SchedulerStep {
  const row = rows.find(({ key }) => key === PAIRS_KEY.key);
  const parsed = pairsSchema.safeParse(row?.value);
  return unchanged(parsed.success ? { ...state, pairs: Map(parsed.data) } : state);
}

/** Applies a page that a new leader has read. */
export function onLoaded(
  state: SchedulerState,
  callId: string,
  result: RowRangeResult,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const table = readTable(state, callId);
  if (state.phase !== 'loading' || table === undefined) return unchanged(state);
  const rows = result.kind === 'rows' ? result.rows : [];
  return chainAll(state, [
    (current) =>
      table === TABLES.progress ? applyProgress(current, rows) : applyNotes(current, rows),
    (current) => advanceRead(current, table, result, nowMs),
    (current) => beginIfLoaded(current, nowMs, wallMs),
  ]);
}
