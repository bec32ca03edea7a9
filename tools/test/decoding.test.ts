import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { expect } from 'chai';

/** Ways to decode or check a document without the bounds of the package `decoding`. */
const UNBOUNDED =
  /JSON\.parse\(|\.safeParse\(|body\.json\(\)|body\.text\(\)|new Decoder\(|decoder\.decode\(/;

/** Packages that only serve tests, and modules that read what is part of the program or is bounded there. */
const EXEMPT = [
  'packages/decoding/',
  'packages/harness/',
  'packages/standins/',
  // Its own files.
  'packages/chart/src/chart.ts',
  'packages/entry/src/openapi.ts',
];

async function readSources(): Promise<readonly (readonly [name: string, text: string])[]> {
  const packages = (await readdir('packages')).map((name) => join('packages', name, 'src'));
  const names = await Promise.all(
    [...packages, 'platform'].map(async (folder) =>
      (await readdir(folder, { recursive: true })).map((name) => join(folder, name)),
    ),
  );
  const sources = names
    .flat()
    .filter((name) => name.endsWith('.ts') && !name.startsWith('platform/test/'))
    .filter((name) => !EXEMPT.some((start) => name.startsWith(start)));
  return Promise.all(sources.map(async (name) => [name, await readFile(name, 'utf8')] as const));
}

// Guards against a new path that decodes what comes from elsewhere by its bytes alone.
it('decoding: documents from elsewhere are decoded by one package', async () => {
  const sources = await readSources();
  expect(sources.length).to.be.greaterThan(200);
  const found = sources.filter(([, text]) => UNBOUNDED.test(text)).map(([name]) => name);
  expect(found).to.deep.equal([]);
});
