import type { RowRangeResult } from '@bronzeyoke/ports';
import { assertNever, chainAll, unchanged } from '@bronzeyoke/types';
import { Map } from 'immutable';
import { progressPageRows } from './budget';
import { PARTITION, TABLES } from './rows';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep, TableRead } from '../types';

/** Delay after which a new leader repeats a read that failed. */
const RELOAD_MS = 300;

/** Tables that a new leader reads. The job table has a feed, whose first update is a full read. */
const LOADED_TABLES = [TABLES.progress, TABLES.notes] as const;

function recordRead(state: SchedulerState, table: string, read: TableRead): SchedulerState {
  const reads = (state.loading.reads ?? Map<string, TableRead>()).set(table, read);
  return { ...state, loading: { ...state.loading, reads } };
}

/** Reads one page. The id of each call is new, so that late results of an earlier load are ignored. */
function readPage(state: SchedulerState, table: string, fromKey: string): SchedulerStep {
  const callId = `load-${state.callCount}`;
  const next = recordRead(state, table, { kind: 'running', callId, fromKey });
  const range = {
    table,
    partition: PARTITION,
    maxRows: progressPageRows(state.settings.capacity),
    ...(fromKey === '' ? {} : { fromKey }),
  };
  return withEffects({ ...next, callCount: state.callCount + 1 }, [
    { kind: 'range', callId, range },
  ]);
}

/** Starts the reads of a new leader. */
export function startReads(state: SchedulerState): SchedulerStep {
  return chainAll(
    state,
    LOADED_TABLES.map((table) => (current: SchedulerState) => readPage(current, table, '')),
  );
}

/** Repeats the pages whose read failed. */
export function retryReads(state: SchedulerState, nowMs: number): SchedulerStep {
  if (state.phase !== 'loading') return unchanged(state);
  const due = [...(state.loading.reads ?? [])].flatMap(([table, read]) =>
    read.kind === 'failed' && nowMs >= read.retryAtMs ? [[table, read.fromKey] as const] : [],
  );
  return chainAll(
    state,
    due.map(
      ([table, fromKey]) =>
        (current: SchedulerState) =>
          readPage(current, table, fromKey),
    ),
  );
}

/** Returns the table that a running call reads; undefined for calls of an earlier load. */
export function readTable(state: SchedulerState, callId: string): string | undefined {
  return state.loading.reads?.findKey((read) => read.kind === 'running' && read.callId === callId);
}

/** Returns whether the last page of every table was read. */
export function areReadsDone(state: SchedulerState): boolean {
  const { reads } = state.loading;
  return reads !== undefined && reads.every(({ kind }) => kind === 'done');
}

/**
 * Records the result of a running read, and reads the next page. Pages read at different times make one
 * consistent state, because after a claim no other entry can write the tables, and the new leader
 * writes no progress before it has loaded.
 */
export function advanceRead(
  state: SchedulerState,
  table: string,
  result: RowRangeResult,
  nowMs: number,
): SchedulerStep {
  const read = state.loading.reads?.get(table);
  if (read?.kind !== 'running') return unchanged(state);
  switch (result.kind) {
    case 'unavailable': {
      const { fromKey } = read;
      const retryAtMs = nowMs + RELOAD_MS;
      return unchanged(recordRead(state, table, { kind: 'failed', fromKey, retryAtMs }));
    }
    case 'rows':
      return result.nextKey === undefined
        ? unchanged(recordRead(state, table, { kind: 'done' }))
        : readPage(state, table, result.nextKey);
    default:
      return assertNever(result);
  }
}
