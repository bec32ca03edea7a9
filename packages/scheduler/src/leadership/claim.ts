import type { RowCommitResult, RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, unchanged, without } from '@bronzeyoke/types';
import { advanceLeadership, CALLS } from './leadership';
import { goneAfterMs, holderSign } from './endedholder';
import { claimFields } from '../fleet/leaserowlog';
import { describeGrants, earlierLeasesOf } from '../fleet/leases';
import { ownDelayMs, takesOffer } from './handover';
import { handoverAfterClaim } from './handoverstate';
import type { LeaseValue } from './rows';
import { noteVersion } from './rowages';
import {
  decodeLeader,
  decodeLeaderOffer,
  decodeLease,
  LEADER_KEY,
  LEASE_KEY,
  PARTITION,
  TABLES,
} from './rows';
import { policyOf } from '../policy';
import { withEffects } from '../state';
import { claimDelayMs } from '../times';
import type { Claim, SchedulerEffect, SchedulerState, SchedulerStep, SeenLease } from '../types';

const POLL_MS = 300;

/** Longest random delay that spreads the claims of several entries. */
const CLAIM_SPREAD_MS = 200;

/** After a longer gap without a reply, the leader gets the whole time again to renew its lease. */
const MAX_POLL_GAP_MS = 1_000;

/** Multiple of a poll's duration that a renewal may take while the store is slow, and its limit. */
const SLOW_RENEWAL_FACTOR = 6;
const MAX_SLOW_RENEWAL_MS = 1_500;
const CLAIM_RETRY_MS = 150;

/** A row that cannot be decoded counts as held. */
const UNREADABLE_LEASE: LeaseValue = { entryId: '', number: 0, isReleased: false };

/** Reads the lease periodically while this entry follows. */
export function pollLease(state: SchedulerState, nowMs: number): SchedulerStep {
  const isDue = nowMs >= state.nextReadAtMs && state.pollCallId === undefined;
  if (state.phase !== 'following' || !isDue) return unchanged(state);
  const callId = CALLS.poll;
  const range = { table: TABLES.lease, partition: PARTITION };
  return withEffects(
    { ...state, pollCallId: callId, pollSentAtMs: nowMs, nextReadAtMs: nowMs + POLL_MS },
    [{ kind: 'range', callId, range }],
  );
}

/** Reads the lease at once when the leader's row says that it is offered. */
export function pollOffer(
  state: SchedulerState,
  row: StoredRow | undefined,
  nowMs: number,
): SchedulerStep {
  if (!policyOf(state.settings).handsOver || decodeLeaderOffer(row) === undefined)
    return unchanged(state);
  return pollLease({ ...state, nextReadAtMs: nowMs }, nowMs);
}

function seeLease(state: SchedulerState, row: StoredRow | undefined, nowMs: number): SeenLease {
  const { seenLease, pollSentAtMs } = state;
  const version = row?.version ?? 0;
  const known = seenLease?.version === version ? seenLease : undefined;
  const hasGap = known === undefined || pollSentAtMs - known.polledAtMs > MAX_POLL_GAP_MS;
  return {
    version,
    ...(row === undefined ? {} : { value: decodeLease(row) ?? UNREADABLE_LEASE }),
    firstSeenAtMs: known?.firstSeenAtMs ?? nowMs,
    sinceMs: hasGap ? nowMs : known.sinceMs,
    polledAtMs: nowMs,
  };
}

function createClaim(state: SchedulerState, lease: SeenLease, nowMs: number): Claim {
  const { settings, leader: previous, leaderVersion } = state;
  const { entryId, host, port, times } = settings;
  const leader = { entryId, host, port, term: (previous?.term ?? 0) + 1 };
  const earlierLeases = earlierLeasesOf(lease, times);
  const { awaited } = earlierLeases;
  const grants = describeGrants({ ...state, earlierLeases, awaited }, nowMs);
  const value: LeaseValue = { entryId, number: 1, isReleased: false, grants };
  return {
    leader,
    ...(previous === undefined ? {} : { previous }),
    transaction: {
      conditions: [
        { ...LEADER_KEY, version: leaderVersion },
        { ...LEASE_KEY, version: lease.version },
      ],
      writes: [
        { kind: 'put', ...LEADER_KEY, value: leader },
        { kind: 'put', ...LEASE_KEY, value },
      ],
    },
    earlierLeases,
    sign: holderSign(state).kind,
    sentAtMs: nowMs,
    ...(lease.value?.offer === undefined ? {} : { offeredWaitMs: lease.value.offer.waitMs }),
    wasUnknown: false,
  };
}

/** Returns for how long this entry has to see the row of a lease unchanged before it claims it. */
function claimWaitMs(
  state: SchedulerState,
  lease: SeenLease,
  random: number,
  nowMs: number,
): number {
  const sign = holderSign(state);
  switch (sign.kind) {
    case 'replaced':
      return 0;
    case 'gone':
    case 'unknown': {
      const { times, capacity } = state.settings;
      const isOffered = takesOffer(state, lease, nowMs);
      const isFree = lease.value === undefined || lease.value.isReleased || isOffered;
      const pollMs = nowMs - state.pollSentAtMs;
      const slowMs = Math.min(MAX_SLOW_RENEWAL_MS, pollMs * SLOW_RENEWAL_FACTOR);
      const heldMs = sign.kind === 'gone' ? goneAfterMs(state) : times.takeoverAfterMs;
      const takeoverMs = isFree ? 0 : heldMs + slowMs;
      // Claims of an offer need no spread: the fastest entry should win, and the others lose one call.
      const spreadMs = isOffered ? 0 : random * CLAIM_SPREAD_MS;
      return takeoverMs + claimDelayMs(capacity) + ownDelayMs(state, nowMs) + spreadMs;
    }
    default:
      return assertNever(sign);
  }
}

