/** A small deployment on loopback addresses: the project's programs, and stand-ins for all the others. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';

const MAX_LOOPBACK_OCTET = 250;
const FIRST_PORT = 20_000;
const PORT_SPAN = 8_000;

/** Root of the repository: the bundle lies in `target/review-2`. */
const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Fields of the settings that the platform gives a process. */
export type Settings = Readonly<Record<string, unknown>>;

/** Bounds and limits of the site dcm-sched, as its sheet gives them. */
const BOUNDS = { graceS: 6, holdMaxMs: 10_000, leaseMs: 3_000, status_s: 120 };

function lookUp(fields: Settings, path: string): unknown {
  return path
    .split('.')
    .reduce<unknown>(
      (value, key) => (value as Readonly<Record<string, unknown>> | undefined)?.[key],
      fields,
    );
}

/** Fills the placeholders of a settings template that DEPLOY.md describes. */
function render(template: string, fields: Settings): string {
  return template.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path: string, json?: string) => {
    const value = lookUp(fields, path);
    return json === undefined ? String(value as string | number) : JSON.stringify(value ?? null);
  });
}

interface Role {
  readonly run: string;
  readonly template: string;
}

/** Returns command and template of a role of the deploy file. */
function readRole(name: string): Role {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${name}]`)[1]?.split('\n[')[0] ?? '';
  const field = (key: string) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)?.[1] ?? '';
  return { run: field('run'), template: field('template') };
}

/** A process of the system. */
export class Program {
  readonly name: string;

  private readonly role: Role;

  private readonly file: string;

  private child: ChildProcess | undefined;

  private readonly log: string;

  private readonly onExit: (name: string, code: number | null, signal: string | null) => void;

  constructor(
    folder: string,
    role: 'entry' | 'agent',
    fields: Settings & { readonly nodeName: string },
    onExit: (name: string, code: number | null, signal: string | null) => void,
  ) {
    this.name = fields.nodeName;
    this.role = readRole(role);
    this.file = join(folder, `${this.name}.jsonc`);
    this.log = join(folder, `${this.name}.log`);
    this.onExit = onExit;
    const template = readFileSync(join(ROOT, this.role.template), 'utf8');
    writeFileSync(this.file, render(template, fields));
  }

  /** Starts the process with the command of the deploy file. */
  start(): void {
    const [command = 'node', ...args] = this.role.run.split(' ');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, args, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH, HOME, LANG, BRONZEYOKE_NODE_FILE: this.file },
    });
    this.child = child;
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (chunk: Buffer) => appendFileSync(this.log, chunk)),
    );
    child.once('exit', (code, signal) => {
      if (this.child === child) this.child = undefined;
      this.onExit(this.name, code, signal);
    });
  }

  /** Sends a signal to the process, if it runs. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  isUp(): boolean {
    return this.child !== undefined;
  }

  /** Returns the log so far. */
  text(): string {
    try {
      return readFileSync(this.log, 'utf8');
    } catch {
      return '';
    }
  }
}

async function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Folder, addresses, record and clean-up of one run. */
export class Bed {
  readonly folder = mkdtempSync(join(tmpdir(), 'bronzeyoke-review-'));

  private readonly net = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * MAX_LOOPBACK_OCTET)}`;

  private lastOctet = 0;

  readonly basePort = FIRST_PORT + 10 * Math.floor((Math.random() * PORT_SPAN) / 10);

  private readonly startedAt = performance.now();

  private readonly recordFile: string;

  private readonly closers: (() => void)[] = [];

  private readonly programs: Program[] = [];

  constructor(recordFile: string) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
  }

  /** Returns the time since the start of the run in ms. */
  nowMs(): number {
    return Math.round(performance.now() - this.startedAt);
  }

  /** Writes a line of the record. */
  note(text: string): void {
    appendFileSync(this.recordFile, `${String(this.nowMs()).padStart(7)} ms  ${text}\n`);
  }

  /** Returns the next unused loopback address of this run. */
  async host(): Promise<string> {
    this.lastOctet += 1;
    const host = `${this.net}.${this.lastOctet}`;
    if (!(await isFree(host, this.basePort))) throw new Error(`${host}:${this.basePort} is in use`);
    return host;
  }

  /** Keeps something to close at the end. */
  onClose(close: () => void): void {
    this.closers.push(close);
  }

  /** Prepares a process of the system on a machine of its own. */
  program(role: 'entry' | 'agent', fields: Settings & { readonly nodeName: string }): Program {
    const program = new Program(this.folder, role, fields, (name, code, signal) =>
      this.note(`process ${name} ended: code ${String(code)}, signal ${String(signal)}`),
    );
    this.programs.push(program);
    return program;
  }

  /** Returns the fields of the settings of a machine. */
  settings(
    nodeName: string,
    host: string,
    zone: string,
    seeds: readonly string[],
    storeAddress: string,
    extra: Settings = {},
  ): Settings & { readonly nodeName: string } {
    const { basePort } = this;
    return {
      nodeName,
      ip: host,
      zone,
      portRange: [basePort + 3, basePort + 4],
      listen: {
        front: `${host}:${basePort}`,
        ready: `${host}:${basePort + 1}`,
        control: `${host}:${basePort + 2}`,
      },
      seeds,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4_100, linkMbps: 1_000 },
      platform: { addr: storeAddress },
      bounds: BOUNDS,
      ...extra,
    };
  }

  /** Ends all processes and servers of the run. */
  close(): void {
    this.programs.forEach((program) => program.signal('SIGKILL'));
    this.closers.forEach((close) => close());
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stderr.write(`${this.folder}\n`);
  }
}
