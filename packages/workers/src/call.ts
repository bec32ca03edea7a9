import { Map } from 'immutable';
import type { Row, Transaction } from '@bronzeyoke/ports';
import type { Step } from '@bronzeyoke/types';
import { WORKER_PREFIX, workerRowOf } from './rows';
import type { WorkersEffect, WorkersPurpose, WorkersState } from './types';

/** A table access without its origin and call id. */
export type WorkersAccess =
  | { readonly kind: 'read'; readonly keys: readonly string[] }
  | { readonly kind: 'commit'; readonly transaction: Transaction };

/** Sends a table access and stores its purpose under the call id. */
export function sendAccess(
  state: WorkersState,
  purpose: WorkersPurpose,
  access: WorkersAccess,
): Step<WorkersState, WorkersEffect> {
  const callId = `workers-${state.callCount}`;
  const isRenewal = access.kind === 'commit' ? ({ isRenewal: true } as const) : {};
  return {
    state: {
      ...state,
      callCount: state.callCount + 1,
      calls: state.calls.set(callId, purpose),
    },
    effects: [{ ...access, ...isRenewal, origin: 'workers', callId }],
  };
}

/** Caches the rows of workers, except where a later version is cached. */
export function cacheRows(state: WorkersState, rows: readonly Row[], nowMs: number): WorkersState {
  const newer = rows.filter(
    (row) =>
      row.key.startsWith(WORKER_PREFIX) &&
      row.version >= (state.rows.get(row.key.slice(WORKER_PREFIX.length))?.version ?? 0),
  );
  const entries = Map(
    newer.map((row) => [row.key.slice(WORKER_PREFIX.length), workerRowOf(row, nowMs)]),
  );
  return { ...state, rows: state.rows.merge(entries) };
}
