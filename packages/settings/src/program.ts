import { readFile, stat } from 'node:fs/promises';
import type { Result } from '@bronzeyoke/types';
import { fail } from '@bronzeyoke/types';
import type { z } from 'zod';
import type { SettingsFault } from './fault';
import { describeFault } from './fault';
import { MAX_SETTINGS_BYTES, readSettings } from './read';

/** Exit code for faulty settings or arguments. */
const EXIT_SETTINGS = 2;

/** Reads and checks a settings file. An unreadable file is reported as a fault. */
export async function readSettingsFile<Schema extends z.ZodType>(
  schema: Schema,
  fileName: string,
): Promise<Result<z.infer<Schema>, readonly SettingsFault[]>> {
  const start = { fileName, line: 1, column: 1, field: '' };
  try {
    const { size } = await stat(fileName);
    if (size > MAX_SETTINGS_BYTES) {
      return fail([{ ...start, problem: `larger than ${MAX_SETTINGS_BYTES} bytes` }]);
    }
    return readSettings(schema, fileName, await readFile(fileName, 'utf8'));
  } catch (error) {
    const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown error';
    return fail([{ ...start, problem: `cannot be read (${code})` }]);
  }
}

/** Name, version, arguments and output of a program. */
export interface ProgramContext {
  readonly name: string;
  readonly version: string;
  readonly argv: readonly string[];
  readonly print: (line: string) => void;
  readonly printError: (line: string) => void;
}

/** Settings to run with, or the exit code when the program ends at once. */
export type ProgramStart<Settings> =
  | { readonly kind: 'run'; readonly settings: Settings }
  | { readonly kind: 'end'; readonly exitCode: number };

/** Parses `<program> <settings file>`, `--help` and `--version`, and reads the settings file. */
async function loadProgramSettings<Schema extends z.ZodType>(
  schema: Schema,
  context: ProgramContext,
): Promise<ProgramStart<z.infer<Schema>>> {
  const [first, ...rest] = context.argv;
  const usage = `usage: ${context.name} <settings file> | --help | --version`;
  if (first === '--version') {
    context.print(context.version);
    return { kind: 'end', exitCode: 0 };
  }
  if (first === '--help') {
    context.print(usage);
    return { kind: 'end', exitCode: 0 };
  }
  if (first === undefined || first.startsWith('-') || rest.length > 0) {
    context.printError(usage);
    return { kind: 'end', exitCode: EXIT_SETTINGS };
  }
  const settings = await readSettingsFile(schema, first);
  if (settings.ok) return { kind: 'run', settings: settings.value };
  settings.failure.map(describeFault).forEach(context.printError);
  return { kind: 'end', exitCode: EXIT_SETTINGS };
}

/** Runs a program with the settings of its file. It ends with exit code 1 when `run` fails. */
export async function runProgram<Schema extends z.ZodType>(
  schema: Schema,
  name: string,
  version: string,
  run: (settings: z.infer<Schema>) => Promise<void>,
): Promise<void> {
  const printError = (line: string): void => {
    process.stderr.write(`${line}\n`);
  };
  const start = await loadProgramSettings(schema, {
    name,
    version,
    argv: process.argv.slice(2),
    print: (line) => process.stdout.write(`${line}\n`),
    printError,
  });
  if (start.kind === 'end') {
    process.exitCode = start.exitCode;
    return;
  }
  await run(start.settings).catch((error: unknown) => {
    printError(`${name}: ${error instanceof Error ? error.message : String(error)}`);
    // Servers and connections that are already open would keep the process alive.
    // eslint-disable-next-line n/no-process-exit
    process.exit(1);
  });
}
