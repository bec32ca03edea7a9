import { Command, Option } from 'clipanion';
import { jobStatusSchema } from './answers';
import { BaseCommand, readJsonFile, parseWholeNumber } from './base';

/** `job submit` */
export class JobSubmit extends BaseCommand {
  static override paths = [['job', 'submit']];

  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'submit a job from a file',
    details: 'The same team and key give the same job, so a submission can be repeated safely.',
    examples: [
      ['Submit a job', 'bronzeyoke job submit render.jsonc'],
      ['With a deadline in an hour', 'bronzeyoke job submit render.jsonc --deadline-in-ms 3600000'],
    ],
  });

  file = Option.String({ required: true });

  deadlineInMs = Option.String('--deadline-in-ms', {
    description: 'deadline from now, instead of deadlineAtMs of the file',
  });

  async run(): Promise<number> {
    const submission = await readJsonFile(this.file);
    const body =
      this.deadlineInMs === undefined
        ? submission
        : {
            ...submission,
            deadlineAtMs: Date.now() + parseWholeNumber('--deadline-in-ms', this.deadlineInMs),
          };
    const cliRequest = { method: 'POST', path: '/v1/jobs', body } as const;
    const status = await this.request(await this.client(), jobStatusSchema, cliRequest);
    return this.print(status, `${status.job.jobId}\n`);
  }
}
