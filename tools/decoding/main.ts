import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { Decoder } from 'cbor-x';
import { build } from 'esbuild';
import { decodeJson, measureJson } from '@bronzeyoke/decoding';
import { DENSE_SHAPES, TEXT_SHAPES } from '@bronzeyoke/harness';
import { ENTRY_CODEC, encodeFrame } from '@bronzeyoke/wire';
import { runnerSchema } from '../../packages/wire/src/runnerschema';
import { decodeHeartbeat } from '../../platform/decode';
import type { StepName, StepResult } from './steps';
import { walkValue } from './steps';

/**
 * Measures time and peak memory of decoding by shape of the document, each step in a process with the heap of
 * an agent, and what decoding a usual document costs with and without the bound.
 */

const MB = 1_048_576;
const DOCUMENT_BYTES = 4 * MB;
const MESSAGE_BYTES = 1_310_720;
const LENGTH_BYTES = 4;

/** Heaps of the roles in `deploy/system.toml`. */
const AGENT_HEAP_MB = 120;
const ENTRY_HEAP_MB = 200;

/** Heap for new objects, which V8 adds. */
const YOUNG_HEAP_MB = 48;

/** Part of the heap that a document may cost, as in the package. */
const HEAP_SHARE = 1 / 3;
const STEPS: readonly StepName[] = ['text', 'parse', 'walk', 'faults', 'bounded'];

/** Part of the limit that the largest documents cost. */
const NEAR_LIMIT = 0.98;

const ROUNDS = 21;
const ROUND_MS = 40;
const US_PER_MS = 1_000;

const HEARTBEAT = {
  service: 'quoter',
  addr: '10.128.0.9:8080',
  zone: 'hobart',
  version: 'v1',
  slots: 8,
  state: 'ready',
  coldLeftMs: 0,
  capacity: { cpu: 16_000, memMb: 32_768, gpu: 0 },
  labels: ['a', 'r1-3'],
  clockMs: 482_113,
  seq: 4,
  born: 1_771_783_254_000,
};

const folder = await mkdtemp(join(tmpdir(), 'bronzeyoke-decoding-'));
const child = join(folder, 'child.mjs');
const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

async function measure(
  document: string | Buffer,
  step: StepName,
  heapMb: number = AGENT_HEAP_MB,
): Promise<string> {
  const file = join(folder, 'document');
  await writeFile(file, document);
  try {
    const args = [`--max-old-space-size=${heapMb}`, child, file, step];
    const { stdout } = await promisify(execFile)(process.execPath, args);
    const { tookMs, peakMb, outcome } = JSON.parse(stdout) as StepResult;
    const note = step === 'bounded' || step === 'boundedCbor' ? ` ${outcome}` : '';
    return `${tookMs.toFixed(0)} ms, ${peakMb.toFixed(0)} MB${note}`;
  } catch (error) {
    const isEnded = error instanceof Error && 'signal' in error && error.signal === 'SIGABRT';
    if (!isEnded) throw error;
    return 'out of memory';
  }
}

/** Measures the steps one after the other, so that they do not compete. */
function measureAll(
  document: string | Buffer,
  steps: readonly StepName[],
): Promise<readonly string[]> {
  return steps.reduce<Promise<readonly string[]>>(
    async (before, step) => [...(await before), await measure(document, step)],
    Promise.resolve([]),
  );
}

