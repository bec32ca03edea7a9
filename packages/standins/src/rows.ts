import { Map } from 'immutable';
import type { CommitResult, Row, Transaction } from '@bronzeyoke/ports';
import { MAX_TRANSACTION_ROWS } from '@bronzeyoke/ports';

/** The rows of a table, grouped by the first part of their key so that scans stay short. */
export interface TableState {
  readonly groups: Map<string, Map<string, Row>>;
  /** Version of the latest write. A row that is written again never reuses an old version. */
  readonly lastVersion: number;
}

/** A table without rows. */
export const EMPTY_TABLE: TableState = { groups: Map(), lastVersion: 0 };

function groupOf(key: string): string {
  const end = key.indexOf('/');
  return end === -1 ? key : key.slice(0, end);
}

function findRow(state: TableState, key: string): Row | undefined {
  return state.groups.get(groupOf(key))?.get(key);
}

/** Reads rows by key; absent rows are left out. */
export function readRows(state: TableState, keys: readonly string[]): readonly Row[] {
  return keys.flatMap((key) => findRow(state, key) ?? []);
}

/** Reads rows after a key whose keys start with a prefix, in key order. */
export function scanRows(
  state: TableState,
  prefix: string,
  afterKey: string,
  limit: number,
): readonly Row[] {
  const hasGroup = prefix.includes('/');
  const groups = hasGroup ? [state.groups.get(groupOf(prefix))] : [...state.groups.values()];
  return groups
    .flatMap((group) => (group === undefined ? [] : [...group.values()]))
    .filter((row) => row.key.startsWith(prefix) && row.key > afterKey)
    .sort((left, right) => (left.key < right.key ? -1 : 1))
    .slice(0, limit);
}

/** Applies a transaction: all of its writes or, if a condition fails, none. */
export function commitRows(
  state: TableState,
  transaction: Transaction,
): { readonly state: TableState; readonly result: CommitResult } {
  const { conditions, writes } = transaction;
  const keys = new Set([...conditions, ...writes].map((part) => part.key));
  if (keys.size > MAX_TRANSACTION_ROWS) {
    throw new RangeError(`transaction names ${keys.size} rows`);
  }
  const isMet = conditions.every(
    (condition) => (findRow(state, condition.key)?.version ?? 0) === condition.version,
  );
  if (!isMet) {
    const rows = readRows(
      state,
      conditions.map((condition) => condition.key),
    );
    return { state, result: { kind: 'conflict', rows } };
  }
  const version = state.lastVersion + 1;
  const groups = state.groups.withMutations((draft) => {
    writes.forEach((write) => {
      const group = groupOf(write.key);
      const rows = draft.get(group) ?? Map<string, Row>();
      draft.set(
        group,
        write.kind === 'put'
          ? rows.set(write.key, { key: write.key, version, value: write.value })
          : rows.delete(write.key),
      );
    });
  });
  const next = { groups, lastVersion: version };
  const rows = readRows(
    next,
    writes.map((write) => write.key),
  );
  return { state: next, result: { kind: 'committed', rows } };
}
