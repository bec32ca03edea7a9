import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

/** Measures start-up time and memory of the programs, from the bundles of `npm run build`. */

const root = fileURLToPath(new URL('..', import.meta.url));
const SETTLE_MS = 3_000;
const RUNS = 3;

const HOST = '127.0.0.1';
const entrySettings = {
  domain: 'hobart',
  callers: { host: HOST, port: 0 },
  agents: { host: HOST, port: 0 },
  metrics: { host: HOST, port: 0 },
};
const agentSettings = {
  worker: 'w1',
  domain: 'hobart',
  region: 'tasmania',
  rack: 'r1',
  // No entry listens on this port, so the agent waits to reconnect.
  entries: [{ host: HOST, port: 1 }],
  upstream: { service: 'quoter', address: { host: HOST, port: 1 }, slots: 8, connections: 64 },
  total: { processorsMilli: 64_000, memoryMb: 250_000 },
  metrics: { host: HOST, port: 0 },
};

interface Measurement {
  readonly startMs: number;
  readonly rssMb: number;
  readonly privateMb: number;
}

async function memoryOf(pid: number): Promise<Omit<Measurement, 'startMs'>> {
  const text = await readFile(`/proc/${pid}/smaps_rollup`, 'utf8');
  const kb = (field: string): number =>
    Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(text)?.[1] ?? 0);
  return {
    rssMb: kb('Rss') / 1_024,
    privateMb: (kb('Private_Clean') + kb('Private_Dirty')) / 1_024,
  };
}

/** Measures the time until a program's first output, and its memory after `SETTLE_MS`. */
async function measure(args: readonly string[]): Promise<Measurement> {
  const startedAtMs = performance.now();
  const child = spawn(process.execPath, [...args], { stdio: ['ignore', 'pipe', 'inherit'] });
  const firstOutput = new Promise<void>((resolve, reject) => {
    child.stdout.once('data', () => resolve());
    child.once('exit', () => reject(new Error(`${args.join(' ')} exited before its first output`)));
  });
  await firstOutput;
  const startMs = performance.now() - startedAtMs;
  await sleep(SETTLE_MS);
  const memory = await memoryOf(child.pid ?? 0);
  child.kill('SIGKILL');
  return { startMs, ...memory };
}

async function measureRunTime(args: readonly string[]): Promise<number> {
  const startedAtMs = performance.now();
  const child = spawn(process.execPath, [...args], { stdio: 'ignore' });
  await new Promise((resolve) => {
    child.once('exit', resolve);
  });
  return performance.now() - startedAtMs;
}

function median(values: readonly number[]): number {
  return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

async function repeat<Value>(run: () => Promise<Value>): Promise<readonly Value[]> {
  return Array.from({ length: RUNS }).reduce<Promise<readonly Value[]>>(
    async (done) => [...(await done), await run()],
    Promise.resolve([]),
  );
}

async function report(name: string, args: readonly string[]): Promise<void> {
  const runs = await repeat(() => measure(args));
  const medianOf = (field: keyof Measurement) => median(runs.map((run) => run[field])).toFixed(1);
  process.stdout.write(
    `${name}: start ${medianOf('startMs')} ms, RSS ${medianOf('rssMb')} MB, ` +
      `private ${medianOf('privateMb')} MB (median of ${RUNS})\n`,
  );
}

const folder = await mkdtemp(join(tmpdir(), 'bronzeyoke-memory-'));
const write = async (name: string, value: unknown): Promise<string> => {
  const path = join(folder, name);
  await writeFile(path, JSON.stringify(value));
  return path;
};
const entryFile = await write('entry.json', entrySettings);
const agentFile = await write('agent.json', agentSettings);
const tracingFile = await write('tracing.json', {
  ...entrySettings,
  tracing: { endpoint: `http://${HOST}:1/v1/traces` },
});
await report('empty process', ['-e', 'console.log(1); setInterval(() => undefined, 1e6)']);
await report('bronzeyoke-entry', [`${root}/dist/bronzeyoke-entry.mjs`, entryFile]);
await report('bronzeyoke-entry with tracing', [`${root}/dist/bronzeyoke-entry.mjs`, tracingFile]);
await report('bronzeyoke-agent', [`${root}/dist/bronzeyoke-agent.mjs`, agentFile]);
const versions = await repeat(() => measureRunTime([`${root}/dist/bronzeyoke.mjs`, '--version']));
process.stdout.write(`bronzeyoke --version: ${median(versions).toFixed(1)} ms\n`);
await rm(folder, { recursive: true });
