import type {
  RowCommitResult,
  RowRange,
  RowRangeResult,
  RowStorePort,
  RowTransaction,
} from '@bronzeyoke/ports';

/** A store access that a core asks for. */
export type StoreCall =
  | { readonly kind: 'commit'; readonly callId: string; readonly transaction: RowTransaction }
  | { readonly kind: 'range'; readonly callId: string; readonly range: RowRange };

/** How a store access ended. */
export type StoreDone =
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

/** Carries out a store access and reports how it ended. */
export async function performStoreCall(
  store: RowStorePort,
  call: StoreCall,
  report: (done: StoreDone) => void,
): Promise<void> {
  const { callId } = call;
  if (call.kind === 'commit') {
    const result = await store.commit(call.transaction);
    report({ kind: 'commitDone', callId, result, wallMs: Date.now() });
    return;
  }
  const result = await store.range(call.range);
  report({ kind: 'rangeDone', callId, result, wallMs: Date.now() });
}
