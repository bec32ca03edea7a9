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
  actions: ['spawn', 'sendSigstop', 'sendSigcont', 'sendSigkill', 'sendSigterm', 'sendSighup'],
});

type ProgramEvent = 'start' | 'pause' | 'resume' | 'kill' | 'terminate' | 'reload' | 'exited';

/** Whether a program runs. */
export type ProgramState = StateOf<typeof programChart>;

/** One of the system's programs as a process of its own. */
export interface Program {
  readonly name: string;
  readonly send: (event: ProgramEvent) => void;
  readonly state: () => ProgramState;
}

/** Prepares a program; `start` runs it. Its output is appended to a file in `folder`. */
export async function createProgram(
  bundle: string,
  folder: string,
  settings: Readonly<Record<string, unknown>> & { readonly name: string },
): Promise<Program> {
  const { name } = settings;
  const file = join(folder, `${name}.jsonc`);
  await writeFile(file, JSON.stringify(settings));
  const output = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
  const life: { state: ProgramState; child?: ChildProcess } = {
    state: programChart.initial,
  };

  const startChild = (): ChildProcess => {
    const child = spawn(process.execPath, [bundle, file], { stdio: ['ignore', 'pipe', 'pipe'] });
    child.stdout.pipe(output, { end: false });
    child.stderr.pipe(output, { end: false });
    // An exit of a child that was replaced says nothing of the current one.
    child.once('exit', () => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and actions call each other
      if (life.child === child) send('exited');
    });
    return child;
  };

  const send = (event: ProgramEvent): void => {
    const next = advance(programChart, life.state, event);
    life.state = next.state;
    next.actions.forEach((action) => {
      switch (action) {
        case 'spawn':
          life.child = startChild();
          break;
        case 'sendSigstop':
          life.child?.kill('SIGSTOP');
          break;
        case 'sendSigcont':
          life.child?.kill('SIGCONT');
          break;
        case 'sendSigkill':
          life.child?.kill('SIGKILL');
          break;
        case 'sendSigterm':
          life.child?.kill('SIGTERM');
          break;
        case 'sendSighup':
          life.child?.kill('SIGHUP');
          break;
        default:
          assertNever(action);
      }
    });
  };
  return { name, send, state: () => life.state };
}
