import { readFile, stat } from 'node:fs/promises';
import type { Result } from '@bronzeyoke/types';
import { fail } from '@bronzeyoke/types';
import type { z } from 'zod';
import type { SettingsFault } from './fault';
import { describeFault } from './fault';
import { MAX_SETTINGS_BYTES, readSettings } from './read';

/** Exit code of a program whose settings or arguments are faulty. */
export const EXIT_SETTINGS = 2;

/** Reads a settings file. A file that cannot be read is a fault like any other. */
export async function readSettingsFile<Schema extends z.ZodType>(
  schema: Schema,
  fileName: string,
): Promise<Result<z.infer<Schema>, readonly SettingsFault[]>> {
  const place = { fileName, line: 1, column: 1, field: '' };
  try {
    const { size } = await stat(fileName);
    if (size > MAX_SETTINGS_BYTES) {
      return fail([{ ...place, problem: `larger than ${MAX_SETTINGS_BYTES} bytes` }]);
    }
    return readSettings(schema, fileName, await readFile(fileName, 'utf8'));
  } catch (error) {
    const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown error';
    return fail([{ ...place, problem: `cannot be read (${code})` }]);
  }
}

/** What a program is, for its command line. */
export interface ProgramContext {
  readonly name: string;
  readonly version: string;
  readonly argv: readonly string[];
  readonly print: (line: string) => void;
  readonly printError: (line: string) => void;
}

/** Settings of a program, or the exit code with which it ends at once. */
export type ProgramStart<Settings> =
  | { readonly kind: 'run'; readonly settings: Settings }
  | { readonly kind: 'end'; readonly exitCode: number };

/** Handles `<program> <settings file>`, `--help` and `--version`. */
export async function loadProgramSettings<Schema extends z.ZodType>(
  schema: Schema,
  program: ProgramContext,
): Promise<ProgramStart<z.infer<Schema>>> {
  const [first, ...rest] = program.argv;
  const usage = `usage: ${program.name} <settings file> | --help | --version`;
  if (first === '--version') {
    program.print(program.version);
    return { kind: 'end', exitCode: 0 };
  }
  if (first === '--help') {
    program.print(usage);
    return { kind: 'end', exitCode: 0 };
  }
  if (first === undefined || first.startsWith('-') || rest.length > 0) {
    program.printError(usage);
    return { kind: 'end', exitCode: EXIT_SETTINGS };
  }
  const settings = await readSettingsFile(schema, first);
  if (settings.ok) return { kind: 'run', settings: settings.value };
  settings.failure.map(describeFault).forEach(program.printError);
  return { kind: 'end', exitCode: EXIT_SETTINGS };
}

/** Starts a program with its settings. It ends with exit code 1 when `run` fails. */
export async function runProgram<Schema extends z.ZodType>(
  schema: Schema,
  name: string,
  version: string,
  run: (settings: z.infer<Schema>) => Promise<void>,
): Promise<void> {
  const printError = (line: string): void => {
    process.stderr.write(`${line}\n`);
  };
  const started = await loadProgramSettings(schema, {
    name,
    version,
    argv: process.argv.slice(2),
    print: (line) => process.stdout.write(`${line}\n`),
    printError,
  });
  if (started.kind === 'end') {
    process.exitCode = started.exitCode;
    return;
  }
  await run(started.settings).catch((error: unknown) => {
    printError(`${name}: ${error instanceof Error ? error.message : String(error)}`);
    // A part that started already would keep the process alive.
    // eslint-disable-next-line n/no-process-exit
    process.exit(1);
  });
}
