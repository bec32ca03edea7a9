import type { Transaction } from '@bronzeyoke/ports';
import type { BatchState, BatchStep, BatchPurpose } from './types';

/** An access to the table without its origin and call id. */
export type BatchAccess =
  | { readonly kind: 'read'; readonly keys: readonly string[] }
  | {
      readonly kind: 'scan';
      readonly prefix: string;
      readonly afterKey: string;
      readonly limit: number;
    }
  | { readonly kind: 'commit'; readonly transaction: Transaction; readonly isRenewal: true };

/** Starts a table access and records its purpose. */
export function sendAccess(
  state: BatchState,
  purpose: BatchPurpose,
  access: BatchAccess,
): BatchStep {
  const callId = `batch-${state.idCount}`;
  return {
    state: {
      ...state,
      idCount: state.idCount + 1,
      calls: state.calls.set(callId, purpose),
    },
    effects: [{ ...access, origin: 'batch', callId }],
  };
}
