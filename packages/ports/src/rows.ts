/** Names a row of the platform's store. All rows of one transaction share a partition. */
export interface RowKey {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** A row as it is stored. The version grows with every transaction of the whole store. */
export interface StoredRow extends RowKey {
  readonly version: number;
  readonly value: unknown;
}

/** What a transaction expects of a row. Version 0 means that the row is absent. */
export interface RowCondition extends RowKey {
  readonly version: number;
}

/** One write of a transaction. */
export type RowWrite =
  | ({ readonly kind: 'put'; readonly value: unknown } & RowKey)
  | ({ readonly kind: 'delete' } & RowKey);

/** A transaction: all writes take effect if all conditions hold, else none. */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/**
 * How a transaction ended. `unavailable` means that nothing was done; after `unknown` the writes may
 * have been done, or may be done later while their conditions still hold.
 */
export type RowCommitResult =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'conflict'; readonly rows: readonly StoredRow[] }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' };

/** A range of keys of one table and partition; `fromKey` is included, `untilKey` is not. */
export interface RowRange {
  readonly table: string;
  readonly partition: string;
  readonly fromKey?: string;
  readonly untilKey?: string;
}

/** Rows as of one moment. `version` is the newest version of the store at that moment. */
export type RowRangeResult =
  | { readonly kind: 'rows'; readonly rows: readonly StoredRow[]; readonly version: number }
  | { readonly kind: 'unavailable' };

/** A change of a row in a feed. */
export type RowChange =
  | ({ readonly kind: 'put' } & StoredRow)
  | ({ readonly kind: 'deleted'; readonly version: number } & RowKey);

/** Changes of a table after a version. `historyLost` asks for a full read. */
export type RowFeedResult =
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[]; readonly version: number }
  | { readonly kind: 'historyLost' }
  | { readonly kind: 'unavailable' };

/** The platform's transactional row store. */
export interface RowStorePort {
  readonly commit: (transaction: RowTransaction) => Promise<RowCommitResult>;
  /** Reads a whole range, over as many calls as it takes. */
  readonly range: (range: RowRange) => Promise<RowRangeResult>;
  /** Waits up to `waitMs` for changes after a version. */
  readonly feed: (table: string, afterVersion: number, waitMs: number) => Promise<RowFeedResult>;
}

/** A store access that a core asks for. */
export type RowStoreCall =
  | { readonly kind: 'commit'; readonly callId: string; readonly transaction: RowTransaction }
  | { readonly kind: 'range'; readonly callId: string; readonly range: RowRange };

/** How a store access ended. */
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
