import { Map } from 'immutable';
import { acceptValue, recordOf } from '@bronzeyoke/decoding';
import { logEffect } from '@bronzeyoke/telemetry';
import type { RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import { assertNever, chainAfter, chainAll, unchanged } from '@bronzeyoke/types';
import type { Moment } from '@bronzeyoke/latency';
import type { JobProgress, WorkflowJob } from '@bronzeyoke/workflow';
import { decodeJob, NO_PROGRESS } from '@bronzeyoke/workflow';
import { z } from 'zod';
import { adoptRuns } from '../fleet/adopt';
import { awaitedFields } from '../fleet/leaserowlog';
import { countUnreadRuns } from '../fleet/unreadruns';
import { advanceLeadership } from '../leadership/leadership';
import { advanceRead, areReadsDone, readTable } from '../leadership/load';
import { ordersEndAtMs } from '../leadership/rowages';
import { PAIRS_KEY, parseJobKey, TABLES } from '../leadership/rows';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import type { OpenJob, StoredProgress } from '../views';
import { dropHeld, holdJob, readProgress } from './held';
import { endJob } from './jobend';
import type { JobSighting } from './openjob';
import { createOpenJob, jobSeenLog } from './openjob';
import { openWithRuns } from './openjobruns';
import { cancelUndecoded, dropRemoved, dropUndecoded, holdUndecoded } from './undecoded';

const pairsSchema = recordOf(z.object({ mean: z.number(), variance: z.number() }));

/** Worker keys in one log line. */
const MAX_LOGGED_WORKERS = 10;

function addJob(
  state: SchedulerState,
  job: WorkflowJob,
  progress: JobProgress,
  sighting: JobSighting,
): SchedulerStep {
  const { jobId } = job;
  const open = createOpenJob(job, progress, sighting);
  return withEffects({ ...state, jobs: state.jobs.set(jobId, open), needsPlacement: true }, [
    jobSeenLog(job, progress, sighting),
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
  if (open === undefined) return unchanged(cancelUndecoded(state, jobId));
  if (open.isCancelled) return unchanged(state);
  const jobs = state.jobs.set(jobId, { ...open, isCancelled: true });
  const cancelled = { ...dropHeld(state, jobId), jobs };
  return endJob(cancelled, jobId, { outcome: 'cancelled' }, moment.wallMs);
}

/** Opens a job that is not known, or holds it if its progress cannot be read. */
function addStoredJob(
  state: SchedulerState,
  job: WorkflowJob,
  sighting: JobSighting,
): SchedulerStep {
  const { jobId } = job;
  const isKnown = [state.jobs, state.ended, state.held.jobs].some((known) => known.has(jobId));
  if (isKnown) return unchanged(state);
  const stored = state.unopened.get(jobId);
  const rest = { ...state, unopened: state.unopened.delete(jobId) };
  if (stored === undefined) return addJob(rest, job, NO_PROGRESS, sighting);
  switch (stored.kind) {
    case 'readable': {
      const { progress } = stored;
      // The runs of all jobs that are opened by a load are adopted at its end.
      return state.phase === 'leading'
        ? openWithRuns(rest, job, progress, sighting)
        : addJob(rest, job, progress, sighting);
    }
    case 'unreadable':
      return holdJob(rest, job, stored.version);
    default:
      return assertNever(stored);
  }
}

/** Adds a job by its definition. One that was cancelled before this could be decoded ends at once. */
function addDefinedJob(
  state: SchedulerState,
  job: WorkflowJob,
  sighting: JobSighting,
): SchedulerStep {
  const { jobId } = job;
  const isCancelled = state.undecoded.get(jobId)?.isCancelled === true;
  const added = addStoredJob(dropUndecoded(state, jobId), job, sighting);
  if (!isCancelled) return added;
  return chainAfter(added, [(current) => cancelJob(current, jobId, sighting)]);
}

function applyJobRow(state: SchedulerState, row: StoredRow, sighting: JobSighting): SchedulerStep {
  const parsed = parseJobKey(row.key);
  switch (parsed.kind) {
    case 'job': {
      const job = decodeJob(row.value);
      return job === undefined
        ? holdUndecoded(state, row, parsed.jobId)
        : addDefinedJob(state, job, sighting);
    }
    case 'cancel':
      return cancelJob(state, parsed.jobId, sighting);
    case 'other':
      return unchanged(state);
  }
}

function applyJobRows(
  state: SchedulerState,
  rows: readonly StoredRow[],
  sighting: JobSighting,
): SchedulerStep {
  // In key order a cancellation precedes the definition of its job.
  const [cancels, others] = [
    rows.filter(({ key }) => parseJobKey(key).kind === 'cancel'),
    rows.filter(({ key }) => parseJobKey(key).kind !== 'cancel'),
  ];
  return chainAll(
    state,
    [...others, ...cancels].map(
      (row) => (current: SchedulerState) => applyJobRow(current, row, sighting),
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
    unopened: progress.deleteAll(ended.keys()),
    // Workers may be granted leases once the lease row says so.
    renewAtMs: nowMs,
  };
  return chainAll(loaded, [
    (current) => applyJobRows(current, jobRows, { source: 'load', nowMs, wallMs }),
    (current) =>
      unchanged(countUnreadRuns(adoptRuns(current, { goneReports, orderedAtMs }, nowMs))),
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
    const sighting = { source: isFull ? 'fullRead' : 'change', nowMs, wallMs } as const;
    return applyJobRows(isFull ? dropRemoved(state, rows) : state, rows, sighting);
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
  const pairs = acceptValue(pairsSchema, row?.value);
  return unchanged(pairs === undefined ? state : { ...state, pairs: Map(pairs) });
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
