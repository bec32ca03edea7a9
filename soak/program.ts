import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { StateOf } from '@bronzeyoke/chart';
import { assertNever } from '@bronzeyoke/types';
import chartFile from './charts/program.json';

const programChart = compileChart(chartFile, {
  states: ['down', 'running', 'paused', 'stopping'],
  events: ['start', 'pause', 'resume', 'kill', 'terminate', 'reload', 'exited'],
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

type ProgramEvent = 'start' | 'pause' | 'resume' | 'kill' | 'terminate' | 'reload' | 'exited';

/** State of a program in the chart. */
export type ProgramState = StateOf<typeof programChart>;

/** A program of the system, run as a process of its own. */
export interface Program {
  readonly name: string;
  readonly send: (event: ProgramEvent) => void;
  readonly state: () => ProgramState;
}

/**
 * Prepares a program; the event `start` runs it. Its output is appended to a log in `folder`. `onOwnExit`
 * is called when it ends although nobody has stopped it.
 */
export async function createProgram(
  bundle: string,
  folder: string,
  settings: Readonly<Record<string, unknown>> & { readonly name: string },
  onOwnExit: () => void,
): Promise<Program> {
  const { name } = settings;
  const file = join(folder, `${name}.jsonc`);
  await writeFile(file, JSON.stringify(settings));
  const output = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
  const current: { state: ProgramState; child?: ChildProcess } = {
    state: programChart.initial,
  };

  const startChild = (): ChildProcess => {
    const child = spawn(process.execPath, [bundle, file], { stdio: ['ignore', 'pipe', 'pipe'] });
    child.stdout.pipe(output, { end: false });
    child.stderr.pipe(output, { end: false });
    // The exit of a replaced child must not change the state of the current one.
    child.once('exit', () => {
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
          onOwnExit();
          break;
        default:
          assertNever(action);
      }
    });
  };
  return { name, send, state: () => current.state };
}
