import { performance } from 'node:perf_hooks';
import { parseArgs } from 'node:util';
import { runFuzz } from '@bronzeyoke/harness';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '200' },
  },
});

const startedMs = performance.now();
const report = runFuzz({ seed: Number(values.seed), runs: Number(values.runs) });
const minutes = (performance.now() - startedMs) / 60_000;
const stepsPerMinute = Math.round(report.steps / minutes);
process.stdout.write(
  `seed ${report.seed}: ${report.runs} runs, ${report.commands} commands, ` +
    `${report.steps} steps, ${stepsPerMinute} steps a minute\n`,
);
if (report.failure !== undefined) {
  const { violation, trace, worldSeed, path } = report.failure;
  process.stdout.write(
    `${violation.invariant} broken at ${violation.atMs} ms: ${violation.detail}\n` +
      `world seed ${worldSeed}, path ${path}\n${trace.join('\n')}\n`,
  );
  process.exitCode = 1;
}
