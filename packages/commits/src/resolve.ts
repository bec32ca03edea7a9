import { isDeepStrictEqual } from 'node:util';
import { assertNever } from '@bronzeyoke/types';
import type { CommitResult, Row, Transaction } from '@bronzeyoke/ports';

/** Outcome of a transaction, taking into account results that were lost before. */
export type CommitResolution =
  | { readonly kind: 'committed'; readonly rows: readonly Row[] }
  | { readonly kind: 'conflict'; readonly rows: readonly Row[] }
  | { readonly kind: 'unavailable' }
  /** The same transaction has to be sent again. */
  | { readonly kind: 'retry' };

function hasWritten(transaction: Transaction, rows: readonly Row[]): boolean {
  const current = new Map(rows.map((row) => [row.key, row]));
  const conditionKeys = new Set(transaction.conditions.map((condition) => condition.key));
  const conditionalWrites = transaction.writes.filter((write) => conditionKeys.has(write.key));
  return (
    conditionalWrites.length > 0 &&
    conditionalWrites.every((write) =>
      write.kind === 'put'
        ? isDeepStrictEqual(current.get(write.key)?.value, write.value)
        : !current.has(write.key),
    )
  );
}

/**
 * Resolves the outcome of a transaction from its result. A transaction whose result was lost is sent
 * again: its conditions keep it from taking effect twice, and the rows of the conflict show the values
 * that the first attempt wrote. Every such transaction therefore has to write a unique value to a row
 * of its conditions.
 */
export function resolveCommit(
  transaction: Transaction,
  wasReplyLost: boolean,
  result: CommitResult,
): CommitResolution {
  switch (result.kind) {
    case 'committed':
      return result;
    case 'conflict':
      return wasReplyLost && hasWritten(transaction, result.rows)
        ? { kind: 'committed', rows: result.rows }
        : result;
    case 'unavailable':
      return wasReplyLost ? { kind: 'retry' } : result;
    case 'unknown':
      return { kind: 'retry' };
    default:
      return assertNever(result);
  }
}
