import { expect } from 'chai';
import { createHttpTable } from '@bronzeyoke/adapters';
import type { RunningEntry } from '@bronzeyoke/entry';
import { startEntry } from '@bronzeyoke/entry';
import { startTable } from '@bronzeyoke/standins';
import type { AdminCommand, Configuration } from '@bronzeyoke/types';

const HOST = '127.0.0.1';

async function untilNumber(entry: RunningEntry, number: number): Promise<Configuration> {
  const shown = await entry.administer({ kind: 'showConfiguration' });
  if (!shown.ok || shown.value.kind !== 'configuration') throw new Error('no configuration');
  if (shown.value.configuration.number >= number) return shown.value.configuration;
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  return untilNumber(entry, number);
}

// Guards against a ticket that is accepted by one entry and unknown at another.
it('admin: a ticket accepted at one entry is in force at both over real sockets', async () => {
  const standin = await startTable(HOST, 0);
  const table = createHttpTable({ host: HOST, port: standin.port, connections: 4 });
  const options = {
    domain: 'hobart',
    host: HOST,
    callerPort: 0,
    agentPort: 0,
    table,
    onError: (error: unknown) => {
      throw error;
    },
    onFailure: () => undefined,
  };
  const first = await startEntry(options);
  const second = await startEntry(options);
  const command: AdminCommand = {
    kind: 'applyTicket',
    author: 'ops',
    number: 1,
    changes: [{ kind: 'domain', name: 'burnie', state: 'out' }],
  };
  expect((await first.administer(command)).ok).to.equal(true);
  expect(await second.administer(command)).to.deep.equal({
    ok: false,
    failure: { kind: 'conflict', what: 'ticket/1', currentNumber: 1 },
  });
  const configuration = await untilNumber(second, 1);
  expect(configuration).to.deep.equal({ number: 1, entries: command.changes });
  first.stop();
  second.stop();
  await Promise.all([first.stopped, second.stopped]);
  await table.close();
  await standin.close();
});
