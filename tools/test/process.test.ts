import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { parse } from 'jsonc-parser';
import { request } from 'undici';
import { calculateSpring, EXAMPLE_SPRING } from '@bronzeyoke/standins';
import { buildPrograms } from '../bundle';

const root = fileURLToPath(new URL('../..', import.meta.url));
const HOST = '127.0.0.1';
const TIMEOUT_MS = 60_000;
type Fields = Readonly<Record<string, unknown>>;

/** A process that the test started. */
interface Program {
  readonly child: ChildProcess;
  /** Lines of JSON on its standard output so far; `stderr` holds a line of its standard error. */
  readonly lines: readonly Fields[];
  readonly exited: Promise<number | null>;
}

function startProgram(args: readonly string[]): Program {
  const child = spawn(process.execPath, [...args], {
    cwd: root,
    env: { ...process.env, BRONZEYOKE_TOKEN: 'example-operator' },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const lines: Fields[] = [];
  createInterface({ input: child.stdout }).on('line', (line) => lines.push(JSON.parse(line)));
  createInterface({ input: child.stderr }).on('line', (line) => lines.push({ stderr: line }));
  const exited = once(child, 'close').then(([code]) => code as number | null);
  return { child, lines, exited };
}

async function waitUntil<Value>(
  description: string,
  probe: () => Promise<Value | undefined> | Value | undefined,
  leftMs = TIMEOUT_MS,
): Promise<Value> {
  const found = await probe();
  if (found !== undefined) return found;
  if (leftMs <= 0) throw new Error(`time limit passed while waiting for ${description}`);
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  return waitUntil(description, probe, leftMs - 50);
}

function waitForLine(program: Program, key: string, value: unknown): Promise<Fields> {
  return waitUntil(`${key} ${String(value)}`, () =>
    program.lines.find((line) => (value === undefined ? key in line : line[key] === value)),
  );
}

/** Returns an example's settings with changed fields, such as addresses. */
async function exampleSettings(name: string, changes: Fields): Promise<string> {
  const text = await readFile(join(root, 'examples', name), 'utf8');
  return JSON.stringify({ ...(parse(text) as Fields), ...changes });
}

function addressAt(port: unknown): Fields {
  return { host: HOST, port };
}

/** Sends a quick check. Returns true for a correct answer, undefined if refused or cut off. */
async function sendCheck(port: unknown): Promise<true | undefined> {
  try {
    const response = await request(`http://${HOST}:${String(port)}/v1/services/quoter/check`, {
      method: 'POST',
      body: JSON.stringify(EXAMPLE_SPRING),
      headers: { connection: 'close' },
    });
    const body: unknown = await response.body.json();
    if (response.statusCode !== 200) return undefined;
    expect(body).to.deep.equal(calculateSpring(EXAMPLE_SPRING));
    return true;
  } catch (error) {
    if (error instanceof Error && error.name === 'AssertionError') throw error;
    return undefined;
  }
}

/** A folder of bundles, and a function that starts programs. */
interface TestBundles {
  readonly folder: string;
  readonly run: (args: readonly string[]) => Program;
}

/** Runs a test with a folder of bundles, and kills all programs that it started. */
async function withBundles(runTest: (bundles: TestBundles) => Promise<void>): Promise<void> {
  // Inside the checkout, so that the bundles find their external packages.
  await mkdir(join(root, '.cache'), { recursive: true });
  const folder = await mkdtemp(join(root, '.cache', 'process-'));
  const programs: Program[] = [];
  try {
    await buildPrograms(folder);
    await runTest({
      folder,
      run: (args) => {
        const program = startProgram(args);
        programs.push(program);
        return program;
      },
    });
  } finally {
    programs.forEach(({ child }) => child.kill('SIGKILL'));
    await Promise.all(programs.map(({ exited }) => exited));
    await rm(folder, { recursive: true });
  }
}

async function startDeployment({ folder, run }: TestBundles): Promise<{
  readonly entries: readonly Program[];
  readonly agents: readonly Program[];
  readonly ports: readonly unknown[];
  readonly bronzeyoke: (args: readonly string[]) => Program;
}> {
  const start = async (name: string, file: string, changes: Fields): Promise<Program> => {
    const path = join(folder, file);
    await writeFile(path, await exampleSettings(file, changes));
    return run([join(folder, `${name}.mjs`), path]);
  };
  const kinds = ['table:0', 'upstream:0', 'upstream:0', 'worker:0', 'worker:0'];
  const standins = run(['--import', 'tsx', 'packages/standins/src/main.ts', ...kinds]);
  const { ports } = await waitForLine(standins, 'ports', undefined);
  const [table, ...others] = ports as readonly number[];
  const free = addressAt(0);
  const entries = await Promise.all(
    ['entry-hobart.jsonc', 'entry-launceston.jsonc'].map((file) =>
      start('bronzeyoke-entry', file, {
        callers: free,
        agents: free,
        metrics: free,
        table: addressAt(table),
      }),
    ),
  );
  const serving = await Promise.all(entries.map((entry) => waitForLine(entry, 'msg', 'serving')));
  const agents = await Promise.all(
    ['hobart', 'launceston'].map((domain, index) =>
      start('bronzeyoke-agent', `agent-${domain}.jsonc`, {
        entries: serving.map((line) => addressAt(line.agentPort)),
        upstream: {
          service: 'quoter',
          address: addressAt(others[index]),
          slots: 8,
          connections: 64,
        },
        workerService: addressAt(others[index + 2]),
        metrics: free,
      }),
    ),
  );
  const callerPorts = serving.map((line) => line.callerPort);
  const settings = join(folder, 'bronzeyoke.jsonc');
  await writeFile(settings, JSON.stringify({ entries: callerPorts.map(addressAt) }));
  const bronzeyoke = (args: readonly string[]): Program =>
    run([join(folder, 'bronzeyoke.mjs'), ...args, '--settings', settings, '--json']);
  return { entries, agents, ports: callerPorts, bronzeyoke };
}

it('process: callers go on through the other entry when one is killed', async function test() {
  this.timeout(2 * TIMEOUT_MS);
  await withBundles(async (bundles) => {
    const { entries, agents, ports, bronzeyoke } = await startDeployment(bundles);
    const [first, second] = entries;
    await waitUntil('the first entry', () => sendCheck(ports[0]));
    await waitUntil('the second entry', () => sendCheck(ports[1]));
    const out = bronzeyoke(['domain', 'out', 'burnie']);
    expect(await out.exited).to.equal(0);

    first?.child.kill('SIGKILL');
    await first?.exited;
    expect(await sendCheck(ports[0])).to.equal(undefined);
    const answers = await Promise.all(Array.from({ length: 40 }, () => sendCheck(ports[1])));
    expect(answers).to.deep.equal(answers.map(() => true));
    const list = bronzeyoke(['upstream', 'list']);
    expect(await list.exited).to.equal(0);

    // The agents wait to reconnect to the first entry and must not have ended.
    expect(agents.map(({ child }) => child.exitCode)).to.deep.equal([null, null]);
    agents.forEach(({ child }) => child.kill('SIGTERM'));
    expect(await Promise.all(agents.map(({ exited }) => exited))).to.deep.equal([0, 0]);
    second?.child.kill('SIGTERM');
    expect(await second?.exited).to.equal(0);
    await Promise.all(
      [...agents, ...entries.slice(1)].map((program) => waitForLine(program, 'msg', 'handed over')),
    );
  });
});

it('process: a faulty settings file gives messages and exit code 2, no stack trace', async () => {
  await withBundles(async ({ folder, run }) => {
    const path = join(folder, 'faulty.jsonc');
    await writeFile(path, '{"domain": "a b", "agent": 1}');
    const runs = ['bronzeyoke-entry', 'bronzeyoke-agent'].map((name) =>
      run([join(folder, `${name}.mjs`), path]),
    );
    expect(await Promise.all(runs.map(({ exited }) => exited))).to.deep.equal([2, 2]);
    const text = runs.flatMap(({ lines }) => lines.map((line) => String(line.stderr)));
    expect(text.filter((line) => !line.startsWith(`${path}:1:`))).to.deep.equal([]);
    expect(text.join('\n')).to.contain('agent: unknown field');
  });
});
