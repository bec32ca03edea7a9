import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { performance } from 'node:perf_hooks';
import { parseArgs } from 'node:util';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import { calculateSpring, EXAMPLE_SPRING } from '@bronzeyoke/standins';
import type { LoadRole, LoadReport } from './child';
import { startChild } from '../child';

const HOST = '127.0.0.1';
const MICROS_PER_MS = 1_000;
const STARTUP_MS = 1_000;

const { values } = parseArgs({
  options: {
    rounds: { type: 'string', default: '3' },
    seconds: { type: 'string', default: '4' },
    connections: { type: 'string', default: '32' },
  },
});
const rounds = Number(values.rounds);
const windowMs = Number(values.seconds) * 1_000;
const connections = Number(values.connections);

const requestBody = JSON.stringify(EXAMPLE_SPRING);
const expectedBody = JSON.stringify(calculateSpring(EXAMPLE_SPRING));

interface Child {
  readonly process: ChildProcess;
  readonly port: number;
  readonly agentPort: number;
}

interface Target {
  readonly name: string;
  readonly port: number;
  readonly path: string;
  /** Processes between the caller and the upstream. */
  readonly hops: readonly Child[];
}

interface Sample {
  readonly perSecond: number;
  readonly histogram: Histogram;
  readonly wrong: number;
  readonly processorMicrosPerRequest: number;
}

async function startRole(role: LoadRole): Promise<Child> {
  const script = new URL('./child.ts', import.meta.url);
  const { child, message } = await startChild<LoadRole, LoadReport>(script, role);
  if (message.kind !== 'ready')
    throw new TypeError('unexpected message of a child process: expected its ports');
  return { process: child, port: message.port, agentPort: message.agentPort };
}

async function processorMs(children: readonly Child[]): Promise<number> {
  const used = await Promise.all(
    children.map(async (child) => {
      child.process.send('used');
      const [message] = (await once(child.process, 'message')) as [LoadReport];
      return message.kind === 'used' ? message.processorMs : 0;
    }),
  );
  return used.reduce((sum, value) => sum + value, 0);
}

async function send(pool: Pool, path: string): Promise<boolean> {
  const response = await pool.request({
    path,
    method: 'POST',
    body: requestBody,
    headers: { 'content-type': 'application/json' },
  });
  const text = await response.body.text();
  return response.statusCode === 200 && text === expectedBody;
}

/**
 * Sends requests for one window and measures them. Each connection sends one request after the
 * other, or at a fixed rate when one is given.
 */
async function measureWindow(target: Target, perSecond: number | undefined): Promise<Sample> {
  const pool = new Pool(`http://${HOST}:${target.port}`, { connections });
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const before = await processorMs(target.hops);
  const startedAtMs = performance.now();
  const endsAtMs = startedAtMs + windowMs;
  const gapMs = perSecond === undefined ? 0 : (connections / perSecond) * 1_000;
  let wrong = 0;
  const runOne = async (dueAtMs: number): Promise<void> => {
    const waitMs = dueAtMs - performance.now();
    if (waitMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    if (performance.now() >= endsAtMs) return;
    const sentAtMs = performance.now();
    if (!(await send(pool, target.path))) wrong += 1;
    histogram.recordValue(Math.round((performance.now() - sentAtMs) * MICROS_PER_MS));
    await runOne(Math.max(dueAtMs + gapMs, gapMs === 0 ? 0 : performance.now()));
  };
  await Promise.all(
    Array.from({ length: connections }, (_, index) =>
      runOne(startedAtMs + (gapMs * index) / connections),
    ),
  );
  const elapsedMs = performance.now() - startedAtMs;
  const used = (await processorMs(target.hops)) - before;
  await pool.close();
  return {
    perSecond: (histogram.totalCount / elapsedMs) * 1_000,
    histogram,
    wrong,
    processorMicrosPerRequest: (used * MICROS_PER_MS) / histogram.totalCount,
  };
}

function mean(numbers: readonly number[]): number {
  return numbers.reduce((sum, value) => sum + value, 0) / numbers.length;
}

function row(name: string, samples: readonly Sample[]): string {
  const at = (percentile: number): string =>
    mean(
      samples.map(({ histogram }) => histogram.getValueAtPercentile(percentile) / MICROS_PER_MS),
    ).toFixed(2);
  return [
    name.padEnd(14),
    mean(samples.map((sample) => sample.perSecond))
      .toFixed(0)
      .padStart(9),
    at(50).padStart(9),
    at(99).padStart(9),
    at(99.9).padStart(9),
    mean(samples.map((sample) => sample.processorMicrosPerRequest))
      .toFixed(0)
      .padStart(12),
    String(samples.reduce((sum, sample) => sum + sample.wrong, 0)).padStart(7),
  ].join(' ');
}

const HEADER = 'target             req/s    p50 ms    p99 ms  p99.9 ms  cpu us/req   wrong';

/** Measures every target once in each round, so that a disturbance of the machine affects all. */
async function interleave(
  targets: readonly Target[],
  perSecond: number | undefined,
): Promise<ReadonlyMap<string, readonly Sample[]>> {
  const plan = Array.from({ length: rounds }, () => targets).flat();
  return plan.reduce<Promise<ReadonlyMap<string, readonly Sample[]>>>(async (pending, target) => {
    const samples = await pending;
    const sample = await measureWindow(target, perSecond);
    return new Map(samples).set(target.name, [...(samples.get(target.name) ?? []), sample]);
  }, Promise.resolve(new Map<string, readonly Sample[]>()));
}

function print(title: string, samples: ReadonlyMap<string, readonly Sample[]>): void {
  const rows = [...samples].map(([name, list]) => row(name, list));
  process.stdout.write(`${[title, HEADER, ...rows].join('\n')}\n\n`);
}

async function main(): Promise<void> {
  const upstream = await startRole({ kind: 'upstream' });
  const passthrough = await startRole({ kind: 'passthrough', targetPort: upstream.port });
  const entry = await startRole({ kind: 'entry' });
  const agent = await startRole({
    kind: 'agent',
    agentPort: entry.agentPort,
    upstreamPort: upstream.port,
  });
  const targets: readonly Target[] = [
    { name: 'upstream', port: upstream.port, path: '/price', hops: [] },
    { name: 'pass-through', port: passthrough.port, path: '/price', hops: [passthrough] },
    {
      name: 'bronzeyoke',
      port: entry.port,
      path: '/v1/services/quoter/price',
      hops: [entry, agent],
    },
  ];
  await new Promise((resolve) => {
    setTimeout(resolve, STARTUP_MS);
  });
  const full = await interleave(targets, undefined);
  print(`closed loop, ${connections} connections, ${rounds} rounds of ${windowMs} ms`, full);
  const capacity = mean((full.get('bronzeyoke') ?? []).map((sample) => sample.perSecond));
  const half = await interleave(targets, capacity / 2);
  print(`paced at half of bronzeyoke's rate (${(capacity / 2).toFixed(0)} req/s)`, half);
  const ratio = (name: string): number =>
    capacity / mean((full.get(name) ?? []).map((sample) => sample.perSecond));
  process.stdout.write(`throughput / pass-through: ${ratio('pass-through').toFixed(2)}\n`);
  [upstream, passthrough, entry, agent].forEach((child) => child.process.kill());
}

await main();
