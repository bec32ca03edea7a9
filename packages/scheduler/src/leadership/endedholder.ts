import { assertNever, unchanged } from '@bronzeyoke/types';
import { policyOf } from '../policy';
import { withEffects } from '../state';
import type { HolderAnswer, HolderSign } from './holderanswer';
import type { SchedulerState, SchedulerStep } from '../types';

const UNKNOWN: HolderSign = { kind: 'unknown' };

/** Renewals that are missing when the holder is asked. A single one is late beside a slow store. */
const MISSED_RENEWALS = 2;

/** Returns for how long the row of a holder whose process has ended has to be unchanged. */
export function goneAfterMs({ settings }: SchedulerState): number {
  return settings.times.renewMs * MISSED_RENEWALS;
}

/** Returns whether another entry, which is the known leader, holds the lease. */
function isHeldByOther({ settings, leader, seenLease }: SchedulerState): boolean {
  const lease = seenLease?.value;
  if (!policyOf(settings).detectsEndedHolder || leader === undefined || lease === undefined) {
    return false;
  }
  const isHeldByLeader = lease.entryId === leader.entryId && !lease.isReleased;
  return isHeldByLeader && leader.entryId !== settings.entryId;
}

function isOwnAddress({ settings, leader }: SchedulerState): boolean {
  return leader?.host === settings.host && leader.port === settings.port;
}

/**
 * Returns what tells that the holder of the lease has ended. A holder whose process ended before this one
 * began to listen writes no row afterwards, so a second version of the lease row shows that another
 * machine uses the address. Two such entries would depose each other at each poll.
 */
export function holderSign(state: SchedulerState): HolderSign {
  const { seenLease, seenVersions, holderProbe, pollSentAtMs } = state;
  if (!isHeldByOther(state)) return UNKNOWN;
  if (isOwnAddress(state)) return seenVersions.length <= 1 ? { kind: 'replaced' } : UNKNOWN;
  const isOfRow = holderProbe !== undefined && holderProbe.version === seenLease?.version;
  return isOfRow && pollSentAtMs >= (holderProbe.endedAtMs ?? Infinity)
    ? { kind: 'gone' }
    : UNKNOWN;
}

/** Asks the address of a holder that has not renewed its lease in time, once for each version of its row. */
export function askHolder(state: SchedulerState, nowMs: number): SchedulerStep {
  const { phase, leader, seenLease, holderProbe } = state;
  if (phase !== 'following' || leader === undefined || seenLease === undefined) {
    return unchanged(state);
  }
  const { version, sinceMs, value } = seenLease;
  const isLate = nowMs - sinceMs >= goneAfterMs(state);
  const isAsked = holderProbe?.version === version;
  // An offer stands unchanged on purpose.
  const isOffered = value?.offer !== undefined;
  if (!isLate || isAsked || isOffered || !isHeldByOther(state) || isOwnAddress(state)) {
    return unchanged(state);
  }
  const { host, port } = leader;
  return withEffects({ ...state, holderProbe: { version } }, [
    { kind: 'askHolder', host, port, version },
  ]);
}

function showsEnd({ leader }: SchedulerState, answer: HolderAnswer): boolean {
  switch (answer.kind) {
    case 'refused':
      return true;
    case 'named':
      return answer.entryId !== leader?.entryId;
    case 'silent':
      return false;
    default:
      return assertNever(answer);
  }
}

/** Notes the answer from the address of the holder. The row is read again before it counts. */
export function onHolderAnswer(
  state: SchedulerState,
  version: number,
  answer: HolderAnswer,
  nowMs: number,
): SchedulerStep {
  const isCurrent = state.holderProbe?.version === version && state.seenLease?.version === version;
  if (!isCurrent || !showsEnd(state, answer)) return unchanged(state);
  return unchanged({ ...state, holderProbe: { version, endedAtMs: nowMs }, nextReadAtMs: nowMs });
}
