import { readdir, readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { expect } from 'chai';

type Graph = ReadonlyMap<string, readonly string[]>;

/** Relative modules that are imported or exported from, or loaded with `import()`. */
const RELATIVE_MODULE = /(?: from |\bimport\()'(\.[^']*)'/g;
const PACKAGE = / from '@bronzeyoke\/(\w+)'/g;

const packageNames = await readdir('packages');

function findNames(text: string, pattern: RegExp): readonly string[] {
  return [...text.matchAll(pattern)].flatMap(([, name = '']) => name);
}

async function readModules(folder: string): Promise<ReadonlyMap<string, string>> {
  const files = (await readdir(folder, { recursive: true })).filter((name) => name.endsWith('.ts'));
  const entries = files.map(async (name): Promise<readonly [string, string]> => [
    name,
    await readFile(join(folder, name), 'utf8'),
  ]);
  return new Map(await Promise.all(entries));
}

/** Returns the modules of a folder, by path, that each of its modules imports. */
async function readGraph(folder: string): Promise<Graph> {
  const modules = await readModules(folder);
  return new Map(
    [...modules]
      .filter(([name]) => name !== 'index.ts')
      .map(([name, text]) => [
        name.slice(0, -'.ts'.length),
        findNames(text, RELATIVE_MODULE).map((target) => join(dirname(name), target)),
      ]),
  );
}

/** Returns the packages that the sources of each package import. */
async function readPackageGraph(): Promise<Graph> {
  const entries = packageNames.map(async (name): Promise<readonly [string, readonly string[]]> => {
    const modules = await readModules(join('packages', name, 'src'));
    const imports = [...modules.values()].flatMap((text) => findNames(text, PACKAGE));
    return [name, [...new Set(imports)]];
  });
  return new Map(await Promise.all(entries));
}

/** Removes the modules that import none of the others until nothing changes. */
function cyclicModules(graph: Graph): readonly string[] {
  const left = [...graph].filter(([, imports]) => imports.some((target) => graph.has(target)));
  return left.length === graph.size ? [...graph.keys()] : cyclicModules(new Map(left));
}

const FOLDERS = [...packageNames.map((name) => join('packages', name, 'src')), 'platform', 'soak'];

// Guards against modules of a folder that can only be understood, and changed, all together.
FOLDERS.forEach((folder) =>
  it(`imports: the modules of ${folder} import each other in one direction`, async () => {
    const graph = await readGraph(folder);
    expect(graph.size).to.be.greaterThan(0);
    expect(cyclicModules(graph)).to.deep.equal([]);
  }),
);

// Guards against two packages that can only be built and tested together.
it('imports: the packages import each other in one direction', async () => {
  const graph = await readPackageGraph();
  expect(graph.size).to.be.greaterThan(0);
  expect(cyclicModules(graph)).to.deep.equal([]);
});
