import { policyOf } from '../policy';
import type { SchedulerState } from '../types';

/** What an entry knows of the holder of the lease. */
export type HolderSign =
  /** Nothing tells that it has ended: its lease row counts. */
  | { readonly kind: 'unknown' }
  /** This process listens at its address, so its process has ended. */
  | { readonly kind: 'replaced' };

const UNKNOWN: HolderSign = { kind: 'unknown' };

/**
 * Returns what tells that the holder of the lease has ended. A holder whose process ended before this one
 * began to listen writes no row afterwards, so a second version of the lease row shows that another
 * machine uses the address. Two such entries would depose each other at each poll.
 */
export function holderSign({
  settings,
  leader,
  seenLease,
  seenVersions,
}: SchedulerState): HolderSign {
  if (!policyOf(settings).detectsEndedHolder || leader === undefined) return UNKNOWN;
  const lease = seenLease?.value;
  const isHeldByLeader = lease?.entryId === leader.entryId && !lease.isReleased;
  const isOurAddress = leader.host === settings.host && leader.port === settings.port;
  const isOther = leader.entryId !== settings.entryId;
  const isUnchanged = seenVersions.length <= 1;
  return isHeldByLeader && isOurAddress && isOther && isUnchanged ? { kind: 'replaced' } : UNKNOWN;
}
