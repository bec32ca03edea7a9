import { Command, Option } from 'clipanion';
import { jobStatusSchema } from './answers';
import { formatJob } from './progress';
import { TeamCommand } from './team';

/** `job cancel` */
export class JobCancel extends TeamCommand {
  static override paths = [['job', 'cancel']];

  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'cancel a job',
    examples: [['Cancel a job', 'bronzeyoke job cancel 0b1c2d --team renders']],
  });

  jobId = Option.String({ required: true });

  async run(): Promise<number> {
    const path = this.jobsPath(`/${encodeURIComponent(this.jobId)}/cancel`);
    const status = await this.request(await this.client(), jobStatusSchema, {
      method: 'POST',
      path,
    });
    return this.print(status, formatJob(status));
  }
}
