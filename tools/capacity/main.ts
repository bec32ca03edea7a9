import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import type { CapacityRole, CapacityReport, Usage } from './child';
import { startChild } from '../child';

const AGENTS_PER_PROCESS = 50;
const SETTLE_MS = 8_000;
const PLANNED_WORKERS = 630;

const { values } = parseArgs({
  options: {
    sizes: { type: 'string', default: '11,50,100,200' },
    seconds: { type: 'string', default: '30' },
  },
});
const sizes = values.sizes.split(',').map(Number);
const windowMs = Number(values.seconds) * 1_000;

interface Child {
  readonly process: ChildProcess;
  readonly port: number;
}

interface Sample {
  readonly size: number;
  readonly entry: Usage;
  readonly agent: Usage;
  readonly table: Usage;
}

async function startRole(role: CapacityRole): Promise<Child> {
  const script = new URL('./child.ts', import.meta.url);
  const { child, message } = await startChild<CapacityRole, CapacityReport>(script, role);
  return { process: child, port: message.kind === 'ready' ? message.port : 0 };
}

async function readUsage(child: Child): Promise<Usage> {
  child.process.send('usage');
  const [report] = (await once(child.process, 'message')) as [CapacityReport];
  if (report.kind !== 'usage')
    throw new TypeError('unexpected message of a child process: expected its usage');
  return report.usage;
}

/** Returns the usage per second between two readings, with the memory of the second one. */
function rate(before: Usage, after: Usage): Usage {
  const perSecond = (from: number, to: number): number => ((to - from) * 1_000) / windowMs;
  return {
    processorMs: perSecond(before.processorMs, after.processorMs),
    linkBytes: perSecond(before.linkBytes, after.linkBytes),
    residentMb: after.residentMb,
    privateMb: after.privateMb,
    transactions: perSecond(before.transactions, after.transactions),
    rowsWritten: perSecond(before.rowsWritten, after.rowsWritten),
    reads: perSecond(before.reads, after.reads),
  };
}

async function measure(size: number): Promise<Sample> {
  const table = await startRole({ kind: 'table' });
  const entry = await startRole({ kind: 'entry', tablePort: table.port });
  // The first process holds one agent alone, for the figures of an agent.
  const firsts = Array.from(
    { length: Math.ceil((size - 1) / AGENTS_PER_PROCESS) },
    (_, index) => 1 + index * AGENTS_PER_PROCESS,
  );
  const agentPort = entry.port;
  const agent = await startRole({ kind: 'agents', agentPort, first: 0, count: 1 });
  const others = await Promise.all(
    firsts.map((first) =>
      startRole({
        kind: 'agents',
        agentPort,
        first,
        count: Math.min(AGENTS_PER_PROCESS, size - first),
      }),
    ),
  );
  await sleep(SETTLE_MS);
  const measured = [entry, agent, table];
  const before = await Promise.all(measured.map(readUsage));
  await sleep(windowMs);
  const after = await Promise.all(measured.map(readUsage));
  [...measured, ...others].forEach((child) => child.process.kill());
  const [entryUse, agentUse, tableUse] = after.map((use, index) =>
    rate(before[index] as Usage, use),
  ) as [Usage, Usage, Usage];
  return { size, entry: entryUse, agent: agentUse, table: tableUse };
}

function column(value: number, digits: number): string {
  return value.toFixed(digits).padStart(9);
}

function row(sample: Sample): string {
  const { size, entry, agent, table } = sample;
  return [
    String(size).padStart(6),
    column(entry.processorMs / 10, 2),
    column(entry.linkBytes / 1_000, 2),
    column(entry.residentMb, 1),
    column(entry.privateMb, 1),
    column(table.transactions, 1),
    column(table.rowsWritten, 1),
    column(table.reads, 1),
    column(agent.processorMs / 10, 2),
    column(agent.linkBytes / 1_000, 2),
    column(agent.residentMb, 1),
    column(agent.privateMb, 1),
  ].join(' ');
}

/** Fits a least-squares line to the samples and extrapolates it to the planned size. */
function fitLine(samples: readonly Sample[], valueOf: (sample: Sample) => number): string {
  const count = samples.length;
  const meanX = samples.reduce((sum, { size }) => sum + size, 0) / count;
  const meanY = samples.reduce((sum, sample) => sum + valueOf(sample), 0) / count;
  const covariance = samples.reduce(
    (sum, sample) => sum + (sample.size - meanX) * (valueOf(sample) - meanY),
    0,
  );
  const variance = samples.reduce((sum, { size }) => sum + (size - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const planned = intercept + slope * PLANNED_WORKERS;
  return `${intercept.toFixed(3)} + ${slope.toFixed(5)} x workers; at ${PLANNED_WORKERS}: ${planned.toFixed(2)}`;
}

function header(): string {
  return [
    'workers',
    'entry cpu%',
    'KB/s',
    'RSS MB',
    'priv MB',
    'tx/s',
    'rows/s',
    'reads/s',
    'agent cpu%',
    'KB/s',
    'RSS MB',
    'priv MB',
  ].join('  ');
}

const samples = await sizes.reduce<Promise<readonly Sample[]>>(async (pending, size) => {
  const done = await pending;
  const sample = await measure(size);
  process.stdout.write(`${done.length === 0 ? `${header()}\n` : ''}${row(sample)}\n`);
  return [...done, sample];
}, Promise.resolve([]));

process.stdout.write(
  [
    '',
    `entry cpu %      ${fitLine(samples, ({ entry }) => entry.processorMs / 10)}`,
    `entry KB/s       ${fitLine(samples, ({ entry }) => entry.linkBytes / 1_000)}`,
    `entry private MB ${fitLine(samples, ({ entry }) => entry.privateMb)}`,
    `table tx/s       ${fitLine(samples, ({ table }) => table.transactions)}`,
    `table rows/s     ${fitLine(samples, ({ table }) => table.rowsWritten)}`,
    `table reads/s    ${fitLine(samples, ({ table }) => table.reads)}`,
    `agent cpu %      ${fitLine(samples, ({ agent }) => agent.processorMs / 10)}`,
    '',
  ].join('\n'),
);
