import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RowChange, RowFeedResult, RowStorePort, StoredRow } from '@bronzeyoke/ports';
import { MAX_PAGE_ROWS } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';

/** Update that a follower of a table reports. */
export type TableUpdate =
  | {
      readonly kind: 'snapshot';
      readonly rows: readonly StoredRow[];
      /** Changes after this version may be missing. */
      readonly version: number;
      /** When the read of the first page was sent. */
      readonly asOfMs: number;
    }
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[] }
  /** Follows a feed: all changes up to `version` were reported, and at `asOfMs` there were no others. */
  | { readonly kind: 'current'; readonly version: number; readonly asOfMs: number }
  /** Result of a call: the store answered with its newest version, or it was unavailable. */
  | { readonly kind: 'answered'; readonly version: number }
  | { readonly kind: 'unanswered' };

/** Table to follow, with the callbacks for its updates. */
export interface FollowerOptions {
  readonly table: string;
  readonly partition: string;
  /** Rows on one page of a full read; as many as the store returns if absent. */
  readonly pageRows?: number;
  /** Rows of a page after one that failed. */
  readonly smallPageRows?: number;
  /** Longest time for which one call waits for changes. */
  readonly waitMs: number;
  readonly report: (update: TableUpdate) => void;
  readonly onError: (error: unknown) => void;
  /** Waits before a call is repeated; by a timer if absent. */
  readonly pause?: (forMs: number) => Promise<void>;
}

/** Handle of a running follower. */
export interface Follower {
  readonly stop: () => void;
}

/** Rows read so far, or the version up to which all changes were reported. */
type Position = {
  /** Number of times in a row that all rows had to be read again before any changes were handled. */
  readonly lossCount: number;
} & (
  | {
      readonly kind: 'reading';
      readonly rows: readonly StoredRow[];
      /** Lowest version of the pages read; infinite before the first one. */
      readonly version: number;
      /** When the read of the first page was sent; infinite before it. */
      readonly asOfMs: number;
      readonly fromKey?: string;
      /** A page has failed, perhaps because it took too long. */
      readonly hasFailed: boolean;
    }
  | { readonly kind: 'following'; readonly version: number }
);

/** Next position; none when the store did not answer. */
type NextPosition = Position | undefined;

const START: Position = {
  kind: 'reading',
  lossCount: 0,
  rows: [],
  version: Infinity,
  asOfMs: Infinity,
  hasFailed: false,
};

const RETRY_DELAY_MS = 150;

/** Snapshots replace the changes while the history stays too short, so they must not become rare. */
const MAX_LOSS_DELAY_MS = 2_400;

/** Returns the pause before a full read after repeated losses of the history. */
function lossDelayMs(lossCount: number): number {
  return Math.min(MAX_LOSS_DELAY_MS, RETRY_DELAY_MS * 2 ** (lossCount - 1));
}

/** Returns the latest time at which the store is known to have had no changes beside those that it sent. */
function asOfMsOf(
  { changes }: Extract<RowFeedResult, { kind: 'changes' }>,
  sentAtMs: number,
  waitMs: number,
): number {
  const hasWaited = changes.length === 0 && performance.now() - sentAtMs >= waitMs;
  return hasWaited ? sentAtMs + waitMs : sentAtMs;
}

async function pauseByTimer(forMs: number): Promise<void> {
  await sleep(forMs, undefined, { ref: false });
}

/**
 * Follows a table: reads all of its rows page by page, then its changes. A page that failed is read again
 * without those before it. Changes are read from the version of the first page, so a row that changed
 * while the pages were read is reported again. When the store has dropped the history, all rows are
 * read again, after a growing pause if that happens before any changes were read. The same holds for
 * changes that the receiver could not handle. Nothing is reported after `stop`.
 */
export function followTable(store: RowStorePort, options: FollowerOptions): Follower {
  const { table, partition, waitMs, report, onError } = options;
  const { pageRows = MAX_PAGE_ROWS, smallPageRows = pageRows, pause = pauseByTimer } = options;
  const state = { isStopped: false };
  /** Reports an update; returns whether its receiver has handled it. */
  const emit = (update: TableUpdate): boolean => {
    if (state.isStopped) return true;
    try {
      report(update);
      return true;
    } catch (error) {
      onError(error);
      return false;
    }
  };

  const readPage = async (
    position: Extract<Position, { kind: 'reading' }>,
  ): Promise<NextPosition> => {
    const { lossCount, fromKey, hasFailed } = position;
    const maxRows = hasFailed ? smallPageRows : pageRows;
    const from = fromKey === undefined ? {} : { fromKey };
    const asOfMs = Math.min(position.asOfMs, performance.now());
    const result = await store.range({ table, partition, maxRows, ...from });
    if (result.kind === 'unavailable') return undefined;
    const rows = [...position.rows, ...result.rows];
    const version = Math.min(position.version, result.version);
    if (result.nextKey !== undefined) {
      emit({ kind: 'answered', version: result.version });
      return {
        kind: 'reading',
        lossCount,
        rows,
        version,
        asOfMs,
        fromKey: result.nextKey,
        hasFailed,
      };
    }
    emit({ kind: 'snapshot', rows, version, asOfMs });
    return { kind: 'following', lossCount, version };
  };

  const readAgain = async (lossCount: number): Promise<NextPosition> => {
    // The first loss, as after a long cut, needs no pause.
    if (lossCount > 0) await pause(lossDelayMs(lossCount));
    return { ...START, lossCount: lossCount + 1 };
  };

  const readChanges = async ({
    lossCount,
    version,
  }: Extract<Position, { kind: 'following' }>): Promise<NextPosition> => {
    const sentAtMs = performance.now();
    const result = await store.feed(table, version, waitMs);
    switch (result.kind) {
      case 'changes':
        emit({ kind: 'answered', version: result.version });
        if (result.changes.length > 0 && !emit({ kind: 'changes', changes: result.changes })) {
          // The receiver may have missed the rows beside the one that it could not handle.
          return readAgain(lossCount);
        }
        emit({
          kind: 'current',
          version: result.version,
          asOfMs: asOfMsOf(result, sentAtMs, waitMs),
        });
        return { kind: 'following', lossCount: 0, version: Math.max(version, result.version) };
      case 'historyLost':
        return readAgain(lossCount);
      case 'unavailable':
        return undefined;
      default:
        return assertNever(result);
    }
  };

  const read = async (position: Position): Promise<NextPosition> => {
    try {
      return position.kind === 'reading' ? await readPage(position) : await readChanges(position);
    } catch (error) {
      onError(error);
      return undefined;
    }
  };

  const step = async (position: Position): Promise<Position> => {
    const next = await read(position);
    if (next !== undefined) return next;
    emit({ kind: 'unanswered' });
    await pause(RETRY_DELAY_MS);
    return position.kind === 'reading' ? { ...position, hasFailed: true } : position;
  };

  // A step does not await the next one, so that a long run does not build up a chain of promises.
  const run = (position: Position): void => {
    if (state.isStopped) return;
    step(position).then(run, onError);
  };

  run(START);
  return {
    stop: () => {
      state.isStopped = true;
    },
  };
}
