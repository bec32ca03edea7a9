import { logEffect } from '@bronzeyoke/telemetry';
import type { RowCommitResult, RowWrite } from '@bronzeyoke/ports';
import { assertNever, chainAfter, chainAll, unchanged, without } from '@bronzeyoke/types';
import type { JobProgress } from '@bronzeyoke/workflow';
import { encodeProgress, taskProgress } from '@bronzeyoke/workflow';
import { advanceLeadership, isReleasing, onLeaderRow } from './leadership';
import { describeGrants } from './leases';
import {
  cancelKey,
  COUNTS_KEY,
  decodeLeader,
  decodeLease,
  jobKey,
  LEADER_KEY,
  LEASE_KEY,
  PAIRS_KEY,
  progressKey,
} from './rows';
import { releaseRun } from './release';
import { putRun } from './runs';
import { NO_PENDING_WRITES, sendToWorker, withEffects } from './state';
import { taskLog } from './tasklog';
import type { InFlightTransaction, PostCommitAction, SchedulerState, SchedulerStep } from './types';
import { runRef } from './types';

/** Jobs in one transaction; each may take three rows of the 100 that a transaction may name. */
const MAX_JOBS = 25;
const MAX_EXPIRED_JOBS = 20;

/** Outcomes are stored for this many times the promised `statusMs`. */
const OUTCOME_KEEP_FACTOR = 1.5;
const RETRY_DELAY_MS = 60;
const COUNTS_INTERVAL_MS = 500;

/** Unchanged counts are written again, so that a reader sees that they are current. */
const COUNTS_REFRESH_MS = 1_000;
const PAIRS_INTERVAL_MS = 1_000;

function jobWrites(state: SchedulerState, jobId: string): readonly RowWrite[] {
  const open = state.jobs.get(jobId);
  if (open === undefined) return [];
  const put = { kind: 'put', ...progressKey(jobId), value: encodeProgress(open.progress) } as const;
  if (open.progress.outcome === undefined) return [put];
  const cancel = open.isCancelled ? [{ kind: 'delete', ...cancelKey(jobId) } as const] : [];
  return [put, { kind: 'delete', ...jobKey(jobId) }, ...cancel];
}

function hasStarted({ tasks }: JobProgress): boolean {
  return [...tasks.values()].some(
    ({ phase, failures }) => phase === 'running' || phase === 'done' || failures > 0,
  );
}

/** Counts the jobs of each queue without a task known to have run. Scheduled jobs are left out. */
export function countQueuedJobs(state: SchedulerState): Readonly<Record<string, number>> {
  const waiting = state.jobs
    .valueSeq()
    .filter(({ job, progress }) => job.schedule === undefined && !hasStarted(progress))
    .countBy(({ job }) => job.policy.queue);
  return Object.fromEntries(waiting);
}

function expiredJobs(state: SchedulerState, wallMs: number): readonly string[] {
  const keepMs = state.settings.times.statusMs * OUTCOME_KEEP_FACTOR;
  const expired = state.ended.filter((endedAtMs) => wallMs - endedAtMs > keepMs);
  return expired.keySeq().take(MAX_EXPIRED_JOBS).toArray();
}

function maintenanceWrites(
  state: SchedulerState,
  nowMs: number,
  wallMs: number,
): { readonly state: SchedulerState; readonly writes: readonly RowWrite[] } {
  if (state.phase !== 'leading') return { state, writes: [] };
  const counts = countQueuedJobs(state);
  const countsText = JSON.stringify(counts);
  const sinceMs = nowMs - state.countsWrittenAtMs;
  const isChanged = countsText !== state.writtenCounts;
  const writesCounts = sinceMs >= (isChanged ? COUNTS_INTERVAL_MS : COUNTS_REFRESH_MS);
  const expired = expiredJobs(state, wallMs);
  const writesPairs = state.arePairsDirty && nowMs - state.pairsSavedAtMs >= PAIRS_INTERVAL_MS;
  const next = {
    ...state,
    ended: state.ended.deleteAll(expired),
    ...(writesCounts ? { writtenCounts: countsText, countsWrittenAtMs: nowMs } : {}),
    ...(writesPairs ? { pairsSavedAtMs: nowMs, arePairsDirty: false } : {}),
  };
  const writes: readonly RowWrite[] = [
    ...expired.map((jobId) => ({ kind: 'delete', ...progressKey(jobId) }) as const),
    ...(writesCounts
      ? [{ kind: 'put', ...COUNTS_KEY, value: { atMs: wallMs, queues: counts } } as const]
      : []),
    ...(writesPairs ? [{ kind: 'put', ...PAIRS_KEY, value: state.pairs.toObject() } as const] : []),
  ];
  return { state: next, writes };
}

