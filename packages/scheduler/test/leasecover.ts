import { Map } from 'immutable';
import type { EarlierLeases, LeaseValue } from '@bronzeyoke/scheduler';
import { LEASE_KEY } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import { createFollower, createLoading, leaseRow } from './fixture';

/** A lease row that a leader has sent, and what the next leader waits for when it reads it at once. */
interface SentRow {
  readonly number: number;
  readonly sentAtMs: number;
  readonly waits: EarlierLeases;
}

/** A lease that may last longer than the next leader waits. */
export interface UncoveredLease {
  readonly workerKey: string;
  readonly endAtMs: number;
  readonly waitedUntilMs: number;
}

/** A leader, its lease rows that may be the stored one, and the leases that it has granted. */
export interface CoveredLeader {
  readonly fixture: Fixture;
  readonly stored?: SentRow;
  readonly pending?: SentRow;
  /** Latest end of the leases of each worker. */
  readonly leaseEnds: Map<string, number>;
  readonly uncovered: readonly UncoveredLease[];
}

/** Returns until when the next leader waits for workers if it reads a row at some time. */
export function waitsAfter(value: unknown, readAtMs: number): EarlierLeases {
  const row = leaseRow({ ...(value as LeaseValue), isReleased: true }, 10);
  const { earlierLeases, claimedAtMs } = createLoading(createFollower(), [row]).state;
  const shiftMs = readAtMs - claimedAtMs;
  return {
    rowSeenAtMs: readAtMs,
    endAtMs: earlierLeases.endAtMs + shiftMs,
    awaited: earlierLeases.awaited.map((endAtMs) => endAtMs + shiftMs),
  };
}

/** Returns the row that the transaction in flight writes, as if it were written when it was sent. */
function sentRow({ state }: Fixture): SentRow | undefined {
  const { inFlight } = state;
  const write = inFlight?.transaction.writes.find(({ table }) => table === LEASE_KEY.table);
  if (inFlight === undefined || write?.kind !== 'put') return undefined;
  const { firstSentAtMs: sentAtMs, lease } = inFlight;
  return { number: lease.number, sentAtMs, waits: waitsAfter(write.value, sentAtMs) };
}

/** Returns a row as it is if it was written some time after it was first sent. */
function writtenAt(row: SentRow | undefined, writtenAtMs: number): SentRow | undefined {
  if (row === undefined) return undefined;
  const shiftMs = writtenAtMs - row.sentAtMs;
  const { rowSeenAtMs, endAtMs, awaited } = row.waits;
  const later = {
    rowSeenAtMs: rowSeenAtMs + shiftMs,
    endAtMs: endAtMs + shiftMs,
    awaited: awaited.map((atMs) => atMs + shiftMs),
  };
  return { ...row, waits: later };
}

/** Adds the ends of the leases that the effects after the first ones have granted. */
function addGrants(
  leaseEnds: Map<string, number>,
  { state, effects }: Fixture,
  effectCount: number,
): Map<string, number> {
  const { agentLeaseMs, marginMs } = state.storedTimes ?? state.settings.times;
  return effects.slice(effectCount).reduce((ends, effect) => {
    if (effect.kind !== 'send' || effect.message.kind !== 'grant') return ends;
    const { workerKey } = effect.message;
    const arrivedAtMs = state.workers.get(workerKey)?.reportedAtMs ?? 0;
    const endAtMs = arrivedAtMs + agentLeaseMs + marginMs;
    return ends.set(workerKey, Math.max(endAtMs, ends.get(workerKey, 0)));
  }, leaseEnds);
}

function uncoveredBy(
  leaseEnds: Map<string, number>,
  row: SentRow | undefined,
): readonly UncoveredLease[] {
  if (row === undefined) return [];
  const { awaited, endAtMs: otherEndMs } = row.waits;
  return [...leaseEnds].flatMap(([workerKey, endAtMs]) => {
    const waitedUntilMs = awaited.get(workerKey, otherEndMs);
    return endAtMs > waitedUntilMs ? [{ workerKey, endAtMs, waitedUntilMs }] : [];
  });
}

/** Returns a leader that has granted no lease yet. */
export function coverLeader(fixture: Fixture): CoveredLeader {
  return { fixture, leaseEnds: Map(), uncovered: [] };
}

/**
 * Applies an event, and collects leases that the next leader does not wait for, whether it reads the row
 * that the leader knows to be stored or the one that is on its way. `storedBy` names
 * the attempt which the event proves to have stored the latter.
 */
export function coverStep(
  leader: CoveredLeader,
  act: (fixture: Fixture) => Fixture,
  storedBy?: 'firstAttempt' | 'lastAttempt',
): CoveredLeader {
  const { fixture: before, pending: known } = leader;
  const fixture = act(before);
  const row = sentRow(fixture);
  const pending = row?.number === known?.number ? known : row;
  const { sentAtMs = 0 } = before.state.inFlight ?? {};
  const written = storedBy === 'lastAttempt' ? writtenAt(known, sentAtMs) : known;
  const stored = storedBy === undefined ? leader.stored : written;
  const leaseEnds = addGrants(leader.leaseEnds, fixture, before.effects.length);
  const uncovered = [stored, pending].flatMap((sent) => uncoveredBy(leaseEnds, sent));
  return {
    fixture,
    ...(stored && { stored }),
    ...(pending && { pending }),
    leaseEnds,
    uncovered: [...leader.uncovered, ...uncovered],
  };
}
