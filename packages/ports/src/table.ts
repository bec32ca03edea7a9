/** A row of the table service, which increases the version with every write of the row. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Version of a row that a transaction requires. Version 0 means that the row is absent. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** One write of a transaction. */
export type Write =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown }
  | { readonly kind: 'delete'; readonly key: string };

/** Writes that all take effect if all conditions hold; otherwise none does. */
export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

/** Largest number of rows that a transaction may name. */
export const MAX_TRANSACTION_ROWS = 100;

/** Result of a transaction. After `unknown`, the writer reads the rows to see if it took effect. */
export type CommitResult =
  | { readonly kind: 'committed'; readonly rows: readonly Row[] }
  | { readonly kind: 'conflict'; readonly rows: readonly Row[] }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' };

/** Result of a read. */
export type ReadResult =
  { readonly kind: 'rows'; readonly rows: readonly Row[] } | { readonly kind: 'unavailable' };

/** The platform's transactional table service. */
export interface TablePort {
  /** Reads rows by key; absent rows are left out. */
  readonly read: (keys: readonly string[]) => Promise<ReadResult>;
  /** Reads rows whose key starts with a prefix, in key order, starting after a key. */
  readonly scan: (prefix: string, afterKey: string, limit: number) => Promise<ReadResult>;
  readonly commit: (transaction: Transaction) => Promise<CommitResult>;
}
