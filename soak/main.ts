import { mkdir, rm } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { assertNever } from '@bronzeyoke/types';
import { buildPrograms } from '../tools/bundle';
import type { CommandOptions } from './options';
import { formatUsage, parseCommandLine } from './options';
import type { RepeatCount } from './repeats';
import { runSoak } from './run';
import type { SoakProgress } from './run';

const MS_PER_S = 1_000;
const INVALID_STATUS = 2;

function formatProgress({ atMs, faults, accepted, runs, doubleRuns }: SoakProgress): string {
  const seconds = Math.round(atMs / MS_PER_S);
  return `${seconds} s: ${faults} faults, ${accepted} jobs accepted, ${runs} runs, ${doubleRuns} double runs`;
}

function formatRepeats(counts: readonly RepeatCount[]): string {
  const kinds = counts.map(({ kind, starts }) => `${starts} ${kind}`).join(', ');
  const workMs = counts.reduce((sum, count) => sum + count.workMs, 0);
  return `starts after a success: ${kinds}; ${workMs} ms of work done twice`;
}

/** Runs the soak and prints what it finds. Returns whether all promises were kept. */
async function run({ seed, seconds, out, ...options }: CommandOptions): Promise<boolean> {
  const { entries, workers, domains, callers, selection } = options;
  const folder = join(resolve(out), `seed-${seed}`);
  const programs = join(resolve(out), `programs-${process.pid}`);
  const print = (line: string): boolean => process.stdout.write(`${line}\n`);
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
  await buildPrograms(programs);
  const { violations, repeatCounts, progress } = await runSoak({
    seed,
    forMs: seconds * MS_PER_S,
    size: { entries, workers, domains },
    callers,
    selection,
    bundle: join(programs, 'bronzeyoke-node.mjs'),
    folder,
    onProgress: (current) => print(formatProgress(current)),
  });
  await rm(programs, { recursive: true, force: true });
  const { faults, accepted, runs } = progress;
  print(
    `seed ${seed}: ${faults} faults, ${accepted} jobs accepted, ${runs} runs, ` +
      `${violations.length} broken promises`,
  );
  print(formatRepeats(repeatCounts));
  violations.forEach(({ promise, atMs, what }) => print(`${promise} at ${atMs} ms: ${what}`));
  if (violations.length > 0) print(`timeline and logs are in ${folder}`);
  return violations.length === 0;
}

const commandLine = parseCommandLine(process.argv.slice(2));
switch (commandLine.kind) {
  case 'help':
    process.stdout.write(formatUsage());
    break;
  case 'invalid':
    process.stderr.write(`${commandLine.message}\n`);
    process.exitCode = INVALID_STATUS;
    break;
  case 'run':
    if (!(await run(commandLine.options))) process.exitCode = 1;
    break;
  default:
    assertNever(commandLine);
}
