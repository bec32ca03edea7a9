import { Map, Set } from 'immutable';
import type { CommitResult, StoreEffect, Transaction } from '@bronzeyoke/ports';
import { MAX_TRANSACTION_ROWS } from '@bronzeyoke/ports';

/** Time that the commit of an intent waits for others to share its transaction. */
export const GROUP_DELAY_MS = 10;

/** Transactions of intents that may be in flight at once; further intents wait and share the next. */
const MAX_IN_FLIGHT = 4;

/** The commit of one intent row, which shares a transaction with others. */
export type IntentCommit = Extract<StoreEffect, { readonly kind: 'commit' }>;

/** Commits of intents that wait or are in flight to the table. */
export interface IntentGroups {
  readonly waiting: readonly IntentCommit[];
  readonly isFlushScheduled: boolean;
  readonly sentCount: number;
  readonly inFlight: Map<string, readonly IntentCommit[]>;
}

/** The state without any commits. */
export const EMPTY_GROUPS: IntentGroups = {
  waiting: [],
  isFlushScheduled: false,
  sentCount: 0,
  inFlight: Map(),
};

function keyOf(commit: IntentCommit): string {
  return commit.transaction.conditions[0]?.key ?? '';
}

interface Packed {
  readonly commits: readonly IntentCommit[];
  readonly keys: Set<string>;
  readonly rest: readonly IntentCommit[];
}

/** Takes the oldest commits that fit into one transaction, with each row at most once. */
function pack(waiting: readonly IntentCommit[]): Packed {
  return waiting.reduce<Packed>(
    ({ commits, keys, rest }, commit) =>
      commits.length < MAX_TRANSACTION_ROWS && !keys.has(keyOf(commit))
        ? { commits: [...commits, commit], keys: keys.add(keyOf(commit)), rest }
        : { commits, keys, rest: [...rest, commit] },
    { commits: [], keys: Set(), rest: [] },
  );
}

function mergeTransactions(commits: readonly IntentCommit[]): Transaction {
  return {
    conditions: commits.flatMap(({ transaction }) => transaction.conditions),
    writes: commits.flatMap(({ transaction }) => transaction.writes),
  };
}

/** Sends waiting commits in one transaction, unless too many transactions are in flight. */
export function flushIntents(
  groups: IntentGroups,
  isPending: (commit: IntentCommit) => boolean,
): { readonly groups: IntentGroups; readonly effects: readonly StoreEffect[] } {
  const waiting = groups.waiting.filter(isPending);
  const flushed = { ...groups, waiting, isFlushScheduled: false };
  if (waiting.length === 0 || groups.inFlight.size >= MAX_IN_FLIGHT) {
    return { groups: flushed, effects: [] };
  }
  const { commits, rest } = pack(waiting);
  const sentCount = groups.sentCount + 1;
  const callId = `intents#${sentCount}`;
  return {
    groups: {
      ...flushed,
      sentCount,
      waiting: rest,
      inFlight: groups.inFlight.set(callId, commits),
    },
    effects: [
      { kind: 'commit', origin: 'requests', callId, transaction: mergeTransactions(commits) },
    ],
  };
}

function hasConflict(commit: IntentCommit, versions: Map<string, number>): boolean {
  return commit.transaction.conditions.some(
    ({ key, version }) => (versions.get(key) ?? 0) !== version,
  );
}

/**
 * Splits the result of a transaction into one result for each commit. After a conflict the commits
 * whose conditions hold are sent again without the others.
 */
export function settleIntents(
  groups: IntentGroups,
  callId: string,
  result: CommitResult,
): {
  readonly groups: IntentGroups;
  readonly results: readonly { readonly callId: string; readonly result: CommitResult }[];
} {
  const commits = groups.inFlight.get(callId) ?? [];
  const remaining = { ...groups, inFlight: groups.inFlight.delete(callId) };
  const resultsFor = (settled: readonly IntentCommit[], each: CommitResult) =>
    settled.map((commit) => ({ callId: commit.callId, result: each }));
  if (result.kind !== 'conflict')
    return { groups: remaining, results: resultsFor(commits, result) };
  const versions = Map(result.rows.map((row) => [row.key, row.version]));
  const failed = commits.filter((commit) => hasConflict(commit, versions));
  // No returned row explains the conflict, so the rows are read back.
  if (failed.length === 0)
    return { groups: remaining, results: resultsFor(commits, { kind: 'unknown' }) };
  const valid = commits.filter((commit) => !hasConflict(commit, versions));
  return {
    groups: { ...remaining, waiting: [...valid, ...remaining.waiting] },
    results: resultsFor(failed, result),
  };
}