/** Claims the lease when it was released, was not renewed for long enough, or its holder has ended. */
export function onPoll(
  state: SchedulerState,
  result: RowRangeResult,
  { nowMs, random }: StepInputs,
): SchedulerStep {
  const polled = without(state, 'pollCallId');
  if (state.phase !== 'following' || result.kind === 'unavailable') return unchanged(polled);
  const row = result.rows.find(({ key }) => key === LEASE_KEY.key);
  const lease = seeLease(state, row, nowMs);
  const seenVersions = noteVersion(state.seenVersions, lease.version, nowMs);
  const seen = { ...polled, seenLease: lease, seenVersions };
  if (state.leaderVersion < 0) return unchanged(seen);
  const waitMs = claimWaitMs(seen, lease, random, nowMs);
  const isPaused = nowMs < state.claimPausedUntilMs;
  if (isPaused || nowMs - lease.sinceMs < waitMs) {
    // An offer stands for a second only, so it is polled again when the delay is over.
    const dueAtMs = takesOffer(seen, lease, nowMs) ? lease.sinceMs + waitMs : Infinity;
    return unchanged({ ...seen, nextReadAtMs: Math.min(seen.nextReadAtMs, dueAtMs) });
  }
  return advanceLeadership({ ...seen, claim: createClaim(seen, lease, nowMs) }, 'leaseFree');
}

function onClaimWon(
  state: SchedulerState,
  claim: Claim,
  versions: { readonly leader: number; readonly lease: number },
  nowMs: number,
): SchedulerStep {
  const { leader, previous, earlierLeases, sentAtMs } = claim;
  const { awaited } = earlierLeases;
  const step = advanceLeadership(
    {
      ...without(state, 'claim', 'seenLease'),
      leader,
      leaderVersion: versions.leader,
      leaseVersion: versions.lease,
      leaseNumber: 1,
      earlierLeases,
      awaited,
      storedAwaited: new Set(awaited.keys()),
      claimedAtMs: sentAtMs,
      handover: handoverAfterClaim(nowMs, claim.offeredWaitMs),
      renewAtMs: sentAtMs + state.settings.times.renewMs,
    },
    'claimWon',
  );
  const notify: readonly SchedulerEffect[] =
    previous === undefined || previous.entryId === leader.entryId
      ? []
      : [{ kind: 'notifyEntry', host: previous.host, port: previous.port, leader }];
  const before = previous?.entryId ?? '';
  const fields = { term: leader.term, before, ...claimFields(claim, nowMs) };
  return withEffects(step.state, [...step.effects, ...notify, logEffect('leaderClaimed', fields)]);
}

function retryLater(state: SchedulerState, claim: Claim, nowMs: number): SchedulerStep {
  const retryAtMs = nowMs + CLAIM_RETRY_MS;
  return unchanged({ ...state, claim: { ...claim, wasUnknown: true, retryAtMs } });
}

/** Returns whether the leader's row proves that a claim failed, or that another one has followed it. */
function isSuperseded({ leader }: SchedulerState, claim: Claim): boolean {
  const { entryId, term } = claim.leader;
  return leader !== undefined && leader.entryId !== entryId && leader.term >= term;
}

/** Handles the result of a claim. One without a reply may have taken effect, and is sent again. */
export function onClaimResult(
  state: SchedulerState,
  result: RowCommitResult,
  nowMs: number,
): SchedulerStep {
  const { claim, phase } = state;
  if (claim === undefined || (phase !== 'claiming' && phase !== 'withdrawing')) {
    return unchanged(state);
  }
  if (isSuperseded(state, claim)) return advanceLeadership(state, 'claimLost');
  switch (result.kind) {
    case 'committed':
      return onClaimWon(state, claim, { leader: result.version, lease: result.version }, nowMs);
    case 'unknown':
      return retryLater(state, claim, nowMs);
    case 'unavailable':
      return claim.wasUnknown
        ? retryLater(state, claim, nowMs)
        : advanceLeadership(state, 'claimLost');
    case 'conflict': {
      const leaderRow = result.rows.find(({ table }) => table === LEADER_KEY.table);
      const leaseRow = result.rows.find(({ table }) => table === LEASE_KEY.table);
      const holder = decodeLeader(leaderRow);
      const isOurs = holder?.entryId === claim.leader.entryId && holder.term === claim.leader.term;
      if (!isOurs || leaderRow === undefined || leaseRow === undefined) {
        return advanceLeadership(state, 'claimLost');
      }
      // An earlier attempt at the same claim took effect.
      return onClaimWon(
        state,
        claim,
        { leader: leaderRow.version, lease: leaseRow.version },
        nowMs,
      );
    }
    default:
      return assertNever(result);
  }
}

/** Sends an unsettled claim again, unchanged. */
export function retryClaim(state: SchedulerState, nowMs: number): SchedulerStep {
  const { claim } = state;
  if (claim?.retryAtMs === undefined || nowMs < claim.retryAtMs) return unchanged(state);
  if (isSuperseded(state, claim)) return advanceLeadership(state, 'claimLost');
  return withEffects({ ...state, claim: without(claim, 'retryAtMs') }, [
    { kind: 'commit', callId: CALLS.claimLease, transaction: claim.transaction },
  ]);
}
