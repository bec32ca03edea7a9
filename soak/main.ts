import { mkdir, rm } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { buildPrograms } from '../tools/bundle';
import { runSoak } from './run';
import { FAULT_NAMES, selectFaults } from './selection';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '20' },
    entries: { type: 'string', default: '3' },
    workers: { type: 'string', default: '4' },
    callers: { type: 'string', default: '6' },
    faults: { type: 'string' },
    out: { type: 'string', default: '.cache/soak' },
  },
});

const selected = values.faults === undefined ? undefined : selectFaults(values.faults);
if (selected?.kind === 'unknownName') {
  throw new RangeError(`${selected.name} is no fault; there are ${FAULT_NAMES.join(', ')}`);
}
const seed = Number(values.seed);
const out = resolve(values.out);
const folder = join(out, `seed-${seed}`);
const programs = join(out, `programs-${process.pid}`);
await rm(folder, { recursive: true, force: true });
await mkdir(folder, { recursive: true });
await buildPrograms(programs);
const { violations, faults, observations } = await runSoak({
  seed,
  forMs: Number(values.seconds) * 1_000,
  size: { entries: Number(values.entries), workers: Number(values.workers) },
  ...(selected === undefined ? {} : { selection: selected.selection }),
  callers: Number(values.callers),
  bundle: join(programs, 'bronzeyoke-node.mjs'),
  folder,
});
await rm(programs, { recursive: true, force: true });
const accepted = observations.filter(({ kind }) => kind === 'accepted').length;
const runs = observations.filter(({ kind }) => kind === 'started').length;
process.stdout.write(
  `seed ${seed}: ${faults.length} faults, ${accepted} jobs accepted, ${runs} runs, ` +
    `${violations.length} broken promises\n`,
);
if (violations.length > 0) {
  violations.forEach(({ promise, atMs, what }) => {
    process.stdout.write(`${promise} at ${atMs} ms: ${what}\n`);
  });
  process.stdout.write(`timeline and logs are in ${folder}\n`);
  process.exitCode = 1;
}
