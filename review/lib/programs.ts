import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { CaseRecord } from './record';

/** A role of the deploy file. */
interface Role {
  readonly command: readonly string[];
  readonly template: string;
}

/** Fields of the platform with which templates are filled in. */
export type Fields = Readonly<Record<string, unknown>>;

/** A program of the system, run as the deploy file says. */
export interface Program {
  readonly name: string;
  readonly host: string;
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly start: () => void;
}

/** Reads a role of the deploy file. The case runs in the root of the repository. */
export async function readRole(role: string): Promise<Role> {
  const text = await readFile('deploy/system.toml', 'utf8');
  const section = text.split(/^\[/m).find((part) => part.startsWith(`roles.${role}]`)) ?? '';
  const valueOf = (name: string): string =>
    new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)?.[1] ?? '';
  return { command: valueOf('run').split(' '), template: valueOf('template') };
}

/** Fills in a template with the fields of a process. */
export async function fillIn(template: string, fields: Fields): Promise<string> {
  const text = await readFile(template, 'utf8');
  return text.replace(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_, path: string, isJson: string | undefined) => {
      const value = path
        .split('.')
        .reduce<unknown>((inner, name) => (inner as Fields | undefined)?.[name], fields);
      if (isJson !== undefined) return JSON.stringify(value ?? null);
      return value === undefined ? '' : String(value);
    },
  );
}

const takenPorts = new Set<number>();

/** Returns a port that is free on a loopback address and that this process has not returned before. */
export async function freePort(host: string): Promise<number> {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  if (takenPorts.has(port)) return freePort(host);
  takenPorts.add(port);
  return port;
}

/** Starts programs in a temporary folder, and ends those that are left. */
export interface Programs {
  readonly add: (name: string, role: string, host: string, fields: Fields) => Promise<Program>;
  readonly close: () => Promise<void>;
}

/** Prepares the temporary folder. Logs of the programs are kept if `LOGS` names a folder. */
export async function createPrograms(record: CaseRecord): Promise<Programs> {
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const logs = process.env.LOGS;
  const children = new Set<ChildProcess>();
  const state = { isClosing: false };
  const add = async (
    name: string,
    roleName: string,
    host: string,
    fields: Fields,
  ): Promise<Program> => {
    const role = await readRole(roleName);
    const file = join(folder, `${name}.jsonc`);
    await writeFile(file, await fillIn(role.template, fields));
    const output =
      logs === undefined ? undefined : createWriteStream(join(logs, `${name}.log`), { flags: 'a' });
    const current: { child?: ChildProcess; isAsked: boolean } = { isAsked: false };
    return {
      name,
      host,
      start: () => {
        const [program = 'node', ...words] = role.command;
        const child = spawn(program, words, {
          stdio: ['ignore', 'pipe', 'pipe'],
          env: { PATH: process.env.PATH, HOME: folder, BRONZEYOKE_NODE_FILE: file },
        });
        children.add(child);
        current.child = child;
        current.isAsked = false;
        [child.stdout, child.stderr].forEach((stream) => {
          if (output === undefined) stream.resume();
          else stream.pipe(output, { end: false });
        });
        child.once('exit', (code, signal) => {
          children.delete(child);
          const how = current.isAsked || state.isClosing ? 'exit' : 'ownExit';
          record.add(how, { program: name, code: code ?? -1, signal: signal ?? '' });
        });
      },
      signal: (signal) => {
        if (signal === 'SIGKILL' || signal === 'SIGTERM') current.isAsked = true;
        record.add('signal', { program: name, signal });
        current.child?.kill(signal);
      },
    };
  };
  // Also when the case ends in the middle.
  process.once('exit', () => [...children].forEach((child) => child.kill('SIGKILL')));
  return {
    add,
    close: async () => {
      state.isClosing = true;
      [...children].forEach((child) => child.kill('SIGKILL'));
      await rm(folder, { recursive: true, force: true });
    },
  };
}