function table(rows: readonly (readonly string[])[]): string {
  return rows.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

function heartbeatWith(shape: (sizeBytes: number) => string, sizeBytes = DOCUMENT_BYTES): string {
  const head = JSON.stringify({ ...HEARTBEAT, labels: undefined }).slice(0, -1);
  return `${head},"labels":${shape(sizeBytes - head.length - 12)}}`;
}

async function measureShapes(): Promise<void> {
  const shapes = [...Object.entries(TEXT_SHAPES), ...Object.entries(DENSE_SHAPES)];
  const rows = await shapes.reduce<Promise<readonly (readonly string[])[]>>(
    async (before, [name, shape]) => [
      ...(await before),
      [name, ...(await measureAll(heartbeatWith(shape), STEPS))],
    ],
    Promise.resolve([]),
  );
  print(`\nHeartbeats of 4 MiB by the shape of \`labels\`, heap of ${AGENT_HEAP_MB} MB\n`);
  print(table([['shape', ...STEPS], ['---', ...STEPS.map(() => '---')], ...rows]));
}

/** Returns the largest document of a shape that is decoded with a heap. */
function largestOf(shape: (sizeBytes: number) => string, heapMb: number): string {
  const limitBytes = (heapMb + YOUNG_HEAP_MB) * MB * HEAP_SHARE;
  const cost = measureJson(Buffer.from(heartbeatWith(shape, MB)), Infinity);
  const costOfMb = cost.ok ? cost.value : Infinity;
  return heartbeatWith(shape, Math.floor((MB * limitBytes * NEAR_LIMIT) / costOfMb));
}

async function measureLargest(): Promise<void> {
  const heapsMb = [AGENT_HEAP_MB, ENTRY_HEAP_MB];
  const shapes = [...Object.entries(TEXT_SHAPES), ...Object.entries(DENSE_SHAPES)];
  const rows = await shapes.reduce<Promise<readonly (readonly string[])[]>>(
    async (before, [name, shape]) => {
      const done = await before;
      const cells = await heapsMb.reduce<Promise<readonly string[]>>(async (earlier, heapMb) => {
        const document = largestOf(shape, heapMb);
        const size = (Buffer.byteLength(document) / MB).toFixed(2);
        return [...(await earlier), `${size} MiB: ${await measure(document, 'bounded', heapMb)}`];
      }, Promise.resolve([]));
      return [...done, [name, ...cells]];
    },
    Promise.resolve([]),
  );
  print('\nLargest documents that are decoded\n');
  const header = ['shape', ...heapsMb.map((heapMb) => `heap of ${heapMb} MB`)];
  print(table([header, header.map(() => '---'), ...rows]));
}

/** Messages of one list of equal items. */
const MESSAGES: Readonly<Record<string, Buffer>> = {
  'empty maps': Buffer.from([0xa0]),
  'empty byte strings': Buffer.from([0x40]),
  integers: Buffer.from([0]),
  'members named 99': Buffer.concat([Buffer.from([0xa1, 0x62]), Buffer.from('99'), Buffer.of(0)]),
  'members named 1023': Buffer.concat([
    Buffer.from([0xa1, 0x64]),
    Buffer.from('1023'),
    Buffer.of(0),
  ]),
};

function messageOf(item: Buffer): Buffer {
  const count = Math.floor((MESSAGE_BYTES - 5) / item.length);
  const head = Buffer.from([0x9a, 0, 0, 0, 0]);
  head.writeUInt32BE(count, 1);
  return Buffer.concat([head, ...Array<Buffer>(count).fill(item)]);
}

async function measureMessages(): Promise<void> {
  const steps: readonly StepName[] = ['cbor', 'boundedCbor'];
  const rows = await Object.entries(MESSAGES).reduce<Promise<readonly (readonly string[])[]>>(
    async (before, [name, item]) => [
      ...(await before),
      [name, ...(await measureAll(messageOf(item), steps))],
    ],
    Promise.resolve([]),
  );
  print(`\nMessages of 1.25 MB between processes, heap of ${AGENT_HEAP_MB} MB\n`);
  print(table([['shape', ...steps], ['---', ...steps.map(() => '---')], ...rows]));
}

/** Returns the time of one call in microseconds. */
function timeOf(call: () => unknown): number {
  const startedAtMs = performance.now();
  let calls = 0;
  while (performance.now() - startedAtMs < ROUND_MS) {
    Array.from({ length: 10 }).forEach(call);
    calls += 10;
  }
  return ((performance.now() - startedAtMs) * US_PER_MS) / calls;
}

function median(values: readonly number[]): number {
  return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

/** Compares two ways to decode a document, in turns, so that both meet the same load of the machine. */
function compare(name: string, before: () => unknown, after: () => unknown): void {
  const rounds = Array.from({ length: ROUNDS }, () => [timeOf(before), timeOf(after)] as const);
  const beforeUs = median(rounds.map(([us]) => us));
  const afterUs = median(rounds.map(([, us]) => us));
  const ratio = (afterUs / beforeUs).toFixed(2);
  print(`${name}: ${beforeUs.toFixed(1)} us before, ${afterUs.toFixed(1)} us bounded (${ratio})`);
}

function compareHeartbeats(): void {
  const bytes = Buffer.from(JSON.stringify(HEARTBEAT));
  compare(
    `heartbeat of ${bytes.length} bytes`,
    () => {
      const value: unknown = JSON.parse(bytes.toString('utf8'));
      return walkValue(value) < 64 && decodeHeartbeat('i-1', value);
    },
    () => {
      const decoded = decodeJson(bytes);
      return decoded.ok && decodeHeartbeat('i-1', decoded.value);
    },
  );
}

function reportOf(runs: number) {
  const running = Array.from({ length: runs }, (_, index) => ({
    task: `5c0e7a21d94b36f8.0.1.${index}`,
    attempt: 2,
    checkpoint: '00000bb87a21d94b',
    percent: 41,
    load: 120,
  }));
  return {
    kind: 'report',
    agentId: 'side-1',
    term: 3,
    workerKey: 'i-1/1',
    worker: {
      id: 'i-1',
      address: '10.128.0.9:8080',
      bornAtMs: 1_771_783_254_000,
      service: 'quoter',
      domain: 'hobart',
      version: 'v1',
      isDraining: false,
      capacity: { processorsMilli: 16_000, memoryMb: 32_768, accelerators: 0 },
      labels: ['a', 'r1-3'],
      rack: 'r1-3',
      sequence: 4,
    },
    clockMs: 482_113,
    running,
    ended: [],
    pending: [],
    lastOrder: 9,
  };
}

function compareReports(runs: number): void {
  const frame = encodeFrame(reportOf(runs));
  // The decoder keeps a view with each buffer, and each message has one of its own.
  const receive = () => frame.subarray(LENGTH_BYTES);
  const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });
  compare(
    `report of ${runs} runs, ${frame.length} bytes`,
    () => runnerSchema.safeParse(decoder.decode(receive())).success,
    () => ENTRY_CODEC.decode(receive()).ok,
  );
}

await build({
  entryPoints: [fileURLToPath(new URL('./child.ts', import.meta.url))],
  outfile: child,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  external: ['cbor-extract'],
  logLevel: 'warning',
  banner: {
    js: "import { createRequire as requireFrom } from 'node:module';\nconst require = requireFrom(import.meta.url);",
  },
});
compareHeartbeats();
[6, 100, 500].forEach(compareReports);
await measureShapes();
await measureLargest();
await measureMessages();
await rm(folder, { recursive: true });
