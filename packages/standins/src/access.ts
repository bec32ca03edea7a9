import type { StoreEffect, StoreEvent } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';
import type { TableState } from './rows';
import { commitRows, readRows, scanRows } from './rows';

/** Fault of one access. A lost transaction takes effect, but its result is unknown. */
export type AccessFault = 'none' | 'down' | 'lost';

/** Executes an access on the rows, for tests in virtual time. */
export function accessRows(
  state: TableState,
  access: StoreEffect,
  fault: AccessFault,
): { readonly state: TableState; readonly event: StoreEvent } {
  const { origin, callId } = access;
  const unavailable = { kind: 'unavailable' } as const;
  switch (access.kind) {
    case 'commit': {
      if (fault === 'down') {
        return { state, event: { kind: 'commitDone', origin, callId, result: unavailable } };
      }
      const step = commitRows(state, access.transaction);
      const result = fault === 'lost' ? ({ kind: 'unknown' } as const) : step.result;
      return { state: step.state, event: { kind: 'commitDone', origin, callId, result } };
    }
    case 'read':
    case 'scan': {
      if (fault !== 'none') {
        return { state, event: { kind: 'readDone', origin, callId, result: unavailable } };
      }
      const rows =
        access.kind === 'read'
          ? readRows(state, access.keys)
          : scanRows(state, access.prefix, access.afterKey, access.limit);
      return { state, event: { kind: 'readDone', origin, callId, result: { kind: 'rows', rows } } };
    }
    default:
      return assertNever(access);
  }
}
