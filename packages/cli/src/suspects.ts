import { Command } from 'clipanion';
import { z } from 'zod';
import { acceptValue } from '@bronzeyoke/decoding';
import { BaseCommand } from './base';
import type { LogLine } from './logline';
import { readLogLines } from './logline';
import { formatTable } from './table';

const lineSchema = z.discriminatedUnion('msg', [
  z.object({
    msg: z.literal('taskSuspected'),
    task: z.string(),
    job: z.string(),
    worker: z.string(),
    prompt: z.number(),
    slow: z.number(),
    alone: z.number(),
    isSuspect: z.boolean(),
  }),
  z.object({ msg: z.literal('taskCleared'), task: z.string() }),
  z.object({
    msg: z.literal('jobEnded'),
    job: z.string(),
    outcome: z.string(),
    failure: z.string().optional(),
  }),
]);

type SuspicionLine = Extract<z.infer<typeof lineSchema>, { msg: 'taskSuspected' }>;

/** A task under which workers have crashed, and what became of it. */
interface SuspectRow extends SuspicionLine {
  readonly state: 'suspected' | 'notSuspected' | 'cleared' | 'givenUp' | 'jobEnded';
}

function applyLine(rows: ReadonlyMap<string, SuspectRow>, line: unknown): typeof rows {
  const data = acceptValue(lineSchema, line);
  if (data === undefined) return rows;
  switch (data.msg) {
    case 'taskSuspected': {
      const state = data.isSuspect ? 'suspected' : 'notSuspected';
      return new Map([...rows, [data.task, { ...data, state }]]);
    }
    case 'taskCleared': {
      const known = rows.get(data.task);
      if (known === undefined) return rows;
      return new Map([...rows, [data.task, { ...known, state: 'cleared' }]]);
    }
    case 'jobEnded': {
      const state = data.failure === 'workersCrashed' ? 'givenUp' : 'jobEnded';
      return new Map(
        [...rows].map(([task, row]) => [task, row.job === data.job ? { ...row, state } : row]),
      );
    }
  }
}

/** `logs suspects` */
export class LogsSuspects extends BaseCommand {
  static override paths = [['logs', 'suspects']];

  static override usage = Command.Usage({
    category: 'State',
    description: 'list the tasks in the logs on standard input under which workers have crashed',
    examples: [['Which tasks crash workers', 'cat *.log | bronzeyoke logs suspects']],
  });

  async run(): Promise<number> {
    const lines: LogLine[] = [];
    await readLogLines(this.context.stdin, (line) => {
      if (acceptValue(lineSchema, line) !== undefined) lines.push(line);
    });
    const rows = lines
      .toSorted((left, right) => left.time.localeCompare(right.time))
      .reduce(applyLine, new Map<string, SuspectRow>());
    const suspects = [...rows.values()];
    const table = formatTable<SuspectRow>(
      [
        { title: 'TASK', cell: ({ task }) => task },
        { title: 'STATE', cell: ({ state }) => state },
        { title: 'CRASHES', cell: ({ prompt, slow }) => prompt + slow },
        { title: 'ALONE', cell: ({ alone }) => alone },
        { title: 'LAST WORKER', cell: ({ worker }) => worker },
      ],
      suspects,
    );
    return this.print(suspects, table);
  }
}
