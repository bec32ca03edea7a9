import { isDeepStrictEqual } from 'node:util';
import { assertNever } from '@bronzeyoke/types';
import type { CommitResult, Row, Transaction } from '@bronzeyoke/ports';

/** What a writer knows after a result, also when earlier results of the same transaction were lost. */
export type CommitResolution =
  | { readonly kind: 'committed'; readonly rows: readonly Row[] }
  | { readonly kind: 'conflict'; readonly rows: readonly Row[] }
  | { readonly kind: 'unavailable' }
  /** The same transaction has to be sent again. */
  | { readonly kind: 'repeat' };

function hasWritten(transaction: Transaction, rows: readonly Row[]): boolean {
  const current = new Map(rows.map((row) => [row.key, row]));
  const conditioned = new Set(transaction.conditions.map((condition) => condition.key));
  const checked = transaction.writes.filter((write) => conditioned.has(write.key));
  return (
    checked.length > 0 &&
    checked.every((write) =>
      write.kind === 'put'
        ? isDeepStrictEqual(current.get(write.key)?.value, write.value)
        : !current.has(write.key),
    )
  );
}

/**
 * Settles a transaction. One whose result was lost is sent again: its conditions keep it from taking
 * effect twice, and the rows of the conflict show the values that the first attempt wrote. Every such
 * transaction therefore has to write a row of its conditions with a value nobody else writes.
 */
export function resolveCommit(
  transaction: Transaction,
  wasLost: boolean,
  result: CommitResult,
): CommitResolution {
  switch (result.kind) {
    case 'committed':
      return result;
    case 'conflict':
      return wasLost && hasWritten(transaction, result.rows)
        ? { kind: 'committed', rows: result.rows }
        : result;
    case 'unavailable':
      return wasLost ? { kind: 'repeat' } : result;
    case 'unknown':
      return { kind: 'repeat' };
    default:
      return assertNever(result);
  }
}
