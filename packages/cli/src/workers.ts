import { Command } from 'clipanion';
import type { z } from 'zod';
import { workersSchema } from './answers';
import { BaseCommand } from './base';
import { formatTable } from './table';

type Worker = z.infer<typeof workersSchema>['workers'][number];

/** `worker list` */
export class WorkerList extends BaseCommand {
  static override paths = [['worker', 'list']];

  static override usage = Command.Usage({
    category: 'State',
    description: 'list the workers known to an entry',
    examples: [['List workers', 'bronzeyoke worker list']],
  });

  async run(): Promise<number> {
    const path = '/v1/admin/workers';
    const answer = await this.fetch(workersSchema, path);
    const share = (free: number, total: number) => `${free}/${total}`;
    const table = formatTable<Worker>(
      [
        { title: 'WORKER', cell: ({ profile }) => profile.worker },
        { title: 'DOMAIN', cell: ({ profile }) => profile.domain },
        { title: 'RACK', cell: ({ profile }) => profile.rack },
        {
          title: 'FREE MILLI',
          cell: ({ free, profile }) => share(free.processorsMilli, profile.total.processorsMilli),
        },
        {
          title: 'FREE MB',
          cell: ({ free, profile }) => share(free.memoryMb, profile.total.memoryMb),
        },
        { title: 'HEALTH', cell: (worker) => worker.health },
        { title: 'TICKET', cell: (worker) => worker.ticketInForce },
      ],
      answer.workers,
    );
    return this.print(answer, table);
  }
}
