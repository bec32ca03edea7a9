import { Command, Option } from 'clipanion';
import type { JobAnswer } from './answers';
import { jobStatusSchema } from './answers';
import { formatJob } from './progress';
import { formatTable } from './table';
import { TeamCommand } from './team';

/** `job show` */
export class JobShow extends TeamCommand {
  static override paths = [['job', 'show']];

  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'show a job with its tasks',
    examples: [['Show a job', 'bronzeyoke job show 0b1c2d --team renders']],
  });

  jobId = Option.String({ required: true });

  async run(): Promise<number> {
    const path = this.jobsPath(`/${encodeURIComponent(this.jobId)}`);
    const status = await this.fetch(jobStatusSchema, path);
    const table = formatTable<JobAnswer['tasks'][number]>(
      [
        { title: 'TASK', cell: (task) => task.id.index },
        { title: 'EPOCH', cell: (task) => task.row.epoch },
        { title: 'STATE', cell: (task) => task.row.state.kind },
        { title: 'WORKER', cell: ({ row }) => String(row.state.worker ?? '') },
      ],
      status.tasks,
    );
    return this.print(status, formatJob(status) + (status.tasks.length === 0 ? '' : table));
  }
}
