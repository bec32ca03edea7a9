import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';

/**
 * Longest piece that the parser gets at once. Node.js parses all requests of a piece before a handler can
 * close their connection, and each takes 3 to 4 KB.
 */
const PIECE_BYTES = 2_048;

type OnData = (chunk: Buffer) => void;

function piecesOf(chunk: Buffer): readonly Buffer[] {
  if (chunk.length <= PIECE_BYTES) return [chunk];
  return Array.from({ length: Math.ceil(chunk.length / PIECE_BYTES) }, (_, index) =>
    chunk.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES),
  );
}

/** The bytes of a socket on their way to the parser. Once it is muted, what arrives is discarded. */
export interface PieceFeed {
  readonly mute: () => void;
}

/**
 * Hands the bytes of a socket to its listeners in pieces. What is left when a listener pauses the socket
 * waits in the socket. Writes, times and closes stay with Node.js.
 */
export function feedInPieces(socket: Socket): PieceFeed {
  const state = { isMuted: false };
  const feed = new EventEmitter();
  socket.listeners('data').forEach((listener) => {
    socket.removeListener('data', listener as OnData);
    feed.on('data', listener as OnData);
  });
  socket.on('data', (chunk: Buffer) => {
    const takenBytes = piecesOf(chunk).reduce((sum, piece) => {
      if (!state.isMuted && (socket.isPaused() || socket.destroyed)) return sum;
      if (!state.isMuted) feed.emit('data', piece);
      return sum + piece.length;
    }, 0);
    if (takenBytes < chunk.length && !socket.destroyed) socket.unshift(chunk.subarray(takenBytes));
  });
  return {
    mute: () => {
      state.isMuted = true;
      socket.resume();
    },
  };
}
