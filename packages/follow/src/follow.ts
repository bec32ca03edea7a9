import { setTimeout as sleep } from 'node:timers/promises';
import type { RowChange, RowStorePort, StoredRow } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';

/** What a follower of a table is told. */
export type TableUpdate =
  | { readonly kind: 'snapshot'; readonly rows: readonly StoredRow[] }
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[] }
  /** The store answered, or did not. */
  | { readonly kind: 'answered' }
  | { readonly kind: 'unanswered' };

/** What to follow. */
export interface FollowerOptions {
  readonly table: string;
  readonly partition: string;
  /** How long one call waits for changes. */
  readonly waitMs: number;
  readonly report: (news: TableUpdate) => void;
  readonly onError: (error: unknown) => void;
}

/** A running follower. */
export interface Follower {
  readonly stop: () => void;
}

const RETRY_MS = 150;

/**
 * Follows a table: reads it whole, then its changes. When the store has dropped the history, the table
 * is read whole again. Nothing is reported after `stop`.
 */
export function followTable(store: RowStorePort, options: FollowerOptions): Follower {
  const { table, partition, waitMs, report, onError } = options;
  const state = { isStopped: false };
  const tell = (news: TableUpdate): void => {
    if (!state.isStopped) report(news);
  };

  const readAll = async (): Promise<number | undefined> => {
    const result = await store.range({ table, partition });
    if (result.kind === 'unavailable') return undefined;
    tell({ kind: 'snapshot', rows: result.rows });
    return result.version;
  };

  const readChanges = async (version: number): Promise<number | undefined | 'retry'> => {
    const result = await store.feed(table, version, waitMs);
    switch (result.kind) {
      case 'changes':
        tell({ kind: 'answered' });
        if (result.changes.length > 0) tell({ kind: 'changes', changes: result.changes });
        return Math.max(version, result.version);
      case 'historyLost':
        return undefined;
      case 'unavailable':
        return 'retry';
      default:
        return assertNever(result);
    }
  };

  const step = async (version: number | undefined): Promise<number | undefined> => {
    const next = version === undefined ? await readAll() : await readChanges(version);
    if (next === 'retry' || (next === undefined && version === undefined)) {
      tell({ kind: 'unanswered' });
      await sleep(RETRY_MS, undefined, { ref: false });
    }
    return next === 'retry' ? version : next;
  };

  // Each call schedules the next, so that the calls of a long life do not form a chain of promises.
  const run = (version: number | undefined): void => {
    if (state.isStopped) return;
    step(version).then(run, onError);
  };

  run(undefined);
  return {
    stop: () => {
      state.isStopped = true;
    },
  };
}
