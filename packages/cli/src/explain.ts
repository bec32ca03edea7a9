import type { Readable } from 'node:stream';
import { Command, Option } from 'clipanion';
import { BaseCommand } from './base';
import { describeCrash } from './crashline';
import { CliError } from './error';
import type { LogLine } from './logline';
import { readLogLines } from './logline';
import { describePlaceWait } from './placewait';
import { sumBy } from './sum';

/** What the logs say of a job or a task. */
interface Excerpt {
  /** In time order. */
  readonly lines: readonly LogLine[];
  /** Lines about any job or task before which others of their event were left out. */
  readonly gaps: readonly LogLine[];
}

/** Fields that every line has, or that are printed in the first columns. */
const COMMON_FIELDS = new Set(['name', 'hostname', 'pid', 'level', 'time', 'msg', 'v']);

/** Returns whether a line is about a job, or about one of its tasks. */
function matchesId(line: LogLine, id: string): boolean {
  const { job = '', task = '' } = line;
  return job === id || task === id || task.startsWith(`${id}.`);
}

/** Formats a log line: time, host, event, its other fields, and what they mean for a wait or after a crash. */
function formatLogLine(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([key]) => !COMMON_FIELDS.has(key))
    .map(([key, value]) => `${key}=${String(value)}`);
  const description = describePlaceWait(line) ?? describeCrash(line);
  const words = description === undefined ? [] : [`(${description})`];
  return [line.time, line.hostname, line.msg, ...fields, ...words].join(' ');
}

function isGap({ job, task, leftOut = 0 }: LogLine): boolean {
  return leftOut > 0 && (job !== undefined || task !== undefined);
}

/** Lists how many lines were left out from the first line about an id on, by event. */
function formatGaps({ lines, gaps }: Excerpt, id: string): readonly string[] {
  const sinceTime = lines[0]?.time ?? '';
  const counts = sumBy(
    gaps.filter(({ time }) => time >= sinceTime),
    ({ msg }) => msg,
    ({ leftOut = 0 }) => leftOut,
  );
  const parts = Object.entries(counts).map(([event, count]) => `${event} ${count}`);
  return parts.length === 0
    ? []
    : [`lines left out, perhaps some about ${id}: ${parts.toSorted().join(', ')}`];
}

async function readExcerpt(input: Readable, id: string): Promise<Excerpt> {
  const lines: LogLine[] = [];
  const gaps: LogLine[] = [];
  await readLogLines(input, (line) => {
    if (matchesId(line, id)) lines.push(line);
    if (isGap(line)) gaps.push(line);
  });
  return { lines: lines.toSorted((left, right) => left.time.localeCompare(right.time)), gaps };
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
    const excerpt = await readExcerpt(this.context.stdin, this.id);
    const { lines } = excerpt;
    const gaps = formatGaps(excerpt, this.id);
    if (lines.length === 0) {
      const problems = [`${this.id}: no log line mentions it`, ...gaps];
      throw new CliError({ kind: 'settings', problems });
    }
    return this.print(lines, `${[...lines.map(formatLogLine), ...gaps].join('\n')}\n`);
  }
}
