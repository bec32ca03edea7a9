import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { start, stop } from 'nact';
import { request } from 'undici';
import { dispatch } from '@bronzeyoke/actors';
import type { AdminCommand, AdminReply, Result } from '@bronzeyoke/types';
import { fail, succeed, takeToken } from '@bronzeyoke/types';
import { spawnAdminApi, spawnFrontEnd } from '../src';

const HOST = '127.0.0.1';

function token(name: string, role: 'caller' | 'team' | 'operator', burst = 1_000) {
  const sha256 = createHash('sha256').update(`secret-${name}`).digest('hex');
  const team = role === 'team' ? { team: name } : {};
  return { name, sha256, role, ...team, ratePerSecond: 0.001, burst };
}

interface TestServer {
  readonly port: number;
  readonly commands: AdminCommand[];
  readonly counted: string[];
  readonly close: () => Promise<void>;
}

async function serve(
  administer: (command: AdminCommand) => Result<AdminReply>,
  needsCallerToken = false,
): Promise<TestServer> {
  const system = start();
  const commands: AdminCommand[] = [];
  const counted: string[] = [];
  const frontEnd = spawnFrontEnd(system, (failure) => counted.push(`front ${failure.kind}`));
  const admin = spawnAdminApi(system, {
    tokens: [token('ops', 'operator'), token('renders', 'team'), token('slow', 'operator', 1)],
    needsCallerToken,
    entryId: 'e1',
    domain: 'hobart',
    administer: async (command) => {
      commands.push(command);
      return administer(command);
    },
    count: (kind, result) => counted.push(`${kind} ${result}`),
  });
  dispatch(frontEnd.actor, { kind: 'attach', onRequest: () => undefined, admin });
  frontEnd.server.listen(0, HOST);
  await once(frontEnd.server, 'listening');
  return {
    port: (frontEnd.server.address() as AddressInfo).port,
    commands,
    counted,
    close: async () => {
      frontEnd.server.close();
      frontEnd.server.closeAllConnections();
      await once(frontEnd.server, 'close');
      stop(system);
    },
  };
}

async function sendRequest(server: TestServer, path: string, name: string, body?: string) {
  const response = await request(`http://${HOST}:${server.port}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer secret-${name}` },
    ...(body === undefined ? {} : { body }),
  });
  const text = await response.body.text();
  return { status: response.statusCode, headers: response.headers, json: JSON.parse(text) };
}

const noJobs = () => succeed({ kind: 'jobs', jobs: [] } as const);
const ticketBody = '{"number": 1, "changes": [{"kind": "domain", "name": "yqr", "state": "out"}]}';

it('admin: a ticket is recorded with the name of the token as its author', async () => {
  const server = await serve((command) =>
    command.kind === 'applyTicket'
      ? succeed({ kind: 'ticket', ticket: { ...command } })
      : fail({ kind: 'storeUnavailable' }),
  );
  const answer = await sendRequest(server, '/v1/admin/tickets', 'ops', ticketBody);
  expect(answer.status).to.equal(201);
  expect(server.commands).to.have.nested.property('[0].author', 'ops');
  expect(server.counted).to.deep.equal(['applyTicket accepted']);
  await server.close();
});

it('admin: a conflict reports the number in force', async () => {
  const server = await serve(() => fail({ kind: 'conflict', what: 'ticket', currentNumber: 7 }));
  const answer = await sendRequest(server, '/v1/admin/tickets', 'ops', ticketBody);
  expect(answer.status).to.equal(409);
  expect(answer.json).to.include({ currentNumber: 7, type: 'urn:bronzeyoke:problem:conflict' });
  await server.close();
});

