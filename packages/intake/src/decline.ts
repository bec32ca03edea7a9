import type { RowCommitResult } from '@bronzeyoke/ports';
import { withdrawalKey } from '@bronzeyoke/scheduler';
import { assertNever, takeToken } from '@bronzeyoke/types';
import type { ConflictFinding } from './submit';
import {
  advanceSubmissions,
  MAX_JOBS_PER_TRANSACTION,
  newJobConditions,
  noteFences,
  readConflict,
  RETRY_DELAY_MS,
} from './submit';
import type { IntakeState, IntakeStep } from './types';

const MAX_FENCES_IN_FLIGHT = 2;

/**
 * Transactions a second by which all entries together refuse ids while many are refused: an eighth of
 * what the store's partition takes, which the leader needs most while room is scarce.
 */
const FENCES_PER_SECOND = 25;

/** Least rate of one entry. Its refusals wait for 250 ms at most, less than their timeout. */
const MIN_FENCES_PER_SECOND = 4;
const FENCE_BURST = 4;

/** Value of the row that refuses an id for want of room. A withdrawal by its caller has no reason. */
const FENCE = { reason: 'noRoom' } as const;

/**
 * Sends the refusals that are ready, many in one transaction. Each writes a row that keeps attempts which
 * are on their way from being stored later, so the caller can be told that the job never runs.
 */
export function sendFences(state: IntakeState, nowMs: number): IntakeStep {
  if (state.fencesInFlight.size >= MAX_FENCES_IN_FLIGHT) return { state, effects: [] };
  const due = state.submissions
    .filter(({ phase, retryAtMs }) => phase === 'declining' && retryAtMs <= nowMs)
    .take(MAX_JOBS_PER_TRANSACTION);
  if (due.isEmpty()) return { state, effects: [] };
  const entryCount = state.heard?.notice.entryCount ?? 1;
  const ratePerSecond = Math.max(MIN_FENCES_PER_SECOND, FENCES_PER_SECOND / entryCount);
  const limit = { ratePerSecond, burst: FENCE_BURST };
  const { bucket: fenceBucket, retryAfterMs } = takeToken(state.fenceBucket, limit, nowMs);
  if (retryAfterMs !== undefined) return { state: { ...state, fenceBucket }, effects: [] };
  const jobIds = [...due.keys()];
  const callId = `refuse-${state.callCount}`;
  const transaction = {
    conditions: jobIds.flatMap((jobId) => newJobConditions(jobId, due.get(jobId)?.fenceVersion)),
    writes: jobIds.map(
      (jobId) => ({ kind: 'put', ...withdrawalKey(jobId), value: FENCE }) as const,
    ),
  };
  const sent = advanceSubmissions(state, jobIds, () => 'sent', nowMs).state;
  return {
    state: {
      ...sent,
      fenceBucket,
      callCount: state.callCount + 1,
      fencesInFlight: sent.fencesInFlight.set(callId, jobIds),
    },
    effects: [{ kind: 'commit', callId, transaction }],
  };
}

/** A row of an earlier refusal is replaced, because an attempt that knew of it may be on its way. */
function fenceEvent({ kind }: ConflictFinding): 'stored' | 'withdrawn' | 'conflict' {
  switch (kind) {
    case 'stored':
    case 'withdrawn':
    case 'conflict':
      return kind;
    case 'fenced':
      return 'conflict';
    default:
      return assertNever(kind);
  }
}

/** Applies the result of a transaction of refusals. A job that is stored already is accepted. */
export function onFenceOutcome(
  state: IntakeState,
  callId: string,
  result: RowCommitResult,
  nowMs: number,
): IntakeStep {
  const jobIds = state.fencesInFlight.get(callId);
  if (jobIds === undefined) return { state, effects: [] };
  const next = { ...state, fencesInFlight: state.fencesInFlight.delete(callId) };
  switch (result.kind) {
    case 'committed':
      return advanceSubmissions(next, jobIds, () => 'fenced', nowMs);
    case 'conflict': {
      const findingOf = readConflict(result.rows);
      return advanceSubmissions(
        { ...next, submissions: noteFences(next.submissions, jobIds, findingOf) },
        jobIds,
        (jobId) => fenceEvent(findingOf(jobId)),
        nowMs - RETRY_DELAY_MS,
      );
    }
    case 'unavailable':
    case 'unknown':
      return advanceSubmissions(next, jobIds, () => result.kind, nowMs);
    default:
      return assertNever(result);
  }
}
