import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import * as nact from 'nact';
import { dispatch, spawn } from '@bronzeyoke/actors';
import { createLeaderLink } from '@bronzeyoke/hosts';
import { spawnLink } from '@bronzeyoke/link';
import type { RunnerEvent } from '@bronzeyoke/runner';
import type { Address } from '@bronzeyoke/types';
import { ENTRY_CODEC } from '@bronzeyoke/wire';

const NAMED = { kind: 'leader', term: 7, host: 'h7', port: 7 } as const;

interface Peer {
  readonly address: Address;
  readonly server: Server;
  readonly sockets: readonly Socket[];
}

async function listen(onSocket: (socket: Socket) => void): Promise<Peer> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    onSocket(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { address: { host: '127.0.0.1', port }, server, sockets };
}

// Guards against an agent that drops its connection to a silent leader when it asks a seed.
it('leaderlink: a lookup at a seed leaves the connection to the leader open', async () => {
  const system = nact.start();
  const leader = await listen((socket) => socket.resume());
  const seed = await listen((socket) => {
    const options = { linkId: 'agent', socket, codec: ENTRY_CODEC, report: () => undefined };
    dispatch(spawnLink(system, options), { kind: 'send', message: NAMED });
  });
  const events: RunnerEvent[] = [];
  const waiting: { onEvent: () => void } = { onEvent: () => undefined };
  const heard = (): Promise<void> =>
    new Promise((resolve) => {
      waiting.onEvent = resolve;
    });
  const runner = spawn<null, RunnerEvent>(
    system,
    (state, event) => {
      events.push(event);
      waiting.onEvent();
      return state;
    },
    undefined,
    { initialState: null },
  );
  const links = createLeaderLink(system, () => undefined);
  const linked = heard();
  links.connect(leader.address, runner);
  await linked;
  const named = heard();
  links.askSeed(seed.address, runner);
  await named;
  const ended = once(seed.sockets[0] as Socket, 'close');
  links.endLookup();
  await ended;
  const { term, host, port } = NAMED;
  expect(events).to.deep.equal([
    { kind: 'linkOpened' },
    { kind: 'leaderNamed', term, address: { host, port } },
  ]);
  expect(leader.sockets.map(({ closed }) => closed)).to.deep.equal([false]);
  [leader, seed].forEach(({ server, sockets }) => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
});
