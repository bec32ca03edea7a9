import type { RowStorePort, RowStoreCall, RowStoreEvent } from '@bronzeyoke/ports';

/** Carries out a store access and reports how it ended. */
export async function performStoreCall(
  store: RowStorePort,
  call: RowStoreCall,
  report: (done: RowStoreEvent) => void,
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
