import { readFile, readdir } from 'node:fs/promises';
import { expect } from 'chai';
import type { Chart } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import { expectSameAsReference } from './reference';

interface ChartFile {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<
    Record<
      string,
      {
        readonly on?: Readonly<Record<string, { readonly actions?: readonly string[] }>>;
      }
    >
  >;
}

const PACKAGES = 'packages';

async function chartsIn(name: string): Promise<readonly string[]> {
  const folder = `${PACKAGES}/${name}/charts`;
  const files = await readdir(folder).catch(() => []);
  return files.filter((file) => file.endsWith('.json')).map((file) => `${folder}/${file}`);
}

const paths = (await Promise.all((await readdir(PACKAGES)).map(chartsIn))).flat();

function compileAny(file: ChartFile): {
  readonly chart: Chart<string, string, string>;
  readonly events: readonly string[];
} {
  const rows = Object.values(file.states).map(({ on = {} }) => on);
  const events = [...new Set(rows.flatMap((on) => Object.keys(on)))];
  const actions = rows.flatMap((on) => Object.values(on).flatMap((edge) => edge.actions ?? []));
  return {
    chart: compileChart(file, { states: Object.keys(file.states), events, actions }),
    events,
  };
}

// Guards against a compiled chart that differs from XState, which it replaces on the hot path.
paths.forEach((path) => {
  it(`chart: ${path} behaves as in XState`, async () => {
    const file = JSON.parse(await readFile(path, 'utf8')) as ChartFile;
    const { chart, events } = compileAny(file);
    expectSameAsReference(chart, file, events);
  });
});

it('chart: there are chart files to compare', () => {
  expect(paths.length).to.be.greaterThan(4);
});
