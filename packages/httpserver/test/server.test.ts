import { once } from 'node:events';
import { connect } from 'node:net';
import { expect } from 'chai';
import { createHttpServers, defaultLimits, listen } from '../src';

async function exchange(sent: string, answerAfterMs = 0): Promise<string> {
  const servers = createHttpServers(defaultLimits(), () => undefined);
  const server = servers.create({
    maxBodyBytes: () => 10,
    onRequest: ({ url, body }, reply) =>
      setTimeout(() => {
        const text = `<${url} ${body.toString()}>`;
        reply({ kind: 'answer', status: 200, headers: {}, body: text });
      }, answerAfterMs),
  });
  const socket = connect(await listen(server, '127.0.0.1', 0), '127.0.0.1');
  const chunks: string[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk.toString()));
  socket.write(sent);
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

// Guards against a request that may have run and is cut because a later one is refused.
it('httpserver: earlier requests are answered before a refusal', async () => {
  const received = await exchange(post('/a', 1, '1') + post('/b', 11, '12345678901'), 30);
  expect(received).to.match(/<\/a 1>HTTP\/1\.1 413 /);
});

// Guards against many requests of one piece that are all run before the first is answered.
it('httpserver: too many pipelined requests are refused and not run', async () => {
  const received = await exchange(post('/a', 1, '1').repeat(60), 30);
  expect(received).to.match(/^HTTP\/1\.1 503 .*\r\nconnection: close\r\nretry-after: 1\r\n/);
  expect(received).to.not.include('<');
});

// Guards against a stop that leaves the connections of callers open until they are idle for long.
it('httpserver: a server that closes ends idle connections', async () => {
  const server = createHttpServers(defaultLimits(), () => undefined).create({
    maxBodyBytes: () => 10,
    onRequest: (_, reply) => reply({ kind: 'answer', status: 200, headers: {}, body: '' }),
  });
  const socket = connect(await listen(server, '127.0.0.1', 0), '127.0.0.1');
  socket.write(post('/a', 1, '1'));
  await once(socket, 'data');
  socket.resume();
  server.close();
  await once(socket, 'close');
});
