import { logEffect } from '@bronzeyoke/telemetry';
import type { RowCommitResult, RowWrite } from '@bronzeyoke/ports';
import { assertNever, chainAfter, chainAll, unchanged, without } from '@bronzeyoke/types';
import { encodeProgress, progressBytes } from '@bronzeyoke/workflow';
import { maxTransactionBytes } from './budget';
import { grantDueLeases } from '../fleet/grants';
import { isOffering, isOfferOpen, nextOffer, noteStoredOffer } from './handover';
import { advanceLeadership, isReleasing, onLeaderRow } from './leadership';
import { describeGrants } from '../fleet/leases';
import { maintenanceWrites } from './maintenance';
import type { PostCommitAction, RowSize } from './pending';
import { isNothingPending, takeWrites } from './pending';
import { orderGrantedStarts, performPostCommit } from './postcommit';
import {
  cancelKey,
  decodeLeader,
  decodeLease,
  jobKey,
  LEADER_KEY,
  LEASE_KEY,
  progressKey,
} from './rows';
import { withEffects } from '../state';
import type { InFlightTransaction, SchedulerState, SchedulerStep } from '../types';
import type { OpenJob } from '../views';

/** Rows that a transaction of the store may name, in its conditions and its writes. */
const MAX_ENTRIES = 100;

/** Rows that every transaction of the leader names: two conditions, and the write of the lease. */
const FIXED_ENTRIES = 3;
const RETRY_DELAY_MS = 60;

/** Returns the rows that go with the end of a job. */
function endDeletes({ job, progress, isCancelled }: OpenJob): readonly RowWrite[] {
  if (progress.outcome === undefined) return [];
  const keys = [jobKey(job.jobId), ...(isCancelled ? [cancelKey(job.jobId)] : [])];
  return keys.map((key) => ({ kind: 'delete', ...key }));
}

function jobWrites(state: SchedulerState, jobId: string): readonly RowWrite[] {
  const open = state.jobs.get(jobId);
  if (open === undefined) return [];
  const value = encodeProgress(open.progress);
  return [{ kind: 'put', ...progressKey(jobId), value }, ...endDeletes(open)];
}

/** Returns what the writes of a job add to a transaction. */
function rowSize(state: SchedulerState, jobId: string): RowSize {
  const open = state.jobs.get(jobId);
  return open === undefined
    ? { entries: 0, bytes: 0 }
    : { entries: 1 + endDeletes(open).length, bytes: progressBytes(open.progress) };
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
  const offer = nextOffer(state);
  const leaderWrites: readonly RowWrite[] =
    offer.offer === undefined
      ? []
      : [{ kind: 'put', ...LEADER_KEY, value: { ...state.leader, ...offer } }];
  const lease = { entryId, number: state.leaseNumber + 1, isReleased, grants, ...offer };
  const transaction = {
    conditions: [
      { ...LEADER_KEY, version: state.leaderVersion },
      { ...LEASE_KEY, version: state.leaseVersion },
    ],
    writes: [{ kind: 'put', ...LEASE_KEY, value: lease } as const, ...leaderWrites, ...writes],
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
  if (!isActive || state.inFlight !== undefined || isOfferOpen(state)) return unchanged(state);
  const { pendingWrites } = state;
  const isDue = nowMs >= state.renewAtMs || isOffering(state);
  if (isNothingPending(pendingWrites) && !isDue) return unchanged(state);
  const maintenance = maintenanceWrites(state, nowMs, wallMs);
  const limit = {
    // An offer also writes the row of the leader.
    entries: MAX_ENTRIES - FIXED_ENTRIES - maintenance.writes.length - Number(isOffering(state)),
    bytes: maxTransactionBytes(state.settings.capacity),
  };
  const { jobIds, actions, rest } = takeWrites(pendingWrites, limit, (jobId) =>
    rowSize(state, jobId),
  );
  const isEnded = (jobId: string): boolean => state.jobs.get(jobId)?.progress.outcome !== undefined;
  return sendTransaction(
    { ...maintenance.state, pendingWrites: rest },
    {
      isReleased: false,
      writes: [...jobIds.flatMap((jobId) => jobWrites(state, jobId)), ...maintenance.writes],
      postCommit: actions,
      endedJobs: jobIds.filter(isEnded),
    },
    nowMs,
  );
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
    ...(lease.offer === undefined ? {} : { leaderVersion: version }),
    leaseNumber: lease.number,
    storedAwaited: new Set(Object.keys(lease.grants?.awaitedEndMs ?? {})),
    ...(times === undefined ? {} : { storedTimes: times }),
    mayGrantUntilMs: times === undefined ? 0 : sentAtMs + times.grantWindowMs,
    jobs: state.jobs.deleteAll(endedJobs),
    ended: endedJobs.reduce(
      (ended, jobId) => ended.set(jobId, state.jobs.get(jobId)?.progress.endedAtMs ?? 0),
      state.ended,
    ),
    endStoredAtMs: state.endStoredAtMs.merge(endedJobs.map((jobId) => [jobId, nowMs])),
  };
  const noted = lease.offer === undefined ? stored : noteStoredOffer(stored, sentAtMs);
  return chainAll(noted, [
    (current) => grantDueLeases(current, nowMs),
    (current) => orderGrantedStarts(current, nowMs),
    (current) => performPostCommit(current, inFlight.postCommit, nowMs),
  ]);
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
