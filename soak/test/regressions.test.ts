import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { buildPrograms } from '../../tools/bundle';
import { runSoak } from '../run';
import { selectFaults } from '../selection';
import type { PromiseViolation } from '../types';

const CALM_MS = 4_000;

/** Runs the real programs under chosen faults, and returns the tasks that run twice. */
async function findDoubleRuns(
  seed: number,
  faults: string,
  forMs: number,
): Promise<readonly PromiseViolation[]> {
  const selected = selectFaults(faults);
  if (selected.kind !== 'selected') throw new RangeError(selected.name);
  const folder = await mkdtemp(join(tmpdir(), 'bronzeyoke-soak-'));
  await buildPrograms(join(folder, 'programs'));
  const { violations } = await runSoak({
    seed,
    forMs,
    size: { entries: 2, workers: 6, domains: 3 },
    callers: 8,
    calmMs: CALM_MS,
    bundle: join(folder, 'programs', 'bronzeyoke-node.mjs'),
    folder,
    selection: selected.selection,
  });
  // Jobs do not all end in so short a time without faults, so that lost ones cannot be told.
  return violations.filter(({ promise }) => promise === 'TWICE');
}

// Guards against refused connections that are taken for the end of a worker: its tasks would run twice.
it('soak: a task runs once while its worker refuses connections', async () => {
  expect(await findDoubleRuns(41003, 'agentWorker.refuse.one', 8_000)).to.deep.equal([]);
});

// Guards against a leave that another writer announces and that ends the runs of a live worker at once.
it('soak: a task runs once while another writer announces that its worker leaves', async () => {
  expect(await findDoubleRuns(41007, 'oddAnnouncedLeave', 8_000)).to.deep.equal([]);
});
