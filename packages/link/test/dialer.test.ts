import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import * as nact from 'nact';
import { dispatch } from '@bronzeyoke/actors';
import { spawnDialer } from '@bronzeyoke/link';
import { AGENT_CODEC } from '@bronzeyoke/wire';

const WAIT_MS = 150;

// Guards against an actor that an address of another writer ends, or that keeps from its work.
it('dialer: an odd port leads to no connection, and to no error', async () => {
  const system = nact.start();
  const events: string[] = [];
  [99_999, -1, Number.NaN, 1.5].forEach((port) => {
    const dialer = spawnDialer(
      system,
      { host: '127.0.0.1', port },
      { linkId: `odd-${port}`, codec: AGENT_CODEC, report: ({ kind }) => events.push(kind) },
    );
    dispatch(dialer, { kind: 'send', message: { kind: 'workerGone' } });
    setTimeout(() => dispatch(dialer, { kind: 'close' }), WAIT_MS);
  });
  await sleep(WAIT_MS);
  expect(events).to.deep.equal([]);
});

// Guards against a dialer that stops after the first address that cannot be connected to.
it('dialer: connects to a peer that listens', async () => {
  const system = nact.start();
  const server = createServer((socket) => socket.on('error', () => socket.destroy()));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const opened = new Promise<void>((resolve) => {
    const dialer = spawnDialer(
      system,
      { host: '127.0.0.1', port },
      {
        linkId: 'good',
        codec: AGENT_CODEC,
        report: ({ kind }) => {
          if (kind !== 'opened') return;
          setImmediate(() => dispatch(dialer, { kind: 'close' }));
          resolve();
        },
      },
    );
  });
  await opened;
  server.close();
});
