import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { expect } from 'chai';
import { createHttpTable } from '@bronzeyoke/adapters';
import { startEntry } from '@bronzeyoke/entry';
import { startTable } from '@bronzeyoke/standins';
import { formatTable, runCli } from '../src';

const HOST = '127.0.0.1';

interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a command with a settings file that lists the entries. */
async function run(
  ports: readonly number[],
  argv: readonly string[],
  files: Readonly<Record<string, string>> = {},
): Promise<CommandResult> {
  const folder = await mkdtemp(join(tmpdir(), 'bronzeyoke-cli-'));
  const entries = ports.map((port) => ({ host: HOST, port }));
  const allFiles = { 'settings.json': JSON.stringify({ entries, timeoutMs: 5_000 }), ...files };
  await Promise.all(
    Object.entries(allFiles).map(([name, text]) => writeFile(join(folder, name), text)),
  );
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const env = {
    BRONZEYOKE_SETTINGS: join(folder, 'settings.json'),
    BRONZEYOKE_TOKEN: 'secret',
  };
  const resolvedArgv = argv.map((word) => (word in files ? join(folder, word) : word));
  const exitCode = await runCli('1.2.3', resolvedArgv, { stdout, stderr, env });
  await rm(folder, { recursive: true });
  const text = (stream: PassThrough): string => String(stream.read() ?? '');
  return { exitCode, stdout: text(stdout), stderr: text(stderr) };
}

interface Deployment {
  readonly ports: readonly [number, number];
  readonly stop: () => Promise<void>;
}

async function startDeployment(): Promise<Deployment> {
  const standin = await startTable(HOST, 0);
  const table = createHttpTable({ host: HOST, port: standin.port, connections: 4 });
  const sha256 = createHash('sha256').update('secret').digest('hex');
  const start = () =>
    startEntry({
      domain: 'hobart',
      host: HOST,
      callerPort: 0,
      agentPort: 0,
      table,
      onError: (error) => {
        throw error;
      },
      onFailure: () => undefined,
      admin: {
        tokens: [{ name: 'ops', sha256, role: 'operator', ratePerSecond: 1_000, burst: 1_000 }],
        needsCallerToken: false,
        count: () => undefined,
      },
    });
  const first = await start();
  const second = await start();
  return {
    ports: [first.callerPort, second.callerPort],
    stop: async () => {
      [first, second].forEach((entry) => entry.stop());
      await Promise.all([first.stopped, second.stopped]);
      await table.close();
      await standin.close();
    },
  };
}

const TICKET = '{ "number": 1, "changes": [{ "kind": "domain", "name": "yqr", "state": "out" }] }';

it('cli: domain out ends when the ticket is in force at every entry', async () => {
  const { ports, stop } = await startDeployment();
  const out = await run(ports, ['domain', 'out', 'burnie']);
  expect(out.stdout).to.equal('ticket 1 is accepted\nticket 1 is in force everywhere\n');
  expect(out.stderr).to.contain('ticket 1: in force at 2 of 2 processes');
  const back = await run(ports, ['domain', 'in', 'burnie', '--json']);
  expect(JSON.parse(back.stdout).ticket).to.deep.include({ number: 2, author: 'ops' });
  const list = await run(ports, ['ticket', 'list']);
  expect(list.stdout.split('\n')[2]).to.match(/^2 +ops +domain\/burnie$/);
  const status = await run(ports, ['status']);
  expect(status.stdout)
    .to.match(/^ticket +2$/m)
    .and.match(/^domains out +none$/m);
  await stop();
});

it('cli: a conflict and a refusal have exit codes of their own', async () => {
  const { ports, stop } = await startDeployment();
  const apply = ['ticket', 'apply', 'ticket.jsonc', '--no-wait'];
  expect((await run(ports, apply, { 'ticket.jsonc': TICKET })).exitCode).to.equal(0);
  const conflict = await run(ports, apply, { 'ticket.jsonc': TICKET });
  expect(conflict.exitCode).to.equal(4);
  expect(conflict.stderr).to.contain('the number in force is 1');
  const refused = await run(ports, apply, { 'ticket.jsonc': TICKET.replace('"out"', '"off"') });
  expect(refused).to.include({ exitCode: 3 });
  expect((await run(ports, ['ticket', 'show', '9'])).exitCode).to.equal(3);
  await stop();
});

it('cli: an entry that is down is skipped, and unreachable means that all are down', async () => {
  const { ports, stop } = await startDeployment();
  expect((await run([1, ports[0]], ['upstream', 'list'])).exitCode).to.equal(0);
  await stop();
  const none = await run([1], ['worker', 'list', '--json']);
  expect(none.exitCode).to.equal(6);
  expect(JSON.parse(none.stdout).fault.kind).to.equal('unreachable');
});

it('cli: a change without an answer is unknown and goes to no other entry', async () => {
  let connectionCount = 0;
  const server = createServer((socket) => {
    connectionCount += 1;
    socket.on('error', () => undefined);
    socket.once('data', () => socket.destroy());
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const job = { 'job.jsonc': '{}' };
  const lost = await run([port, port], ['job', 'submit', 'job.jsonc'], job);
  server.close();
  expect(lost.exitCode).to.equal(5);
  expect(connectionCount).to.equal(1);
});

it('cli: a time limit that is not a number is refused instead of waiting forever', async () => {
  const wait = await run([1], ['job', 'wait', 'j1', '--timeout-ms', 'soon']);
  expect(wait).to.include({ exitCode: 1 });
  expect(wait.stderr).to.contain('"soon" is not a whole number');
});

it('cli: settings check lists every fault with its line and column', async () => {
  const files = { 'e.jsonc': '{\n  "domain": 5,\n  "port": 1\n}' };
  const check = await run([1], ['settings', 'check', 'entry', 'e.jsonc'], files);
  expect(check.exitCode).to.equal(2);
  expect(check.stderr).to.match(/e\.jsonc:2:13: domain: .*\n.*e\.jsonc:3:3: port: unknown field/);
});

it('cli: a table with long cells stays within 80 columns', () => {
  const long = 'x'.repeat(200);
  const columns = ['A', 'B', 'C'].map((title) => ({ title, cell: () => long }));
  const lines = formatTable(columns, [1, 2]).split('\n');
  expect(lines.map((line) => line.length).toSorted((a, b) => b - a)[0]).to.be.at.most(80);
});
