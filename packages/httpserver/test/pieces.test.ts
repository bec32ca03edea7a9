import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { feedInPieces } from '../src/pieces';

const SENT = Buffer.from(Array.from({ length: 20_000 }, (_, index) => index % 251));

/** Sends bytes to a socket whose `onData` is fed in pieces, and waits for the end. */
async function receive(
  onData: (socket: Socket, piece: Buffer, mute: () => void) => void,
): Promise<void> {
  const server = createServer((socket) => {
    const late = { mute: () => undefined as void };
    socket.on('data', (piece: Buffer) => onData(socket, piece, () => late.mute()));
    late.mute = feedInPieces(socket).mute;
    socket.on('end', () => socket.end());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const client = connect(typeof address === 'object' ? (address?.port ?? 0) : 0, '127.0.0.1');
  client.resume();
  client.end(SENT);
  await once(client, 'close');
  server.close();
}

// Guards against many requests of one read that are parsed before a handler can close the connection.
it('pieces: no piece is long, and the bytes arrive in order', async () => {
  const pieces: Buffer[] = [];
  await receive((_, piece) => pieces.push(piece));
  expect(Math.max(...pieces.map(({ length }) => length))).to.be.at.most(2_048);
  expect(Buffer.concat(pieces).equals(SENT)).to.equal(true);
});

// Guards against bytes that are handed on, or lost, while the parser has paused the socket.
it('pieces: a paused socket hands on nothing and loses nothing', async () => {
  const pieces: Buffer[] = [];
  const paused: boolean[] = [];
  await receive((socket, piece) => {
    paused.push(socket.isPaused());
    pieces.push(piece);
    socket.pause();
    setImmediate(() => socket.resume());
  });
  expect(paused).to.not.include(true);
  expect(Buffer.concat(pieces).equals(SENT)).to.equal(true);
});

// Guards against a refused client whose bytes are still parsed, or whose connection stays open.
it('pieces: what follows a refusal is read and discarded', async () => {
  const pieces: Buffer[] = [];
  await receive((_, piece, mute) => {
    pieces.push(piece);
    mute();
  });
  expect(pieces.length).to.equal(1);
});
