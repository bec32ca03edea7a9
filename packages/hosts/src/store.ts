import type { RowStorePort, RowStoreCall, RowStoreEvent } from '@bronzeyoke/ports';

/** Performs a store access and reports its result. */
export async function performStoreCall(
  store: RowStorePort,
  call: RowStoreCall,
  report: (event: RowStoreEvent) => void,
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
