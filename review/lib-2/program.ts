/** A process of the system, started with the command and the settings template of the deploy file. */

/* eslint-disable n/no-sync -- a line of a log has to be there when a run is ended */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { appendFileSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository: the bundle lies in `target/review-2`. */
const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Fields of the settings that the platform gives a process. */
export type Settings = Readonly<Record<string, unknown>>;

function lookUp(fields: Settings, path: string): unknown {
  return path
    .split('.')
    .reduce<unknown>((value, key) => (value as Settings | undefined)?.[key], fields);
}

/** Fills the placeholders of a settings template that DEPLOY.md describes. */
function render(template: string, fields: Settings): string {
  return template.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path: string, json?: string) => {
    const value = lookUp(fields, path);
    return json === undefined ? String(value) : JSON.stringify(value ?? null);
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