/** Parts of a transaction beside the lease row, and what follows it. */
interface TransactionParts {
  readonly isReleased: boolean;
  readonly writes: readonly RowWrite[];
  readonly postCommit: readonly PostCommitAction[];
  readonly endedJobs: readonly string[];
}

/**
 * Sends a transaction that renews or releases the lease. It requires the version of the lease row that
 * the previous one wrote, so a delayed transaction has no effect.
 */
function sendTransaction(
  state: SchedulerState,
  { isReleased, writes, postCommit, endedJobs }: TransactionParts,
  nowMs: number,
): SchedulerStep {
  const { entryId } = state.settings;
  const grants = describeGrants(state, nowMs);
  const lease = { entryId, number: state.leaseNumber + 1, isReleased, grants };
  const transaction = {
    conditions: [
      { ...LEADER_KEY, version: state.leaderVersion },
      { ...LEASE_KEY, version: state.leaseVersion },
    ],
    writes: [{ kind: 'put', ...LEASE_KEY, value: lease } as const, ...writes],
  };
  const callId = `flush-${state.callCount}`;
  const inFlight: InFlightTransaction = {
    callId,
    transaction,
    lease,
    ...(state.phase === 'leading' ? { times: state.settings.times } : {}),
    sentAtMs: nowMs,
    firstSentAtMs: nowMs,
    postCommit,
    endedJobs,
    wasUnknown: false,
  };
  const renewAtMs = nowMs + state.settings.times.renewMs;
  return withEffects({ ...state, callCount: state.callCount + 1, inFlight, renewAtMs }, [
    { kind: 'commit', callId, transaction },
  ]);
}

/** Releases the lease of a leader that stops or steps down, so that another entry takes over at once. */
export function releaseLease(state: SchedulerState, nowMs: number): SchedulerStep {
  if (!isReleasing(state) || state.inFlight !== undefined) return unchanged(state);
  const parts = { isReleased: true, writes: [], postCommit: [], endedJobs: [] };
  return sendTransaction(state, parts, nowMs);
}

/** Sends the next transaction with pending rows, or a renewal, when none is in flight. */
export function flush(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const isActive = state.phase === 'loading' || state.phase === 'leading';
  if (!isActive || state.inFlight !== undefined) return unchanged(state);
  const { pendingWrites } = state;
  const hasRows = pendingWrites.jobIds.size > 0 || pendingWrites.postCommit.length > 0;
  if (!hasRows && nowMs < state.renewAtMs) return unchanged(state);
  const jobIds = [...pendingWrites.jobIds].slice(0, MAX_JOBS);
  const rest = [...pendingWrites.jobIds].slice(MAX_JOBS);
  // The actions may depend on rows that are left over, so they wait for the last of them.
  const postCommit = rest.length === 0 ? pendingWrites.postCommit : [];
  const maintenance = maintenanceWrites(state, nowMs, wallMs);
  const remaining =
    rest.length === 0
      ? NO_PENDING_WRITES
      : { jobIds: new Set(rest), postCommit: pendingWrites.postCommit };
  const isEnded = (jobId: string): boolean => state.jobs.get(jobId)?.progress.outcome !== undefined;
  return sendTransaction(
    { ...maintenance.state, pendingWrites: remaining },
    {
      isReleased: false,
      writes: [...jobIds.flatMap((jobId) => jobWrites(state, jobId)), ...maintenance.writes],
      postCommit,
      endedJobs: jobIds.filter(isEnded),
    },
    nowMs,
  );
}

function sendStart(
  state: SchedulerState,
  task: string,
  attempt: number,
  nowMs: number,
): SchedulerStep {
  const run = state.runs.byTask.get(task);
  const open = run === undefined ? undefined : state.jobs.get(run.jobId);
  if (run === undefined || open === undefined) return unchanged(state);
  const { workerKey, jobId } = run;
  const stored = taskProgress(open.progress, run.slot);
  const worker = state.workers.get(workerKey);
  const link = worker?.linkId === undefined ? undefined : state.links.get(worker.linkId);
  const isCurrent = run.attempt === attempt && stored.phase === 'claimed' && !open.isCancelled;
  if (!isCurrent) return unchanged(state);
  if (worker?.linkId === undefined || link === undefined) {
    return releaseRun(state, task, 'notOrdered', nowMs);
  }
  const order = link.lastOrder + 1;
  const { checkpoint } = stored;
  return withEffects(
    {
      ...state,
      links: state.links.set(worker.linkId, { ...link, lastOrder: order }),
      runs: putRun(state.runs, task, { ...run, order, isOrdered: true }),
    },
    [
      {
        kind: 'send',
        linkId: worker.linkId,
        message: {
          kind: 'start',
          workerKey,
          order,
          run: runRef(task, attempt),
          payload: open.job.payload,
          ...(checkpoint === undefined ? {} : { checkpoint }),
        },
      },
      taskLog(run.stage, 'taskPlaced', {
        job: jobId,
        task,
        attempt,
        worker: workerKey,
        storedAfterMs: Math.round(nowMs - run.claimedAtMs),
      }),
    ],
  );
}

