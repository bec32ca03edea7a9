import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { DENSE_SHAPES } from '@bronzeyoke/harness';
import { createClient } from '../src/client';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 1_000;
const MB = 1_048_576;
const PIECES = 6;
const PIECE_INTERVAL_MS = 300;

/** Sends a list in pieces that take longer than the time limit together. */
async function sendSlowly(response: ServerResponse): Promise<void> {
  response.writeHead(200).write('[0');
  await Array.from({ length: PIECES }).reduce<Promise<void>>(async (before) => {
    await before;
    await sleep(PIECE_INTERVAL_MS);
    response.write(',0');
  }, Promise.resolve());
  response.end(']');
}

/** Reads from an entry that handles requests in some way. */
async function read(handle: (response: ServerResponse) => Promise<void>) {
  const server = createServer((_, response) => {
    handle(response).catch(() => response.destroy());
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = createClient(
    { entries: [{ host: HOST, port }], timeoutMs: TIMEOUT_MS },
    undefined,
  );
  const result = await client.call({ method: 'GET', path: '/' });
  server.closeAllConnections();
  server.close();
  return result;
}

// Guards against a command that can never show a long list over a narrow link.
it('client: a long answer that keeps arriving is read', async () => {
  const result = await read(sendSlowly);
  expect(result.ok && result.value).to.have.length(PIECES + 1);
});

// Guards against a command that waits for ever for an entry that does not answer.
it('client: a request without an answer is given up', async () => {
  const result = await read(() => Promise.resolve());
  expect(result.ok).to.equal(false);
});

/** Sends an answer of equal pieces as fast as they are read. */
async function sendAll(response: ServerResponse, piece: Buffer, pieces: number): Promise<void> {
  Readable.from(Array<Buffer>(pieces).fill(piece)).pipe(response);
}

// Guards against an answer that exhausts the memory of the command line.
it('client: an answer that is too long or too costly is reported', async () => {
  const long = await read((response) => sendAll(response, Buffer.alloc(MB, ' '), 80));
  expect(long.ok ? undefined : long.failure).to.deep.equal({
    kind: 'unknownOutcome',
    problem: 'the answer is longer than 67108864 bytes',
  });
  const dense = Buffer.from((DENSE_SHAPES['empty objects'] ?? String)(16 * MB));
  const costly = await read((response) => sendAll(response, dense, 1));
  expect(costly.ok ? undefined : costly.failure)
    .to.have.property('problem')
    .that.matches(/^the answer would take more than \d+ bytes of memory$/);
});
