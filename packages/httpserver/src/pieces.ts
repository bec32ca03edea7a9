import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';

/**
 * Longest piece that the parser gets at once. Node.js parses all requests of a piece before a handler can
 * close their connection, and each takes 3 to 4 KB.
 */
const PIECE_BYTES = 2_048;

function piecesOf(chunk: Buffer): readonly Buffer[] {
  return Array.from({ length: Math.ceil(chunk.length / PIECE_BYTES) }, (_, index) =>
    chunk.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES),
  );
}

/** A stream of a socket's bytes in pieces. Once it is muted, what arrives is discarded. */
export interface PieceStream {
  readonly stream: Duplex;
  readonly mute: () => void;
}

/** Returns a stream that hands on a socket's bytes in pieces, and none once it is destroyed. */
export function inPieces(socket: Socket): PieceStream {
  const state = { isMuted: false };
  const stream = new Duplex({
    allowHalfOpen: true,
    read: () => {
      socket.resume();
    },
    write: (chunk: Buffer, _encoding, done) => {
      socket.write(chunk, done);
    },
    final: (done) => {
      socket.end(done);
    },
    destroy: (error, done) => {
      socket.destroy();
      done(error);
    },
  });
  socket.on('data', (chunk: Buffer) => {
    const canTakeMore = piecesOf(chunk).reduce(
      (_, piece) => state.isMuted || (!stream.destroyed && stream.push(piece)),
      true,
    );
    if (!canTakeMore) socket.pause();
  });
  socket.on('end', () => {
    if (!stream.destroyed) stream.push(null);
  });
  socket.on('error', () => stream.destroy());
  socket.on('close', () => stream.destroy());
  return {
    stream,
    mute: () => {
      state.isMuted = true;
      socket.resume();
    },
  };
}