it('admin: a team reaches neither tickets nor jobs of another team', async () => {
  const server = await serve(noJobs);
  const statuses = await Promise.all(
    [
      ['/v1/admin/configuration', 'renders'],
      ['/v1/admin/status', 'renders'],
      ['/v1/jobs?team=quotes', 'renders'],
      ['/v1/jobs/j1?team=quotes', 'renders'],
      ['/v1/jobs', 'renders'],
      ['/v1/jobs', 'nobody'],
    ].map(async ([path = '', name = '']) => (await sendRequest(server, path, name)).status),
  );
  expect(statuses).to.deep.equal([403, 403, 403, 403, 200, 401]);
  expect(server.commands).to.deep.equal([
    { kind: 'listJobs', team: 'renders', afterJobId: '', limit: 50 },
  ]);
  await server.close();
});

it('admin: a token beyond its rate is refused without reaching the core', async () => {
  const server = await serve(noJobs);
  await sendRequest(server, '/v1/jobs?team=a', 'slow');
  const answer = await sendRequest(server, '/v1/jobs?team=a', 'slow');
  expect(answer.status).to.equal(429);
  expect(answer.headers).to.have.property('retry-after');
  expect(server.commands).to.have.length(1);
  await server.close();
});

it('admin: hostile bodies and numbers are refused with a typed failure', async () => {
  const server = await serve(noJobs);
  const bodies = [
    '[['.repeat(400_000),
    '{"__proto__": {"number": 1}, "number": 1, "changes": []}',
    ticketBody.replace('1', '-1'),
    ticketBody.replace('1', '1e999'),
    ticketBody.replace('1', '9007199254740993'),
    ticketBody.replace('"yqr"', '"../head"'),
    'null',
    '',
  ];
  const answers = await Promise.all(
    bodies.map((body) => sendRequest(server, '/v1/admin/tickets', 'ops', body)),
  );
  expect(answers.map((answer) => answer.status)).to.deep.equal(bodies.map(() => 400));
  const paths = ['?limit=-1', '?limit=1e9', '?after=..%2f', '?team=%00'];
  const pages = await Promise.all(
    paths.map((path) => sendRequest(server, `/v1/jobs${path}`, 'renders')),
  );
  expect(pages.map((answer) => answer.status)).to.deep.equal(paths.map(() => 400));
  const large = await sendRequest(server, '/v1/admin/tickets', 'ops', ' '.repeat(1_048_577));
  expect(large.status).to.equal(413);
  expect(server.commands).to.deep.equal([]);
  expect(server.counted.filter((line) => line === 'none invalid')).to.have.length(12);
  await server.close();
});

it('admin: headers over 16 KiB are refused and counted, and other connections are served', async () => {
  const server = await serve(noJobs);
  const socket = connect(server.port, HOST);
  socket.write(`GET /v1/jobs HTTP/1.1\r\nx: ${'a'.repeat(20_000)}\r\n\r\n`);
  const chunks = await socket.toArray();
  expect(Buffer.concat(chunks as Buffer[]).toString()).to.match(/^HTTP\/1\.1 431 /);
  expect(server.counted).to.deep.equal(['front tooLarge']);
  expect((await sendRequest(server, '/v1/jobs', 'renders')).status).to.equal(200);
  await server.close();
});

it('admin: a service call without a token is refused when the settings require one', async () => {
  const server = await serve(noJobs, true);
  const answer = await sendRequest(server, '/v1/services/quoter/check', 'nobody', '{}');
  expect(answer.status).to.equal(401);
  await server.close();
});

it('limits: a bucket refills at its rate up to its burst', () => {
  const limit = { ratePerSecond: 2, burst: 3 };
  const full = takeToken(undefined, limit, 0);
  expect(full.bucket.tokens).to.equal(2);
  const empty = { tokens: 0, refilledAtMs: 0 };
  expect(takeToken(empty, limit, 100).retryAfterMs).to.equal(400);
  expect(takeToken(empty, limit, 60_000).bucket.tokens).to.equal(2);
  // A clock that goes backwards must not remove tokens.
  expect(takeToken({ tokens: 1, refilledAtMs: 500 }, limit, 0).retryAfterMs).to.equal(undefined);
});
