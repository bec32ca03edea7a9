// Clients that send chunked bodies in very small chunks and stop just short of the end.
import { connect } from 'node:net';

const CHUNK = Buffer.from('1\r\nx\r\n');
const CHUNKS_AT_ONCE = 1_000;
const BLOCK = Buffer.concat(Array.from({ length: CHUNKS_AT_ONCE }, () => CHUNK));

/**
 * Opens connections to an address. Each sends the head of a submission and a body of `bytes` in chunks of one
 * byte, and stays open without the end of the body. `sent` resolves when all has been handed to the kernel.
 */
export function openCrowd(address, count, bytes, pathOf) {
  const [host, port] = address.split(':');
  const state = { answers: new Map(), closed: 0 };
  const openClient = () => {
    const socket = connect({ host, port: Number(port) });
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      const status = chunk.toString('latin1').slice(9, 12);
      state.answers.set(status, (state.answers.get(status) ?? 0) + 1);
    });
    const sent = new Promise((resolve) => {
      socket.once('close', () => {
        state.closed += 1;
        resolve();
      });
      const push = (left) => {
        if (left <= 0) {
          socket.write('', resolve);
          return;
        }
        socket.write(BLOCK, (error) => {
          if (error === undefined || error === null) push(left - CHUNKS_AT_ONCE);
        });
      };
      socket.once('connect', () => {
        const head = [
          `POST ${pathOf()} HTTP/1.1`,
          'Host: front.example',
          'Content-Type: application/json',
          'Transfer-Encoding: chunked',
        ];
        socket.write(`${head.join('\r\n')}\r\n\r\n`);
        push(bytes);
      });
    });
    return { socket, sent };
  };
  const clients = Array.from({ length: count }, openClient);
  return {
    state,
    sent: Promise.all(clients.map(({ sent }) => sent)),
    close: () => clients.forEach(({ socket }) => socket.destroy()),
  };
}
