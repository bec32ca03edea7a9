import { Command, Option } from 'clipanion';
import { acceptValue } from '@bronzeyoke/decoding';
import type { LatencyCause } from '@bronzeyoke/latency';
import { LATENCY_CAUSES } from '@bronzeyoke/latency';
import { z } from 'zod';
import { BaseCommand } from './base';
import { CliError } from './error';
import { readLogLines } from './logline';
import { formatTable } from './table';

const lineSchema = z.looseObject({
  msg: z.literal('jobEnded'),
  job: z.string(),
  queue: z.string(),
  outcome: z.string(),
  totalMs: z.number(),
  path: z.string(),
  runs: z.number(),
  retryWaitMs: z.number(),
  lastTasksMs: z.number(),
});

type EndLine = z.infer<typeof lineSchema>;

/** Time by cause of one job, or the mean of several. */
interface LatencySummary {
  readonly title: string;
  readonly totalMs: number;
  readonly causes: readonly (readonly [cause: LatencyCause, ms: number])[];
  readonly retryWaitMs: number;
  readonly lastTasksMs: number;
}

/** Part of the jobs of a queue, by their times, that its table describes. */
const MIDDLE_FROM = 0.4;
const MIDDLE_TO = 0.6;

function meanOf(lines: readonly EndLine[], msOf: (line: EndLine) => number): number {
  return lines.reduce((sum, line) => sum + msOf(line), 0) / Math.max(1, lines.length);
}

function causeMs(line: EndLine, cause: LatencyCause): number {
  const ms = line[`${cause}Ms`];
  return typeof ms === 'number' ? ms : 0;
}

function summarize(title: string, lines: readonly EndLine[]): LatencySummary {
  return {
    title,
    totalMs: meanOf(lines, ({ totalMs }) => totalMs),
    causes: LATENCY_CAUSES.flatMap((cause): readonly [LatencyCause, number][] => {
      const ms = meanOf(lines, (line) => causeMs(line, cause));
      return ms === 0 ? [] : [[cause, ms]];
    }),
    retryWaitMs: meanOf(lines, ({ retryWaitMs }) => retryWaitMs),
    lastTasksMs: meanOf(lines, ({ lastTasksMs }) => lastTasksMs),
  };
}

/** Summarizes the jobs in the middle of each queue: a mean of all would be that of the slowest ones. */
function summarizeQueues(lines: readonly EndLine[]): readonly LatencySummary[] {
  return [...new Set(lines.map(({ queue }) => queue))].map((queue) => {
    const jobs = lines
      .filter((line) => line.queue === queue)
      .toSorted((left, right) => left.totalMs - right.totalMs);
    const middle = jobs.slice(
      Math.floor(jobs.length * MIDDLE_FROM),
      Math.max(1, Math.ceil(jobs.length * MIDDLE_TO)),
    );
    return summarize(`${queue}: the middle ${middle.length} of ${jobs.length} jobs`, middle);
  });
}

function seconds(ms: number): string {
  return (ms / 1_000).toFixed(2);
}

function formatSummary(summary: LatencySummary): string {
  const { title, totalMs, causes, retryWaitMs, lastTasksMs } = summary;
  const table = formatTable<readonly [cause: string, ms: number]>(
    [
      { title: 'CAUSE', cell: ([cause]) => cause },
      { title: 'SECONDS', cell: ([, ms]) => seconds(ms) },
      { title: 'SHARE', cell: ([, ms]) => `${Math.round((ms / Math.max(1, totalMs)) * 100)}%` },
    ],
    [...causes, ['total', totalMs]],
  );
  const notes = `of these: waits after a run ${seconds(retryWaitMs)}, last tasks of stages ${seconds(lastTasksMs)}`;
  return `${title}\n${table}${notes}\n`;
}

/** `logs latency` */
export class LogsLatency extends BaseCommand {
  static override paths = [['logs', 'latency']];

  static override usage = Command.Usage({
    category: 'State',
    description: 'tell where the time of a job, or of the middle jobs of each queue, went',
    examples: [
      ['Why did a job take long', 'cat *.log | bronzeyoke logs latency 5c0e7a21d94b36f8'],
      ['Why do jobs take long', 'cat *.log | bronzeyoke logs latency'],
    ],
  });

  id = Option.String({ required: false });

  async run(): Promise<number> {
    const lines: EndLine[] = [];
    await readLogLines(this.context.stdin, (line) => {
      const endLine = acceptValue(lineSchema, line);
      if (endLine !== undefined) lines.push(endLine);
    });
    const { id } = this;
    if (id === undefined) {
      const summaries = summarizeQueues(lines.filter(({ outcome }) => outcome === 'complete'));
      return this.print(summaries, summaries.map(formatSummary).join('\n'));
    }
    const found = lines.findLast(({ job }) => job === id);
    if (found === undefined) {
      const problems = [`${id}: no log line tells where its time went`];
      throw new CliError({ kind: 'settings', problems });
    }
    const { queue, outcome, path, runs } = found;
    const title = `${id} ${outcome} queue=${queue} path=${path} runs=${runs}`;
    const summary = summarize(title, [found]);
    return this.print(summary, formatSummary(summary));
  }
}
