import { advance } from '@bronzeyoke/chart';
import type { StoredRow } from '@bronzeyoke/ports';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever, unchanged, without } from '@bronzeyoke/types';
import { isOfferOpen } from './handover';
import { startReads } from './load';
import type { Leader } from './rows';
import { decodeLeader } from './rows';
import { policyOf } from '../policy';
import { EMPTY_LEADER_STATE, withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import { leadershipChart } from '../types';

/** Ids of the store calls that poll and claim the lease. */
export const CALLS = {
  claimLease: 'claim',
  poll: 'poll',
} as const;

type LeadershipEvent =
  'leaseFree' | 'claimWon' | 'claimLost' | 'loaded' | 'isolated' | 'deposed' | 'stop' | 'released';

function sendClaim({ state, effects }: SchedulerStep): SchedulerStep {
  const { claim } = state;
  if (claim === undefined) return { state, effects };
  const { transaction } = claim;
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
  const rest = without(
    state,
    'inFlight',
    'claim',
    'pollCallId',
    'storedTimes',
    'isolatedSinceMs',
    'placementHeldSinceMs',
  );
  return withEffects({ ...rest, ...EMPTY_LEADER_STATE }, [
    ...effects,
    { kind: 'followJobs', isOn: false },
  ]);
}

/** Ends the leader's work. The lease is released once no transaction is in flight. */
function resign({ state, effects }: SchedulerStep): SchedulerStep {
  return withEffects({ ...state, mayGrantUntilMs: 0 }, [
    ...effects,
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
          return sendClaim(step);
        case 'load':
          return startLoad(step);
        case 'begin':
          return step;
        case 'reset':
          return resetLeaderState(step);
        case 'resign':
          return resign(step);
        default:
          return assertNever(action);
      }
    },
    unchanged({ ...state, phase: next.state }),
  );
}

/** Returns whether this entry gives its lease up, and only waits for the store to accept that. */
export function isReleasing({ phase }: SchedulerState): boolean {
  return phase === 'steppingDown' || phase === 'releasing';
}

/** Returns whether this entry holds the lease. It may still be loading its state, or be releasing it. */
export function holdsLease(state: SchedulerState): boolean {
  return state.phase === 'loading' || state.phase === 'leading' || isReleasing(state);
}

/** Updates the leader from the store or from a message of another entry. */
export function onLeader(state: SchedulerState, leader: Leader | undefined): SchedulerStep {
  if (leader === undefined || leader.term <= (state.leader?.term ?? 0)) return unchanged(state);
  const { entryId, term } = leader;
  const isDeposed = holdsLease(state);
  const step = isDeposed ? advanceLeadership(state, 'deposed') : unchanged(state);
  const reason = isDeposed && isOfferOpen(state) ? { reason: 'overloaded' } : {};
  const fields = { leader: entryId, term, deposed: isDeposed, ...reason };
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
  const seen = { ...state, leaderVersion: holdsLease(state) ? state.leaderVersion : version };
  // The lease may be claimed once both rows are known, if its holder has ended.
  const isFirst = state.leaderVersion < 0 && policyOf(state.settings).detectsEndedHolder;
  return onLeader(isFirst ? { ...seen, nextReadAtMs: 0 } : seen, leader);
}
