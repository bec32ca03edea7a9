import { expect } from 'chai';
import { createHttpTable } from '@bronzeyoke/adapters';
import { resolveCommit } from '@bronzeyoke/commits';
import { NO_TABLE_FAULTS, startTable } from '@bronzeyoke/standins';

const HOST = '127.0.0.1';
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
