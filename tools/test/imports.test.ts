import { readdir, readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { expect } from 'chai';

type Graph = ReadonlyMap<string, readonly string[]>;

/** Returns the modules of a package, by path, that each of its modules imports. */
async function readGraph(folder: string): Promise<Graph> {
  const files = (await readdir(folder, { recursive: true })).filter((name) => name.endsWith('.ts'));
  const entries = files
    .filter((name) => name !== 'index.ts')
    .map(async (name): Promise<readonly [string, readonly string[]]> => {
      const text = await readFile(join(folder, name), 'utf8');
      const imports = [...text.matchAll(/ from '(\.[./\w]*)'/g)].flatMap(([, target = '']) =>
        join(dirname(name), target),
      );
      return [name.slice(0, -'.ts'.length), imports];
    });
  return new Map(await Promise.all(entries));
}

/** Removes the modules that import none of the others until nothing changes. */
function cyclicModules(graph: Graph): readonly string[] {
  const left = [...graph].filter(([, imports]) => imports.some((target) => graph.has(target)));
  return left.length === graph.size ? [...graph.keys()] : cyclicModules(new Map(left));
}

// Guards against modules of a package that can only be understood, and changed, all together.
it('imports: the modules of the scheduler import each other in one direction', async () => {
  const graph = await readGraph('packages/scheduler/src');
  expect(graph.size).to.be.greaterThan(0);
  expect(cyclicModules(graph)).to.deep.equal([]);
});
