import { Map } from 'immutable';
import type { RowRangeResult, StoredRow } from '@bronzeyoke/ports';
import { unchanged, without } from '@bronzeyoke/types';
import { PARTITION, TABLES } from '../leadership/rows';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep, SeenWithdrawal } from '../types';

/** Ids of the calls that read and remove withdrawals. */
export const WITHDRAWAL_CALLS = { read: 'withdrawals', remove: 'withdrawals-remove' } as const;

/**
 * Time for which a withdrawal is kept at least. The store performs a write up to some seconds late, and
 * an entry that was frozen may send a submission that long after its caller gave up.
 */
export const WITHDRAWAL_KEEP_MS = 60_000;

/** Interval of the reads. */
const READ_INTERVAL_MS = 10_000;

/** Time after which a call without a result is given up. */
const CALL_TIMEOUT_MS = 5_000;

/** Each row takes a condition and a write of the 100 that a transaction may name. */
const MAX_REMOVED_ROWS = 50;

/** Reads the withdrawals from time to time. */
export function readWithdrawals(state: SchedulerState, nowMs: number): SchedulerStep {
  const { seen, sentAtMs, callId, isBehind = false, fromKey } = state.withdrawals;
  const start = fromKey === undefined ? {} : { fromKey };
  const restMs = isBehind ? 0 : READ_INTERVAL_MS;
  const intervalMs = callId === undefined ? restMs : CALL_TIMEOUT_MS;
  if (state.phase !== 'leading' || nowMs - sentAtMs < intervalMs) return unchanged(state);
  const range = { table: TABLES.withdrawals, partition: PARTITION, ...start };
  const withdrawals = { seen, ...start, callId: WITHDRAWAL_CALLS.read, sentAtMs: nowMs };
  return withEffects({ ...state, withdrawals }, [
    { kind: 'range', callId: WITHDRAWAL_CALLS.read, range },
  ]);
}

/** Counts the age of each row from the first read of its version, so no machine's clock matters. */
function seenRows(
  known: Map<string, SeenWithdrawal>,
  rows: readonly StoredRow[],
  nowMs: number,
): Map<string, SeenWithdrawal> {
  return Map(
    rows.map(({ key, version }) => {
      const seen = known.get(key);
      return [key, seen?.version === version ? seen : { version, seenAtMs: nowMs }] as const;
    }),
  );
}

/** Removes the withdrawals that are old enough, unless they have been written again since. */
export function onWithdrawalRows(
  state: SchedulerState,
  result: RowRangeResult,
  nowMs: number,
): SchedulerStep {
  const { sentAtMs, callId, seen: known, fromKey } = state.withdrawals;
  const start = fromKey === undefined ? {} : { fromKey };
  if (state.phase !== 'leading' || callId !== WITHDRAWAL_CALLS.read) return unchanged(state);
  if (result.kind === 'unavailable') {
    return unchanged({ ...state, withdrawals: { sentAtMs, seen: known, ...start } });
  }
  const { nextKey } = result;
  const page = seenRows(known, result.rows, nowMs);
  const others = known.filter(
    (_, key) => key < (fromKey ?? '') || (nextKey !== undefined && key >= nextKey),
  );
  const seen = others.merge(page);
  const old = page.filter(({ seenAtMs }) => nowMs - seenAtMs >= WITHDRAWAL_KEEP_MS);
  const expired = old.entrySeq().take(MAX_REMOVED_ROWS).toArray();
  const isRest = old.size > expired.length;
  const nextStart = isRest ? fromKey : nextKey;
  const next = {
    sentAtMs,
    seen,
    ...(isRest || nextKey !== undefined ? { isBehind: true } : {}),
    ...(nextStart === undefined ? {} : { fromKey: nextStart }),
  };
  if (expired.length === 0) return unchanged({ ...state, withdrawals: next });
  const rowOf = (key: string) => ({ table: TABLES.withdrawals, partition: PARTITION, key });
  const transaction = {
    // A removal that the store performs late leaves a row alone that was written again.
    conditions: expired.map(([key, { version }]) => ({ ...rowOf(key), version })),
    writes: expired.map(([key]) => ({ kind: 'delete', ...rowOf(key) }) as const),
  };
  const withdrawals = { ...next, callId: WITHDRAWAL_CALLS.remove };
  return withEffects({ ...state, withdrawals }, [
    { kind: 'commit', callId: WITHDRAWAL_CALLS.remove, transaction },
  ]);
}

/** Ends a removal. The next read shows what is left, whatever the result was. */
export function settleRemoval(state: SchedulerState): SchedulerState {
  return { ...state, withdrawals: without(state.withdrawals, 'callId') };
}
