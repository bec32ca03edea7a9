import { Map, Set } from 'immutable';
import type { CommitResult, StoreEffect, Transaction } from '@bronzeyoke/ports';
import { MAX_TRANSACTION_ROWS } from '@bronzeyoke/ports';

/** How long an intent waits for others that share its transaction. */
export const GROUP_DELAY_MS = 10;

/** Transactions of intents that may be on their way at once; more intents wait and share the next. */
const MAX_IN_FLIGHT = 4;

/** The commit of one row, which travels with others. */
export type IntentCommit = Extract<StoreEffect, { readonly kind: 'commit' }>;

/** Commits of intents on their way to the table. */
export interface IntentGroups {
  readonly waiting: readonly IntentCommit[];
  readonly isFlushScheduled: boolean;
  readonly sentCount: number;
  readonly inFlight: Map<string, readonly IntentCommit[]>;
}

/** No intents yet. */
export const EMPTY_GROUPS: IntentGroups = {
  waiting: [],
  isFlushScheduled: false,
  sentCount: 0,
  inFlight: Map(),
};

function keyOf(part: IntentCommit): string {
  return part.transaction.conditions[0]?.key ?? '';
}

interface Packed {
  readonly parts: readonly IntentCommit[];
  readonly keys: Set<string>;
  readonly rest: readonly IntentCommit[];
}

/** The oldest parts that fit into one transaction: each row once. */
function pack(waiting: readonly IntentCommit[]): Packed {
  return waiting.reduce<Packed>(
    ({ parts, keys, rest }, part) =>
      parts.length < MAX_TRANSACTION_ROWS && !keys.has(keyOf(part))
        ? { parts: [...parts, part], keys: keys.add(keyOf(part)), rest }
        : { parts, keys, rest: [...rest, part] },
    { parts: [], keys: Set(), rest: [] },
  );
}

function mergeTransactions(parts: readonly IntentCommit[]): Transaction {
  return {
    conditions: parts.flatMap(({ transaction }) => transaction.conditions),
    writes: parts.flatMap(({ transaction }) => transaction.writes),
  };
}

/** Sends what waits in one transaction, unless enough are on their way. */
export function flushIntents(
  groups: IntentGroups,
  isAwaited: (part: IntentCommit) => boolean,
): { readonly groups: IntentGroups; readonly effects: readonly StoreEffect[] } {
  const waiting = groups.waiting.filter(isAwaited);
  const flushed = { ...groups, waiting, isFlushScheduled: false };
  if (waiting.length === 0 || groups.inFlight.size >= MAX_IN_FLIGHT) {
    return { groups: flushed, effects: [] };
  }
  const { parts, rest } = pack(waiting);
  const sentCount = groups.sentCount + 1;
  const callId = `intents#${sentCount}`;
  return {
    groups: {
      ...flushed,
      sentCount,
      waiting: rest,
      inFlight: groups.inFlight.set(callId, parts),
    },
    effects: [
      { kind: 'commit', origin: 'requests', callId, transaction: mergeTransactions(parts) },
    ],
  };
}

function hasConflict(part: IntentCommit, versions: Map<string, number>): boolean {
  return part.transaction.conditions.some(
    ({ key, version }) => (versions.get(key) ?? 0) !== version,
  );
}

/**
 * Takes the result of a transaction and gives each part its own. After a conflict the parts whose
 * conditions hold go again without the others.
 */
export function settleIntents(
  groups: IntentGroups,
  callId: string,
  result: CommitResult,
): {
  readonly groups: IntentGroups;
  readonly results: readonly { readonly callId: string; readonly result: CommitResult }[];
} {
  const parts = groups.inFlight.get(callId) ?? [];
  const remaining = { ...groups, inFlight: groups.inFlight.delete(callId) };
  const give = (to: readonly IntentCommit[], own: CommitResult) =>
    to.map((part) => ({ callId: part.callId, result: own }));
  if (result.kind !== 'conflict') return { groups: remaining, results: give(parts, result) };
  const versions = Map(result.rows.map((row) => [row.key, row.version]));
  const failed = parts.filter((part) => hasConflict(part, versions));
  // A conflict that no row explains: the rows are read back.
  if (failed.length === 0) return { groups: remaining, results: give(parts, { kind: 'unknown' }) };
  const again = parts.filter((part) => !hasConflict(part, versions));
  return {
    groups: { ...remaining, waiting: [...again, ...remaining.waiting] },
    results: give(failed, result),
  };
}
