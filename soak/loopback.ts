import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Server } from 'node:net';

/** Second byte of the first and after the last range of addresses. Low ones are used by other tests. */
const FIRST_RANGE = 16;
const END_RANGE = 240;

const HOSTS_PER_BYTE = 256;
const FIRST_HOST = 2;

/** Port whose listener marks a range as claimed. */
const CLAIM_PORT = 7_001;
const PORT = 7_000;

/** A range of loopback addresses that no other soak on this machine uses. */
export interface LoopbackRange {
  /** Returns an address that was not returned before. All have the same port. */
  readonly nextAddress: () => string;
  readonly release: () => void;
}

async function claimHost(host: string): Promise<Server | undefined> {
  const server = createServer((socket) => socket.destroy());
  server.listen(CLAIM_PORT, host);
  const isClaimed = await once(server, 'listening').then(
    () => true,
    () => false,
  );
  return isClaimed ? server : undefined;
}

/**
 * Claims a range. A free port that is chosen before its program listens may go to another process;
 * an address of a claimed range may not, also while its program is down.
 */
export async function claimLoopbackRange(range = FIRST_RANGE): Promise<LoopbackRange> {
  if (range >= END_RANGE) throw new RangeError('all ranges of loopback addresses are claimed');
  const claim = await claimHost(`127.${range}.0.1`);
  if (claim === undefined) return claimLoopbackRange(range + 1);
  const state = { nextHost: FIRST_HOST };
  return {
    nextAddress: () => {
      const host = state.nextHost;
      state.nextHost += 1;
      return `127.${range}.${Math.floor(host / HOSTS_PER_BYTE)}.${host % HOSTS_PER_BYTE}:${PORT}`;
    },
    release: () => {
      claim.close();
    },
  };
}
