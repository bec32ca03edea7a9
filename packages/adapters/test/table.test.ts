import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { DENSE_SHAPES } from '@bronzeyoke/harness';
import { createHttpTable } from '@bronzeyoke/adapters';
import { resolveCommit } from '@bronzeyoke/commits';
import { NO_TABLE_FAULTS, startTable } from '@bronzeyoke/standins';

const HOST = '127.0.0.1';
const MB = 1_048_576;
const transaction = {
  conditions: [{ key: 'a/1', version: 0 }],
  writes: [{ kind: 'put', key: 'a/1', value: { token: 't1' } }],
} as const;

// Guards against a lost reply that is taken for a write by another process.
it('table: a transaction whose reply was lost is resolved by sending it again', async () => {
  const standin = await startTable(HOST, 0);
  const table = createHttpTable({ host: HOST, port: standin.port, connections: 2 });
  standin.setFaults({ ...NO_TABLE_FAULTS, losesReplies: true });
  const lost = await table.commit(transaction);
  expect(resolveCommit(transaction, false, lost)).to.deep.equal({ kind: 'retry' });
  standin.setFaults(NO_TABLE_FAULTS);
  const again = await table.commit(transaction);
  expect(again.kind).to.equal('conflict');
  expect(resolveCommit(transaction, true, again).kind).to.equal('committed');
  expect(resolveCommit(transaction, false, again).kind).to.equal('conflict');
  await table.close();
  await standin.close();
});

// Guards against refusals reported as unknown, which delay claims that were never sent.
it('table: a table that is down or closed is unavailable, not unknown', async () => {
  const standin = await startTable(HOST, 0);
  const table = createHttpTable({ host: HOST, port: standin.port, connections: 2 });
  standin.setFaults({ ...NO_TABLE_FAULTS, isDown: true });
  expect(await table.commit(transaction)).to.deep.equal({ kind: 'unavailable' });
  expect(await table.read(['a/1'])).to.deep.equal({ kind: 'unavailable' });
  await table.close();
  await standin.close();
  const unconnected = createHttpTable({ host: HOST, port: standin.port, connections: 2 });
  expect(await unconnected.commit(transaction)).to.deep.equal({ kind: 'unavailable' });
  await unconnected.close();
});

it('table: scans return rows in key order', async () => {
  const standin = await startTable(HOST, 0);
  const table = createHttpTable({ host: HOST, port: standin.port, connections: 2 });
  await table.commit({
    conditions: [],
    writes: ['a/2', 'a/1', 'b/1'].map((key) => ({ kind: 'put', key, value: key })),
  });
  const scanned = await table.scan('a/', '', 10);
  expect(scanned.kind === 'rows' && scanned.rows.map((row) => row.value)).to.deep.equal([
    'a/1',
    'a/2',
  ]);
  await table.close();
  await standin.close();
});

// Guards against an answer of the table, or of what answers in its place, that exhausts the heap of an entry.
it('table: an answer that is too long or too costly is lost', async () => {
  const bodies = ['x'.repeat(17 * MB), (DENSE_SHAPES['empty objects'] ?? String)(8 * MB)];
  const state = { answered: 0 };
  const server = createServer((incoming, response) => {
    incoming.resume();
    response.end(bodies[state.answered % bodies.length]);
    state.answered += 1;
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const table = createHttpTable({ host: HOST, port, connections: 1 });
  expect(await table.read(['a/1'])).to.deep.equal({ kind: 'unavailable' });
  expect(await table.read(['a/1'])).to.deep.equal({ kind: 'unavailable' });
  expect(await table.commit(transaction)).to.deep.equal({ kind: 'unknown' });
  expect(state.answered).to.equal(3);
  await table.close();
  server.close();
});
