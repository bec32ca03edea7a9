import { Command, Option } from 'clipanion';
import type { JobListItem } from './answers';
import { jobsSchema } from './answers';
import { TeamCommand } from './team';
import { formatTable } from './table';

/** `job list` */
export class JobList extends TeamCommand {
  static override paths = [['job', 'list']];

  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'list jobs of a team',
    examples: [['List the next page', 'bronzeyoke job list --team renders --after 0b1c2d']],
  });

  after = Option.String('--after', '', { description: 'last job id of the page before' });

  limit = Option.String('--limit', '50', { description: 'most jobs to list' });

  async run(): Promise<number> {
    const path = this.jobsPath('', { after: this.after, limit: this.limit });
    const answer = await this.fetch(jobsSchema, path);
    const table = formatTable<JobListItem>(
      [
        { title: 'JOB', cell: (job) => job.jobId },
        { title: 'KEY', cell: (job) => job.key },
        { title: 'KIND', cell: (job) => job.workKind },
        { title: 'URGENCY', cell: (job) => job.urgency },
        { title: 'TASKS', cell: (job) => job.taskCount },
        { title: 'STATE', cell: (job) => (job.cancelled ? 'cancelled' : 'open') },
      ],
      answer.jobs,
    );
    return this.print(answer, table);
  }
}
