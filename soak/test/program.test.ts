import { once } from 'node:events';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { chooseEntry } from '../caller';
import type { Program, Routes } from '../program';
import { createProgram } from '../program';

/** Prepares a program with a source. */
async function createFrom(source: string, routes: Routes = {}): Promise<Program> {
  const folder = await mkdtemp(join(tmpdir(), 'bronzeyoke-soak-'));
  const bundle = join(folder, 'program.mjs');
  await writeFile(bundle, source);
  return createProgram(bundle, folder, { name: 'entry-1' }, () => undefined, routes);
}

// Guards against proxies between programs that nothing goes through.
it('soak: a connection to an address with a route goes to its proxy', async () => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const connected = once(server, 'connection');
  const program = await createFrom(
    "import { connect } from 'node:net'; connect({ host: '127.0.0.9', port: 9 });",
    { '127.0.0.9:9': `127.0.0.1:${port}` },
  );
  program.send('start');
  await connected;
  program.send('kill');
  server.close();
});

// Guards against a program whose short stops end a pause, or that is left stopped.
it('soak: the turns of a slow program do not end a pause', async () => {
  const program = await createFrom('setInterval(() => undefined, 1_000);');
  program.send('start');
  program.send('stall');
  expect(program.state()).to.equal('stalled');
  program.send('pause');
  program.send('proceed');
  expect(program.state()).to.equal('paused');
  program.send('stall');
  program.send('resume');
  expect(program.state()).to.equal('running');
  program.send('stall');
  program.send('proceed');
  expect(program.state()).to.equal('running');
  program.send('kill');
});

// Guards against a stalled program that never gets the signal to end.
it('soak: a slow program can be terminated', async () => {
  const program = await createFrom('setInterval(() => undefined, 1_000);');
  program.send('start');
  program.send('stall');
  program.send('terminate');
  expect(program.state()).to.equal('stopping');
  program.send('kill');
});

// Guards against callers that are all at one entry, or spread evenly.
it('soak: the first entries have larger shares of the callers', () => {
  const chosen = Array.from({ length: 900 }, (_, index) => chooseEntry(index / 900, 9));
  const counts = Array.from({ length: 9 }, (_, entry) => chosen.filter((one) => one === entry));
  const sizes = counts.map(({ length }) => length);
  expect(sizes).to.deep.equal([...sizes].sort((left, right) => right - left));
  expect(sizes[0]).to.be.greaterThan(5 * (sizes[8] ?? 0));
  expect(sizes[8]).to.be.greaterThan(0);
});
