import { setTimeout as sleep } from 'node:timers/promises';
import type { RowChange, RowStorePort, StoredRow } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';

/** Update that a follower of a table reports. */
export type TableUpdate =
  | { readonly kind: 'snapshot'; readonly rows: readonly StoredRow[] }
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[] }
  /** Result of a call: the store answered, or it was unavailable. */
  | { readonly kind: 'answered' }
  | { readonly kind: 'unanswered' };

/** Table to follow, with the callbacks for its updates. */
export interface FollowerOptions {
  readonly table: string;
  readonly partition: string;
  /** Longest time for which one call waits for changes. */
  readonly waitMs: number;
  readonly report: (update: TableUpdate) => void;
  readonly onError: (error: unknown) => void;
}

/** Handle of a running follower. */
export interface Follower {
  readonly stop: () => void;
}

const RETRY_DELAY_MS = 150;

/**
 * Follows a table: reads all of its rows, then its changes. When the store has dropped the history, all
 * rows are read again. Nothing is reported after `stop`.
 */
export function followTable(store: RowStorePort, options: FollowerOptions): Follower {
  const { table, partition, waitMs, report, onError } = options;
  const state = { isStopped: false };
  const emit = (update: TableUpdate): void => {
    if (!state.isStopped) report(update);
  };

  const readAll = async (): Promise<number | undefined> => {
    const result = await store.range({ table, partition });
    if (result.kind === 'unavailable') return undefined;
    emit({ kind: 'snapshot', rows: result.rows });
    return result.version;
  };

  const readChanges = async (version: number): Promise<number | undefined | 'retry'> => {
    const result = await store.feed(table, version, waitMs);
    switch (result.kind) {
      case 'changes':
        emit({ kind: 'answered' });
        if (result.changes.length > 0) emit({ kind: 'changes', changes: result.changes });
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
      emit({ kind: 'unanswered' });
      await sleep(RETRY_DELAY_MS, undefined, { ref: false });
    }
    return next === 'retry' ? version : next;
  };

  // A step does not await the next one, so that a long run does not build up a chain of promises.
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
