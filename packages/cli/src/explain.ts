import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { Command, Option } from 'clipanion';
import { z } from 'zod';
import { BaseCommand } from './base';
import { CliError } from './error';

const lineSchema = z.looseObject({
  time: z.string(),
  hostname: z.string(),
  msg: z.string(),
  job: z.string().optional(),
  task: z.string().optional(),
});

type LogLine = z.infer<typeof lineSchema>;

/** Fields that every line has, or that are printed in the first columns. */
const COMMON_FIELDS = new Set(['name', 'hostname', 'pid', 'level', 'time', 'msg', 'v']);

/** Parses a log line. Text before its first brace is skipped. */
function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start === -1) return undefined;
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Returns whether a line is about a job, or about one of its tasks. */
function matchesId(line: LogLine, id: string): boolean {
  const { job = '', task = '' } = line;
  return job === id || task === id || task.startsWith(`${id}.`);
}

/** Formats a log line: time, host, event, and its other fields. */
function formatLogLine(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([key]) => !COMMON_FIELDS.has(key))
    .map(([key, value]) => `${key}=${String(value)}`);
  return [line.time, line.hostname, line.msg, ...fields].join(' ');
}

async function readMatchingLines(input: Readable, id: string): Promise<readonly LogLine[]> {
  const lines: LogLine[] = [];
  const reader = createInterface({ input, crlfDelay: Infinity });
  reader.on('line', (text) => {
    const line = parseLogLine(text);
    if (line !== undefined && matchesId(line, id)) lines.push(line);
  });
  await new Promise((resolve) => {
    reader.once('close', resolve);
  });
  return lines.toSorted((left, right) => left.time.localeCompare(right.time));
}

/** `logs explain` */
export class LogsExplain extends BaseCommand {
  static override paths = [['logs', 'explain']];

  static override usage = Command.Usage({
    category: 'State',
    description: 'print the log lines of a job or a task from standard input, in time order',
    examples: [['Why was a job late', 'cat *.log | bronzeyoke logs explain 5c0e7a21d94b36f8']],
  });

  id = Option.String({ required: true });

  async run(): Promise<number> {
    const lines = await readMatchingLines(this.context.stdin, this.id);
    if (lines.length === 0) {
      throw new CliError({ kind: 'settings', problems: [`${this.id}: no log line mentions it`] });
    }
    return this.print(lines, `${lines.map(formatLogLine).join('\n')}\n`);
  }
}
