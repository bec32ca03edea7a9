import { Map } from 'immutable';
import { logEffect } from '@bronzeyoke/telemetry';
import type { RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import { assertNever, chainAll, unchanged } from '@bronzeyoke/types';
import type { Moment } from '@bronzeyoke/latency';
import type { JobProgress, WorkflowJob } from '@bronzeyoke/workflow';
import { decodeJob, NO_PROGRESS } from '@bronzeyoke/workflow';
import { z } from 'zod';
import { adoptRuns } from '../fleet/adopt';
import { awaitedFields } from '../fleet/leaserowlog';
import { advanceLeadership } from '../leadership/leadership';
import { advanceRead, areReadsDone, readTable } from '../leadership/load';
import { ordersEndAtMs } from '../leadership/rowages';
import { PAIRS_KEY, parseJobKey, TABLES } from '../leadership/rows';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import type { OpenJob, StoredProgress } from '../views';
import { dropHeld, holdJob, readProgress } from './held';
import { endJob } from './jobend';
import type { JobSource } from './openjob';
import { createOpenJob, jobSeenLog } from './openjob';

const pairsSchema = z.record(z.string(), z.object({ mean: z.number(), variance: z.number() }));

/** What is known of a job without a row: none of its tasks was ever claimed. */
const NO_ROW: StoredProgress = { kind: 'readable', progress: NO_PROGRESS, version: 0 };

/** Worker keys in one log line. */
const MAX_LOGGED_WORKERS = 10;

function addJob(
  state: SchedulerState,
  job: WorkflowJob,
  progress: JobProgress,
  source: JobSource,
  moment: Moment,
): SchedulerStep {
  const { jobId } = job;
  if (state.jobs.has(jobId) || state.ended.has(jobId)) return unchanged(state);
  const open = createOpenJob(job, progress, moment);
  return withEffects({ ...state, jobs: state.jobs.set(jobId, open), needsPlacement: true }, [
    jobSeenLog(job, progress, source, moment.wallMs),
  ]);
}

/** Returns a job that can be cancelled. The row of one that has an outcome tells of no tasks. */
function cancellableJob(
  { jobs, held }: SchedulerState,
  jobId: string,
  moment: Moment,
): OpenJob | undefined {
  const heldJob = held.jobs.get(jobId);
  return heldJob === undefined ? jobs.get(jobId) : createOpenJob(heldJob.job, NO_PROGRESS, moment);
}

function cancelJob(state: SchedulerState, jobId: string, moment: Moment): SchedulerStep {
  const open = cancellableJob(state, jobId, moment);
  if (open === undefined || open.isCancelled) return unchanged(state);
  const jobs = state.jobs.set(jobId, { ...open, isCancelled: true });
  const cancelled = { ...dropHeld(state, jobId), jobs };
  return endJob(cancelled, jobId, { outcome: 'cancelled' }, moment.wallMs);
}

/** Opens a job that is not known, or holds it if its progress cannot be read. */
function addStoredJob(
  state: SchedulerState,
  job: WorkflowJob,
  stored: StoredProgress,
  source: JobSource,
  moment: Moment,
): SchedulerStep {
  if (state.held.jobs.has(job.jobId)) return unchanged(state);
  switch (stored.kind) {
    case 'readable':
      return addJob(state, job, stored.progress, source, moment);
    case 'unreadable':
      return holdJob(state, job, stored.version);
    default:
      return assertNever(stored);
  }
}

/** Where rows of the job table come from, and what is known of the progress of their jobs. */
interface JobContext {
  readonly source: JobSource;
  readonly progressOf: (jobId: string) => StoredProgress;
}

function applyJobRow(
  state: SchedulerState,
  row: StoredRow,
  { progressOf, source }: JobContext,
  moment: Moment,
): SchedulerStep {
  const parsed = parseJobKey(row.key);
  switch (parsed.kind) {
    case 'job': {
      const job = decodeJob(row.value);
      if (job === undefined) {
        return withEffects(state, [logEffect('malformed', { what: 'job', key: row.key })]);
      }
      return addStoredJob(state, job, progressOf(parsed.jobId), source, moment);
    }
    case 'cancel':
      return cancelJob(state, parsed.jobId, moment);
    case 'other':
      return unchanged(state);
  }
}

function applyJobRows(
  state: SchedulerState,
  rows: readonly StoredRow[],
  context: JobContext,
  moment: Moment,
): SchedulerStep {
  // In key order a cancellation precedes the definition of its job.
  const [cancels, others] = [
    rows.filter(({ key }) => parseJobKey(key).kind === 'cancel'),
    rows.filter(({ key }) => parseJobKey(key).kind !== 'cancel'),
  ];
  return chainAll(
    state,
    [...others, ...cancels].map(
      (row) => (current: SchedulerState) => applyJobRow(current, row, context, moment),
    ),
  );
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
  const workers = logEffect('workersAwaited', {
    count: awaited.size,
    waitMs,
    ...awaitedFields(state.earlierLeases, awaited, nowMs),
    workers: keys,
  });
  return withEffects(state, awaited.size === 0 ? [loaded] : [loaded, workers]);
}

function beginIfLoaded(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const { progress = Map<string, StoredProgress>(), jobRows, goneReports = [] } = state.loading;
  if (state.phase !== 'loading') return unchanged(state);
  if (jobRows === undefined || !areReadsDone(state)) return unchanged(state);
  const ended = progress.flatMap((stored, jobId): Iterable<[string, number]> => {
    if (stored.kind !== 'readable' || stored.progress.outcome === undefined) return [];
    return [[jobId, stored.progress.endedAtMs ?? wallMs]];
  });
  const orderedAtMs = progress.map(({ version }) =>
    ordersEndAtMs(state.seenVersions, version, nowMs),
  );
  const loaded: SchedulerState = {
    ...state,
    loading: {},
    ended,
    // Workers may be granted leases once the lease row says so.
    renewAtMs: nowMs,
  };
  const context: JobContext = {
    source: 'load',
    progressOf: (jobId) => progress.get(jobId) ?? NO_ROW,
  };
  return chainAll(loaded, [
    (current) => applyJobRows(current, jobRows, context, { nowMs, wallMs }),
    (current) => unchanged(adoptRuns(current, { goneReports, orderedAtMs }, nowMs)),
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
  if (state.phase === 'leading') {
    const source = isFull ? 'fullRead' : 'change';
    return applyJobRows(state, rows, { source, progressOf: () => NO_ROW }, { nowMs, wallMs });
  }
  if (state.phase !== 'loading') return unchanged(state);
  const known = state.loading.jobRows;
  if (known === undefined && !isFull) return unchanged(state);
  const loading = { ...state.loading, jobRows: [...(known ?? []), ...rows] };
  return beginIfLoaded({ ...state, loading }, nowMs, wallMs);
}

function applyProgress(state: SchedulerState, rows: readonly StoredRow[]): SchedulerStep {
  const stored = rows.map((row) => [row.key, readProgress(row)] as const);
  const malformed = stored.filter(([, { kind }]) => kind === 'unreadable');
  const progress = (state.loading.progress ?? Map<string, StoredProgress>()).merge(Map(stored));
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
