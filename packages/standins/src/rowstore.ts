import { List, Map } from 'immutable';
import type {
  RowChange,
  RowCommitResult,
  RowFeedResult,
  RowKey,
  RowRange,
  RowRangeResult,
  RowTransaction,
  StoredRow,
} from '@bronzeyoke/ports';

/** Rows of the row store's stand-in, with the history that its feeds serve. */
export interface RowStoreState {
  readonly rows: Map<string, StoredRow>;
  readonly version: number;
  readonly history: List<RowChange>;
  /** Oldest version that a feed can start from; older ones get `historyLost`. */
  readonly historyFrom: number;
}

/** A store without rows. */
export const EMPTY_ROW_STORE: RowStoreState = {
  rows: Map(),
  version: 0,
  history: List(),
  historyFrom: 0,
};

/** Returns the text form of a row's key. */
function rowId({ table, partition, key }: RowKey): string {
  return `${table}\u0001${partition}\u0001${key}`;
}

/** Applies a transaction if all its conditions hold, or else returns the rows that they name. */
export function commitRow(
  state: RowStoreState,
  { conditions, writes }: RowTransaction,
): { readonly state: RowStoreState; readonly result: RowCommitResult } {
  const isMet = conditions.every(
    (condition) => (state.rows.get(rowId(condition))?.version ?? 0) === condition.version,
  );
  if (!isMet) {
    const rows = conditions.flatMap((condition) => state.rows.get(rowId(condition)) ?? []);
    return { state, result: { kind: 'conflict', rows } };
  }
  const version = state.version + 1;
  const changes = writes.map((write): RowChange => {
    const { table, partition, key } = write;
    return write.kind === 'put'
      ? { kind: 'put', table, partition, key, version, value: write.value }
      : { kind: 'deleted', table, partition, key, version };
  });
  const rows = changes.reduce(
    (current, change) =>
      change.kind === 'put' ? current.set(rowId(change), change) : current.delete(rowId(change)),
    state.rows,
  );
  return {
    state: { ...state, rows, version, history: state.history.concat(changes) },
    result: { kind: 'committed', version },
  };
}

/** Reads the current rows of a key range. */
export function readRange(state: RowStoreState, range: RowRange): RowRangeResult {
  const { table, partition, fromKey = '', untilKey } = range;
  const rows = state.rows
    .valueSeq()
    .filter(
      (row) =>
        row.table === table &&
        row.partition === partition &&
        row.key >= fromKey &&
        (untilKey === undefined || row.key < untilKey),
    )
    .sortBy(({ key }) => key)
    .toArray();
  return { kind: 'rows', rows, version: state.version };
}

/** Returns the changes of a table after a version. */
export function readFeed(state: RowStoreState, table: string, afterVersion: number): RowFeedResult {
  if (afterVersion < state.historyFrom) return { kind: 'historyLost' };
  const changes = state.history
    .filter((change) => change.table === table && change.version > afterVersion)
    .toArray();
  return { kind: 'changes', changes, version: state.version };
}

/** Drops the history, so that feeds from an older version fail. */
export function dropHistory(state: RowStoreState): RowStoreState {
  return { ...state, history: List(), historyFrom: state.version };
}
