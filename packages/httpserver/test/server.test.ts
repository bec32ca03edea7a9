import { once } from 'node:events';
import { connect } from 'node:net';
import { expect } from 'chai';
import { createHttpServers, defaultLimits, listen } from '../src';

async function exchange(text: string): Promise<string> {
  const servers = createHttpServers(defaultLimits(), () => undefined);
  const server = servers.create({
    maxBodyBytes: () => 10,
    onRequest: ({ url, body }, reply) =>
      reply({ kind: 'answer', status: 200, headers: {}, body: `<${url} ${body.toString()}>` }),
  });
  const socket = connect(await listen(server, '127.0.0.1', 0), '127.0.0.1');
  const chunks: string[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk.toString()));
  socket.write(text);
  await once(socket, 'close');
  server.close();
  return chunks.join('');
}

const post = (path: string, lengthBytes: number, body: string, ...fields: readonly string[]) =>
  [`POST ${path} HTTP/1.1`, 'host: a', `content-length: ${lengthBytes}`, ...fields, '', body].join(
    '\r\n',
  );

// Guards against requests that are lost because the parser hands on several at once.
it('httpserver: pipelined requests are answered in order', async () => {
  const received = await exchange(
    post('/a', 1, '1') + post('/b', 1, '2') + post('/c', 1, '3', 'connection: close'),
  );
  expect(received.match(/<[^>]*>/g)).to.deep.equal(['</a 1>', '</b 2>', '</c 3>']);
});

// Guards against a refusal that the client cannot read.
it('httpserver: a refused request is told so, and its connection closes', async () => {
  const received = await exchange(post('/a', 11, '12345678901'));
  expect(received).to.match(/^HTTP\/1\.1 413 /);
  expect(received).to.match(/"accepted":false/);
});
