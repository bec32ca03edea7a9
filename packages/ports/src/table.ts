/** A row of the table service. The store sets the version; it grows with every write of the row. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** What a transaction expects of a row. Version 0 means that the row is absent. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** One write of a transaction. */
export type Write =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown }
  | { readonly kind: 'delete'; readonly key: string };

/** A transaction: all writes take effect if all conditions hold, else none. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** Most rows that a transaction may name. */
export const MAX_TRANSACTION_ROWS = 100;

/** How a transaction ended. After `unknown` the writer reads back to see whether it took effect. */
export type CommitResult =
  | { readonly kind: 'committed'; readonly rows: readonly Row[] }
  | { readonly kind: 'conflict'; readonly rows: readonly Row[] }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' };

/** How a read ended. */
export type ReadResult =
  { readonly kind: 'rows'; readonly rows: readonly Row[] } | { readonly kind: 'unavailable' };

/** The platform's transactional table service. */
export interface TablePort {
  /** Reads rows by key; absent rows are left out. */
  readonly read: (keys: readonly string[]) => Promise<ReadResult>;
  /** Reads rows whose key starts with a prefix, in key order, after a key. */
  readonly scan: (prefix: string, afterKey: string, limit: number) => Promise<ReadResult>;
  readonly commit: (transaction: Transaction) => Promise<CommitResult>;
}
