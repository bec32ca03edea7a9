import { advance } from '@bronzeyoke/chart';
import type { RowCommitResult, RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import type { StepInputs } from '@bronzeyoke/types';
import { assertNever, without } from '@bronzeyoke/types';
import { startReads } from './load';
import { decodeLeader, decodeLease, LEADER_KEY, LEASE_KEY, PARTITION, TABLES } from './rows';
import { EMPTY_LEADER_STATE, unchanged, withEffects } from './state';
import type { Leader, SchedulerEffect, SchedulerState, SchedulerStep } from './types';
import { leadershipChart } from './types';

const POLL_MS = 300;

/** Longest random delay that spreads the claims of several entries. */
const CLAIM_SPREAD_MS = 200;

/** Ids of the store calls that poll and claim the lease. */
export const CALLS = {
  claimLease: 'claim',
  poll: 'poll',
} as const;

type LeadershipEvent = 'leaseFree' | 'claimWon' | 'claimLost' | 'loaded' | 'deposed' | 'stop';

function nextLeader(state: SchedulerState): Leader {
  const { entryId, host, port } = state.settings;
  return { entryId, host, port, term: (state.leader?.term ?? 0) + 1 };
}

function claim({ state, effects }: SchedulerStep): SchedulerStep {
  const leader = nextLeader(state);
  const { entryId } = leader;
  const transaction = {
    conditions: [
      { ...LEADER_KEY, version: state.leaderVersion },
      { ...LEASE_KEY, version: state.leaseVersion },
    ],
    writes: [
      { kind: 'put', ...LEADER_KEY, value: leader },
      { kind: 'put', ...LEASE_KEY, value: { entryId, number: 1, isReleased: false } },
    ],
  } as const;
  return withEffects(state, [
    ...effects,
    { kind: 'commit', callId: CALLS.claimLease, transaction },
  ]);
}

function startLoad({ state, effects }: SchedulerStep): SchedulerStep {
  const reads = startReads(state);
  return withEffects(reads.state, [
    ...effects,
    ...reads.effects,
    { kind: 'followJobs', isOn: true },
  ]);
}

function resetLeaderState({ state, effects }: SchedulerStep): SchedulerStep {
  const rest = without(state, 'inFlight', 'leaseUnchangedSinceMs', 'pollCallId');
  return withEffects({ ...rest, ...EMPTY_LEADER_STATE, mayGrantUntilMs: 0 }, [
    ...effects,
    { kind: 'followJobs', isOn: false },
  ]);
}

/**
 * Releases the lease so that another entry takes over at once. A transaction in flight may be applied
 * first; the release then fails.
 */
function releaseLease({ state, effects }: SchedulerStep): SchedulerStep {
  const { entryId } = state.settings;
  const number = state.leaseNumber + 1;
  const transaction = {
    conditions: [
      { ...LEADER_KEY, version: state.leaderVersion },
      { ...LEASE_KEY, version: state.leaseVersion },
    ],
    writes: [{ kind: 'put', ...LEASE_KEY, value: { entryId, number, isReleased: true } }],
  } as const;
  return withEffects({ ...state, mayGrantUntilMs: 0 }, [
    ...effects,
    { kind: 'commit', callId: 'release', transaction },
    { kind: 'followJobs', isOn: false },
  ]);
}

/** Advances the leadership chart and performs its actions. */
export function advanceLeadership(state: SchedulerState, event: LeadershipEvent): SchedulerStep {
  const next = advance(leadershipChart, state.phase, event);
  return next.actions.reduce<SchedulerStep>(
    (step, action) => {
      switch (action) {
        case 'claim':
          return claim(step);
        case 'load':
          return startLoad(step);
        case 'begin':
          return step;
        case 'reset':
          return resetLeaderState(step);
        case 'releaseLease':
          return releaseLease(step);
        default:
          return assertNever(action);
      }
    },
    unchanged({ ...state, phase: next.state }),
  );
}

/** Returns whether this entry holds the lease; it may still be loading its state. */
export function holdsLease(state: SchedulerState): boolean {
  return state.phase === 'loading' || state.phase === 'leading';
}

/** Reads the lease periodically while this entry follows. */
export function pollLease(state: SchedulerState, nowMs: number): SchedulerStep {
  const isDue = nowMs >= state.nextReadAtMs && state.pollCallId === undefined;
  if (state.phase !== 'following' || !isDue) return unchanged(state);
  const callId = CALLS.poll;
  const range = { table: TABLES.lease, partition: PARTITION };
  return withEffects({ ...state, pollCallId: callId, nextReadAtMs: nowMs + POLL_MS }, [
    { kind: 'range', callId, range },
  ]);
}

/** Claims the lease when it was released, or was not renewed for long enough. */
export function onPoll(
  state: SchedulerState,
  result: RowRangeResult,
  { nowMs, random }: StepInputs,
): SchedulerStep {
  const polled = without(state, 'pollCallId');
  if (state.phase !== 'following') return unchanged(polled);
  if (result.kind === 'unavailable') {
    // The lease may have been renewed while the store did not reply.
    return unchanged(without(polled, 'leaseUnchangedSinceMs'));
  }
  const row = result.rows.find(({ key }) => key === LEASE_KEY.key);
  const version = row?.version ?? 0;
  const isUnchanged = version === state.leaseVersion && state.leaseUnchangedSinceMs !== undefined;
  const sinceMs = isUnchanged ? state.leaseUnchangedSinceMs : nowMs;
  const seen = { ...polled, leaseVersion: version, leaseUnchangedSinceMs: sinceMs };
  if (state.leaderVersion < 0) return unchanged(seen);
  const lease = decodeLease(row);
  const isFree = row === undefined || lease?.isReleased === true;
  const waitMs = state.settings.times.takeoverAfterMs + random * CLAIM_SPREAD_MS;
  if (!isFree && nowMs - sinceMs < waitMs) return unchanged(seen);
  const step = advanceLeadership({ ...seen, wasLeaseReleased: isFree }, 'leaseFree');
  return withEffects({ ...step.state, claimedAtMs: nowMs }, step.effects);
}

function onClaimWon(
  state: SchedulerState,
  versions: { readonly leader: number; readonly lease: number },
): SchedulerStep {
  const previous = state.leader;
  const leader = nextLeader(state);
  const { times } = state.settings;
  const step = advanceLeadership(
    {
      ...state,
      leader,
      leaderVersion: versions.leader,
      leaseVersion: versions.lease,
      leaseNumber: 1,
      mayGrantUntilMs: state.claimedAtMs + times.grantWindowMs,
      renewAtMs: state.claimedAtMs + times.renewMs,
    },
    'claimWon',
  );
  const notify: readonly SchedulerEffect[] =
    previous === undefined || previous.entryId === leader.entryId
      ? []
      : [{ kind: 'notifyEntry', host: previous.host, port: previous.port, leader }];
  const fields = { term: leader.term, before: previous?.entryId ?? '' };
  return withEffects(step.state, [...step.effects, ...notify, logEffect('leaderClaimed', fields)]);
}

/** Handles the result of a claim. Without a reply it counts as lost; its lease expires unused. */
export function onClaimResult(state: SchedulerState, result: RowCommitResult): SchedulerStep {
  if (state.phase !== 'claiming') return unchanged(state);
  switch (result.kind) {
    case 'committed':
      return onClaimWon(state, { leader: result.version, lease: result.version });
    case 'conflict':
    case 'unavailable':
    case 'unknown':
      return advanceLeadership(state, 'claimLost');
    default:
      return assertNever(result);
  }
}

/** Updates the leader from the store or from a message of another entry. */
export function onLeader(state: SchedulerState, leader: Leader | undefined): SchedulerStep {
  if (leader === undefined || leader.term <= (state.leader?.term ?? 0)) return unchanged(state);
  const { entryId, term } = leader;
  const isDeposed = holdsLease(state);
  const step = isDeposed ? advanceLeadership(state, 'deposed') : unchanged(state);
  const fields = { leader: entryId, term, deposed: isDeposed };
  const links = [...step.state.links.keys()];
  const { host, port } = leader;
  return withEffects({ ...step.state, leader }, [
    ...step.effects,
    logEffect('leaderSeen', fields),
    ...links.map(
      (linkId) =>
        ({ kind: 'send', linkId, message: { kind: 'leader', term, host, port } }) as const,
    ),
  ]);
}

/** Updates the leader from its row. A leader that reads a higher term stops leading. */
export function onLeaderRow(state: SchedulerState, row: StoredRow | undefined): SchedulerStep {
  const leader = decodeLeader(row);
  const version = row?.version ?? 0;
  if (version < state.leaderVersion) return unchanged(state);
  return onLeader(
    { ...state, leaderVersion: holdsLease(state) ? state.leaderVersion : version },
    leader,
  );
}
