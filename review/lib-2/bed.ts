/** Folder, addresses, record and processes of a run on loopback addresses. */

/* eslint-disable n/no-sync -- a line of the record has to be there when a run is ended */
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import type { Settings } from './program';
import { Program } from './program';

/** Exit code of a case that could not run. */
const COULD_NOT_RUN = 2;
const MAX_LOOPBACK_OCTET = 250;
const FIRST_PORT = 20_000;
const PORT_SPAN = 8_000;

/** Bounds and limits of the site dcm-sched, as its sheet gives them. */
const BOUNDS = { graceS: 6, holdMaxMs: 10_000, leaseMs: 3_000, status_s: 120 };

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
    // A fault of a stand-in is no broken rule.
    process.once('uncaughtException', (error) => {
      this.note(`the case could not run: ${String(error)}`);
      this.close();
      // eslint-disable-next-line n/no-process-exit -- the exit code is the result of the case
      process.exit(COULD_NOT_RUN);
    });
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
