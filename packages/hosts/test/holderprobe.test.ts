import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import * as nact from 'nact';
import { dispatch } from '@bronzeyoke/actors';
import { spawnHolderProbe } from '@bronzeyoke/hosts';
import { spawnLink } from '@bronzeyoke/link';
import type { HolderAnswer } from '@bronzeyoke/scheduler';
import { ENTRY_CODEC } from '@bronzeyoke/wire';

const NAMED = { kind: 'leader', term: 7, host: 'h7', port: 7 } as const;

async function listen(onSocket: (socket: Socket) => void): Promise<Server> {
  const server = createServer(onSocket);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

/** Asks the address of a server, which may be closed, and returns the answer. */
async function ask(server: Server, isClosed = false): Promise<HolderAnswer> {
  const { port } = server.address() as AddressInfo;
  if (isClosed) {
    server.close();
    await once(server, 'close');
  }
  const system = nact.start();
  const answer = await new Promise<HolderAnswer>((resolve) => {
    spawnHolderProbe(system, { host: '127.0.0.1', port }, resolve);
  });
  server.close();
  nact.stop(system);
  return answer;
}

/** Starts a server that sends the message of an entry on each connection. */
function announcing(fields: { readonly entryId?: string }): Promise<Server> {
  return listen((socket) => {
    const options = {
      linkId: 'probe',
      socket,
      codec: ENTRY_CODEC,
      report: () => undefined,
    };
    const link = spawnLink(nact.start(), options);
    dispatch(link, { kind: 'send', message: { ...NAMED, ...fields } });
  });
}

// Guards against a closed port that counts as a silent one, or the other way round behind a cut.
it('holderprobe: only a closed port is a refusal', async () => {
  const closed = await listen(() => undefined);
  expect(await ask(closed, true)).to.deep.equal({ kind: 'refused' });
  const ending = await listen((socket) => socket.destroy());
  expect(await ask(ending)).to.deep.equal({ kind: 'silent' });
});

// Guards against an entry that is taken for another one.
it('holderprobe: an entry that answers tells its id', async () => {
  const answer = await ask(await announcing({ entryId: 'entry-9' }));
  expect(answer).to.deep.equal({ kind: 'named', entryId: 'entry-9' });
});

// Guards against an entry of an older build that counts as ended.
it('holderprobe: an entry that tells no id is silent', async () => {
  expect(await ask(await announcing({}))).to.deep.equal({ kind: 'silent' });
});