function performPostCommit(
  state: SchedulerState,
  action: PostCommitAction,
  nowMs: number,
): SchedulerStep {
  switch (action.kind) {
    case 'start':
      return sendStart(state, action.task, action.attempt, nowMs);
    case 'acknowledge': {
      const { workerKey, sequence } = action;
      return withEffects(
        state,
        sendToWorker(state, workerKey, { kind: 'acknowledge', workerKey, sequence }),
      );
    }
    case 'confirmGone': {
      const { linkId, workerKey } = action;
      const message = { kind: 'goneRecorded', workerKey } as const;
      return withEffects(state, [{ kind: 'send', linkId, message }]);
    }
    default:
      return assertNever(action);
  }
}

function applyCommit(
  state: SchedulerState,
  inFlight: InFlightTransaction,
  version: number,
  sentAtMs: number,
  nowMs: number,
): SchedulerStep {
  const rest = without(state, 'inFlight', 'storedTimes');
  const { lease, times, endedJobs } = inFlight;
  if (lease.isReleased) return advanceLeadership(rest, 'released');
  const stored: SchedulerState = {
    ...rest,
    leaseVersion: version,
    leaseNumber: lease.number,
    storedAwaited: new Set(Object.keys(lease.grants?.awaitedEndMs ?? {})),
    ...(times === undefined ? {} : { storedTimes: times }),
    mayGrantUntilMs: times === undefined ? 0 : sentAtMs + times.grantWindowMs,
    jobs: state.jobs.deleteAll(endedJobs),
    ended: endedJobs.reduce(
      (ended, jobId) => ended.set(jobId, state.jobs.get(jobId)?.progress.endedAtMs ?? 0),
      state.ended,
    ),
  };
  return chainAll(
    stored,
    inFlight.postCommit.map(
      (action) => (current: SchedulerState) => performPostCommit(current, action, nowMs),
    ),
  );
}

function scheduleRetry(
  state: SchedulerState,
  inFlight: InFlightTransaction,
  nowMs: number,
  wasUnknown: boolean,
) {
  return unchanged({
    ...state,
    inFlight: {
      ...inFlight,
      wasUnknown: inFlight.wasUnknown || wasUnknown,
      retryAtMs: nowMs + RETRY_DELAY_MS,
    },
  });
}

/** Handles the result of the transaction in flight. */
export function onCommitResult(
  state: SchedulerState,
  callId: string,
  result: RowCommitResult,
  nowMs: number,
): SchedulerStep {
  const { inFlight } = state;
  if (inFlight?.callId !== callId) return unchanged(state);
  switch (result.kind) {
    case 'committed':
      return applyCommit(state, inFlight, result.version, inFlight.sentAtMs, nowMs);
    case 'unavailable':
      return scheduleRetry(state, inFlight, nowMs, false);
    case 'unknown':
      return scheduleRetry(state, inFlight, nowMs, true);
    case 'conflict': {
      const leaderRow = result.rows.find(({ table }) => table === LEADER_KEY.table);
      const leaseRow = result.rows.find(({ table }) => table === LEASE_KEY.table);
      const lease = decodeLease(leaseRow);
      const isOurs =
        decodeLeader(leaderRow)?.term === state.leader?.term &&
        lease?.entryId === state.settings.entryId &&
        leaseRow !== undefined;
      if (isOurs && lease.number === inFlight.lease.number) {
        // An earlier attempt at the same transaction took effect.
        return applyCommit(state, inFlight, leaseRow.version, inFlight.firstSentAtMs, nowMs);
      }
      const fields = { term: state.leader?.term ?? 0, lease: lease?.number ?? 0 };
      return chainAfter(advanceLeadership(state, 'deposed'), [
        (current) => withEffects(current, [logEffect('leaderLost', fields)]),
        (current) =>
          leaderRow === undefined ? unchanged(current) : onLeaderRow(current, leaderRow),
      ]);
    }
    default:
      return assertNever(result);
  }
}

/** Sends an unsettled transaction again, unchanged. */
export function retryTransaction(state: SchedulerState, nowMs: number): SchedulerStep {
  const { inFlight } = state;
  if (inFlight?.retryAtMs === undefined || nowMs < inFlight.retryAtMs) return unchanged(state);
  const rest = without(inFlight, 'retryAtMs');
  const callId = `flush-${state.callCount}`;
  return withEffects(
    { ...state, callCount: state.callCount + 1, inFlight: { ...rest, callId, sentAtMs: nowMs } },
    [{ kind: 'commit', callId, transaction: inFlight.transaction }],
  );
}
