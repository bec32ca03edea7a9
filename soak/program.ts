import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { StateOf } from '@bronzeyoke/chart';
import { assertNever } from '@bronzeyoke/types';
import chartFile from './charts/program.json';

const programChart = compileChart(chartFile, {
  states: ['down', 'running', 'stalled', 'paused', 'stopping'],
  events: ['start', 'stall', 'proceed', 'pause', 'resume', 'kill', 'terminate', 'reload', 'exited'],
  actions: [
    'spawn',
    'sendSigstop',
    'sendSigcont',
    'sendSigkill',
    'sendSigterm',
    'sendSighup',
    'reportExit',
  ],
});

/** Event of a program. `stall` and `proceed` are the short stops of one with a share of a processor. */
type ProgramEvent =
  'start' | 'stall' | 'proceed' | 'pause' | 'resume' | 'kill' | 'terminate' | 'reload' | 'exited';

/** State of a program in the chart. */
export type ProgramState = StateOf<typeof programChart>;

/** A program of the system, run as a process of its own. */
export interface Program {
  readonly name: string;
  readonly send: (event: ProgramEvent) => void;
  readonly state: () => ProgramState;
}

/** Addresses of the proxies to which a program's connections go, by the address that it connects to. */
export type Routes = Readonly<Record<string, string>>;

const ROUTES_FILE = fileURLToPath(new URL('routes.cjs', import.meta.url));

/** Heaps of the roles in `deploy/system.toml`, in which documents of any shape have to find room. */
const HEAP_MB: Readonly<Record<string, number>> = { agent: 120, entry: 200 };
const DEFAULT_HEAP_MB = 200;

/** End of the output that is reported of a program that ends by itself; its last lines tell why. */
const REPORTED_OUTPUT_CHARS = 500;

/**
 * Prepares a program; the event `start` runs it. Its output is appended to a log in `folder`. `onOwnExit`
 * is called with the end of the output when it ends although nobody has stopped it.
 */
export async function createProgram(
  bundle: string,
  folder: string,
  settings: Readonly<Record<string, unknown>> & { readonly name: string },
  onOwnExit: (output: string) => void,
  routes: Routes = {},
): Promise<Program> {
  const { name } = settings;
  const file = join(folder, `${name}.jsonc`);
  await writeFile(file, JSON.stringify(settings));
  const output = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
  const current: { state: ProgramState; child?: ChildProcess; output: string } = {
    state: programChart.initial,
    output: '',
  };

  const startChild = (): ChildProcess => {
    const heapMb = HEAP_MB[String(settings.role)] ?? DEFAULT_HEAP_MB;
    const heap = `--max-old-space-size=${heapMb}`;
    const child = spawn(process.execPath, [heap, '--require', ROUTES_FILE, bundle, file], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, SOAK_ROUTES: JSON.stringify(routes) },
    });
    current.output = '';
    [child.stdout, child.stderr].forEach((stream) => {
      stream.pipe(output, { end: false });
      stream.on('data', (chunk: Buffer) => {
        current.output = `${current.output}${chunk.toString()}`.slice(-REPORTED_OUTPUT_CHARS);
      });
    });
    // Unlike `exit`, `close` follows the whole output. That of a replaced child must not change the state
    // of the current one.
    child.once('close', () => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and actions call each other
      if (current.child === child) send('exited');
    });
    return child;
  };

  const send = (event: ProgramEvent): void => {
    const next = advance(programChart, current.state, event);
    current.state = next.state;
    next.actions.forEach((action) => {
      switch (action) {
        case 'spawn':
          current.child = startChild();
          break;
        case 'sendSigstop':
          current.child?.kill('SIGSTOP');
          break;
        case 'sendSigcont':
          current.child?.kill('SIGCONT');
          break;
        case 'sendSigkill':
          current.child?.kill('SIGKILL');
          break;
        case 'sendSigterm':
          current.child?.kill('SIGTERM');
          break;
        case 'sendSighup':
          current.child?.kill('SIGHUP');
          break;
        case 'reportExit':
          onOwnExit(current.output);
          break;
        default:
          assertNever(action);
      }
    });
  };
  return { name, send, state: () => current.state };
}
