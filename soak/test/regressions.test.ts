import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { buildPrograms } from '../../tools/bundle';
import { runSoak } from '../run';
import { selectFaults } from '../selection';
import type { SoakReport } from '../run';

/** Runs the real programs under chosen faults. */
async function runWith(seed: number, faults: string, forMs: number): Promise<SoakReport> {
  const selected = selectFaults(faults);
  if (selected.kind !== 'selected') throw new RangeError(selected.name);
  const folder = await mkdtemp(join(tmpdir(), 'bronzeyoke-soak-'));
  await buildPrograms(join(folder, 'programs'));
  return runSoak({
    seed,
    forMs,
    size: { entries: 2, workers: 6 },
    callers: 8,
    bundle: join(folder, 'programs', 'bronzeyoke-node.mjs'),
    folder,
    selection: selected.selection,
  });
}

// Guards against refused connections that are taken for the end of a worker: its tasks would run twice.
it('soak: a task runs once while its worker refuses connections', async () => {
  const { violations } = await runWith(41003, 'agentWorker.refuse.one', 8_000);
  expect(violations).to.deep.equal([]);
});
