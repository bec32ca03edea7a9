import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { claimLoopbackRange } from '../loopback';
import type { Proxy } from '../proxy';
import { startProxy } from '../proxy';
import type { LinkMode } from '../types';

const WAIT_MS = 60;

interface EchoSite {
  readonly proxy: Proxy;
  /** Requests that arrived behind the proxy. */
  readonly arrived: string[];
  readonly close: () => void;
}

/** Starts a proxy in front of a server that repeats what it gets. */
async function startEcho(): Promise<EchoSite> {
  const arrived: string[] = [];
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      arrived.push(chunk.toString());
      socket.write(chunk);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const range = await claimLoopbackRange();
  const proxy = await startProxy(`127.0.0.1:${port}`, range.nextAddress());
  const close = (): void => {
    proxy.close();
    range.release();
    server.close();
  };
  return { proxy, arrived, close };
}

/** Connects to an address; fails with the code of the error. */
async function open(address: string): Promise<Socket> {
  const [host = '', port = ''] = address.split(':');
  const socket = connect(Number(port), host).setNoDelay(true);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

/** Ends a mode and waits for what it held back. */
async function release(proxy: Proxy): Promise<void> {
  proxy.setMode({ kind: 'pass' });
  await sleep(WAIT_MS);
}

/** Sends a text and returns the answer; `silent` when none arrives in time. */
async function ask(socket: Socket, text: string): Promise<string> {
  const answer = once(socket, 'data').then(([chunk]) => String(chunk));
  socket.write(text);
  return Promise.race([answer, sleep(WAIT_MS).then(() => 'silent')]);
}

// Guards against a refusal that only resets connections, which callers take for a lost call.
it('soak proxy: nothing listens while connections are refused', async () => {
  const { proxy, close } = await startEcho();
  const socket = await open(proxy.address);
  expect(await ask(socket, 'a')).to.equal('a');
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  proxy.setMode({ kind: 'refuse' });
  await closed;
  const refused: unknown = await open(proxy.address).catch((error: unknown) => error);
  expect(refused).to.include({ code: 'ECONNREFUSED' });
  close();
});

// Guards against a proxy that does not listen at its port again, or that stays closed for a second refusal.
it('soak proxy: the same address accepts connections after a refusal', async () => {
  const { proxy, close } = await startEcho();
  const answers = await [1, 2, 3].reduce<Promise<readonly string[]>>(async (previous, round) => {
    const earlier = await previous;
    proxy.setMode({ kind: 'refuse' });
    proxy.setMode({ kind: 'refuse' });
    await sleep(WAIT_MS / round);
    proxy.setMode({ kind: 'pass' });
    const socket = await open(proxy.address);
    const answer = await ask(socket, `round ${round}`);
    socket.destroy();
    return [...earlier, answer];
  }, Promise.resolve([]));
  expect(answers).to.deep.equal(['round 1', 'round 2', 'round 3']);
  close();
});

// Guards against a proxy that drops what it holds back, or holds back the wrong direction.
it('soak proxy: each mode holds back its direction until it ends', async () => {
  const { proxy, arrived, close } = await startEcho();
  const socket = await open(proxy.address);
  expect(await ask(socket, 'a')).to.equal('a');
  proxy.setMode({ kind: 'oneWay', lost: 'answers' });
  expect(await ask(socket, 'b')).to.equal('silent');
  expect(arrived).to.deep.equal(['a', 'b']);
  await release(proxy);
  proxy.setMode({ kind: 'oneWay', lost: 'requests' });
  expect(await ask(socket, 'c')).to.equal('silent');
  expect(arrived).to.deep.equal(['a', 'b']);
  await release(proxy);
  proxy.setMode({ kind: 'silent' });
  expect(await ask(socket, 'd')).to.equal('silent');
  await release(proxy);
  expect(arrived).to.deep.equal(['a', 'b', 'c', 'd']);
  socket.destroy();
  close();
});

// Guards against a proxy that swaps the bytes of a connection, so that a message overtakes the one before.
it('soak proxy: bytes keep their order when the mode changes', async () => {
  const { proxy, arrived, close } = await startEcho();
  const socket = await open(proxy.address);
  const sendIn = async (mode: LinkMode, text: string): Promise<void> => {
    proxy.setMode(mode);
    socket.write(text);
    await sleep(WAIT_MS / 4);
  };
  await sendIn({ kind: 'delay', byMs: WAIT_MS }, 'a');
  await sendIn({ kind: 'pass' }, 'b');
  await sendIn({ kind: 'silent' }, 'c');
  await sendIn({ kind: 'delay', byMs: 0 }, 'd');
  proxy.setMode({ kind: 'pass' });
  await sleep(2 * WAIT_MS);
  expect(arrived.join('')).to.equal('abcd');
  socket.destroy();
  close();
});
