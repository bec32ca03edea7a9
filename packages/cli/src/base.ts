import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { parse } from 'jsonc-parser';
import { acceptValue } from '@bronzeyoke/decoding';
import { cliSettingsSchema, describeFault, readSettingsFile } from '@bronzeyoke/settings';
import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import type { z } from 'zod';
import type { Client, CliRequest } from './client';
import { createClient } from './client';
import { CliError } from './error';
import type { CliFault } from './fault';
import { EXIT_CODES } from './fault';

const DEFAULT_SETTINGS = 'bronzeyoke.jsonc';

/** Returns the value of a result, or ends the command with its fault. */
function unwrap<Value>(result: Result<Value, CliFault>): Value {
  if (!result.ok) throw new CliError(result.failure);
  return result.value;
}

/** Reads a settings file, or ends the command with the list of its faults. */
export async function readSettings<Schema extends z.ZodType>(
  schema: Schema,
  fileName: string,
): Promise<z.infer<Schema>> {
  const read = await readSettingsFile(schema, fileName);
  if (read.ok) return read.value;
  throw new CliError({ kind: 'settings', problems: read.failure.map(describeFault) });
}

/** Parses a whole number of at most 12 digits from the command line. */
export function parseWholeNumber(name: string, text: string): number {
  if (!/^\d{1,12}$/.test(text)) {
    throw new CliError({ kind: 'usage', problem: `${name}: "${text}" is not a whole number` });
  }
  return Number(text);
}

async function readText(fileName: string): Promise<Result<string, CliFault>> {
  try {
    return succeed(await readFile(fileName, 'utf8'));
  } catch (error) {
    const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown error';
    return fail({ kind: 'settings', problems: [`${fileName}: cannot be read (${code})`] });
  }
}

/** Reads a JSON object with comments from a file. The entry validates its content. */
export async function readJsonFile(fileName: string): Promise<Readonly<Record<string, unknown>>> {
  const text = unwrap(await readText(fileName));
  const value: unknown = parse(text, [], { allowTrailingComma: true });
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new CliError({ kind: 'settings', problems: [`${fileName}: not a JSON object`] });
  }
  return value as Readonly<Record<string, unknown>>;
}

/** Base of all commands: settings, bearer token, output and exit codes. */
export abstract class BaseCommand extends Command {
  settings = Option.String('--settings', {
    description: `settings file; else $BRONZEYOKE_SETTINGS or ${DEFAULT_SETTINGS}`,
  });

  json = Option.Boolean('--json', false, { description: 'print JSON instead of a table' });

  abstract run(): Promise<number>;

  async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      if (!(error instanceof CliError)) throw error;
      if (this.json) this.context.stdout.write(`${JSON.stringify({ fault: error.fault })}\n`);
      this.context.stderr.write(`${error.message}\n`);
      return EXIT_CODES[error.fault.kind];
    }
  }

  /** Prints a value as JSON, or its text. */
  print(value: unknown, text: string): number {
    this.context.stdout.write(this.json ? `${JSON.stringify(value)}\n` : text);
    return EXIT_CODES.done;
  }

  progress(text: string): void {
    this.context.stderr.write(`${text}\n`);
  }

  async client(): Promise<Client> {
    const { env } = this.context;
    const fileName = this.settings ?? env.BRONZEYOKE_SETTINGS ?? DEFAULT_SETTINGS;
    const settings = await readSettings(cliSettingsSchema, fileName);
    const { tokenFile } = settings;
    const envToken = env.BRONZEYOKE_TOKEN;
    const token =
      envToken ?? (tokenFile === undefined ? undefined : unwrap(await readText(tokenFile)).trim());
    return createClient(settings, token);
  }

  /** Reads from the first entry that answers, and checks the answer against a schema. */
  async fetch<Schema extends z.ZodType>(schema: Schema, path: string): Promise<z.infer<Schema>> {
    return this.request(await this.client(), schema, { method: 'GET', path });
  }

  /** Sends a request and checks the answer against a schema. */
  async request<Schema extends z.ZodType>(
    client: Client,
    schema: Schema,
    cliRequest: CliRequest,
  ): Promise<z.infer<Schema>> {
    const answer = acceptValue(schema, unwrap(await client.call(cliRequest)));
    if (answer !== undefined) return answer;
    const problem = `unexpected answer to ${cliRequest.path}: the entry may run another version`;
    this.progress(problem);
    throw new CliError({ kind: 'unknownOutcome', problem });
  }
}
