/** Key of a row of the platform's store. All rows of one transaction share a partition. */
export interface RowKey {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** A stored row. Versions increase with every transaction of the whole store. */
export interface StoredRow extends RowKey {
  readonly version: number;
  readonly value: unknown;
}

/** Version of a row that a transaction requires. Version 0 means that the row is absent. */
export interface RowCondition extends RowKey {
  readonly version: number;
}

/** One write of a transaction. */
export type RowWrite =
  | ({ readonly kind: 'put'; readonly value: unknown } & RowKey)
  | ({ readonly kind: 'delete' } & RowKey);

/** Writes that all take effect if all conditions hold; otherwise none does. */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/**
 * Result of a transaction. After `unavailable`, nothing was written. After `unknown`, the writes may have
 * taken effect, or may take effect later as long as their conditions hold.
 */
export type RowCommitResult =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'conflict'; readonly rows: readonly StoredRow[] }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' };

/** Most rows that the store returns in one call. A page may have fewer, because its size is limited. */
export const MAX_PAGE_ROWS = 500;

/** A range of keys in a table and partition. `fromKey` is inclusive, `untilKey` is exclusive. */
export interface RowRange {
  readonly table: string;
  readonly partition: string;
  readonly fromKey?: string;
  readonly untilKey?: string;
  /** Reads one page of at most this many rows. If absent, the whole range is read. */
  readonly maxRows?: number;
}

/**
 * Rows of a range. A page is a consistent snapshot, and `version` is the latest version of the store at
 * that time. `nextKey` is the key from which the range continues after this page.
 */
export type RowRangeResult =
  | {
      readonly kind: 'rows';
      readonly rows: readonly StoredRow[];
      readonly version: number;
      readonly nextKey?: string;
    }
  | { readonly kind: 'unavailable' };

/** Change of a row in a feed. */
export type RowChange =
  | ({ readonly kind: 'put' } & StoredRow)
  | ({ readonly kind: 'deleted'; readonly version: number } & RowKey);

/** Changes of a table after a version. After `historyLost`, the reader has to read all rows again. */
export type RowFeedResult =
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[]; readonly version: number }
  | { readonly kind: 'historyLost' }
  | { readonly kind: 'unavailable' };

/** The platform's transactional row store. */
export interface RowStorePort {
  readonly commit: (transaction: RowTransaction) => Promise<RowCommitResult>;
  /** Reads a page of a range, or all of it in as many calls as necessary. */
  readonly range: (range: RowRange) => Promise<RowRangeResult>;
  /** Waits up to `waitMs` for changes after a version. */
  readonly feed: (table: string, afterVersion: number, waitMs: number) => Promise<RowFeedResult>;
}

/** Effect that performs an access to the row store. */
export type RowStoreCall =
  | { readonly kind: 'commit'; readonly callId: string; readonly transaction: RowTransaction }
  | { readonly kind: 'range'; readonly callId: string; readonly range: RowRange };

/** Event that reports the result of an access to the row store. */
export type RowStoreEvent =
  | {
      readonly kind: 'commitDone';
      readonly callId: string;
      readonly result: RowCommitResult;
      readonly wallMs: number;
    }
  | {
      readonly kind: 'rangeDone';
      readonly callId: string;
      readonly result: RowRangeResult;
      readonly wallMs: number;
    };
