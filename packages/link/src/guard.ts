import { performance } from 'node:perf_hooks';
import type { LinkLimits, QuotaEvent } from './quota';
import { NO_LINKS, stepQuota } from './quota';

const TICK_MS = 500;

/** Memory of a chunk that is kept, beside its bytes. */
const CHUNK_OVERHEAD_BYTES = 256;

/** What a link tells about its first message. */
export interface LinkGuard {
  readonly opened: (linkId: string, close: () => void) => void;
  readonly buffered: (linkId: string, lengthBytes: number, chunks: number) => void;
  readonly proven: (linkId: string) => void;
  readonly closed: (linkId: string) => void;
}

/** Creates the keeper of the quota of a process's accepted connections. `onRefused` counts each close. */
export function createLinkGuard(limits: LinkLimits, onRefused: () => void): LinkGuard {
  const current = { quota: NO_LINKS };
  const closers = new Map<string, () => void>();
  const send = (event: QuotaEvent): void => {
    const { quota, closed } = stepQuota(current.quota, event, { limits, nowMs: performance.now() });
    current.quota = quota;
    closed.forEach((linkId) => {
      onRefused();
      closers.get(linkId)?.();
    });
  };
  setInterval(() => send({ kind: 'tick' }), TICK_MS).unref();
  return {
    opened: (linkId, close) => {
      closers.set(linkId, close);
      send({ kind: 'opened', linkId });
    },
    buffered: (linkId, lengthBytes, chunks) => {
      const bytes = lengthBytes + chunks * CHUNK_OVERHEAD_BYTES;
      send({ kind: 'buffered', linkId, bytes });
    },
    proven: (linkId) => send({ kind: 'proven', linkId }),
    closed: (linkId) => {
      closers.delete(linkId);
      send({ kind: 'closed', linkId });
    },
  };
}
