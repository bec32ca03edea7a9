import { HOLD_START_MS } from './holdstart';

/** A version of the lease row, and when this entry first saw it or a later one. */
export interface SeenVersion {
  readonly version: number;
  readonly atMs: number;
}

/** Time for which versions are remembered. Longer than a run may go on after its order without a report. */
const REMEMBER_MS = 20_000;

/** Adds a version to those seen, the earliest first, and forgets all but the last of the old ones. */
export function noteVersion(
  seen: readonly SeenVersion[],
  version: number,
  nowMs: number,
): readonly SeenVersion[] {
  const last = seen.at(-1);
  if (last !== undefined && version <= last.version) return seen;
  const isOld = ({ atMs }: SeenVersion): boolean => nowMs - atMs > REMEMBER_MS;
  const recent = seen.filter((_, index) => !isOld(seen[index + 1] ?? { version, atMs: nowMs }));
  return [...recent, { version, atMs: nowMs }];
}

/**
 * Returns the latest time at which an order of a claim in a row of some version may have been sent. Each
 * transaction of a leader writes the lease row, and follows the orders of the one before, but for those
 * that waited for a connection.
 */
export function ordersEndAtMs(
  seen: readonly SeenVersion[],
  rowVersion: number,
  nowMs: number,
): number {
  const later = seen.find(({ version }) => version > rowVersion);
  return later === undefined ? nowMs : Math.min(nowMs, later.atMs + HOLD_START_MS);
}
