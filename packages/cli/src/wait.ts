import { Command, Option } from 'clipanion';
import type { JobAnswer } from './answers';
import { jobStatusSchema } from './answers';
import { parseWholeNumber } from './base';
import type { Client } from './client';
import { CliError } from './error';
import { countTasks, formatJob } from './progress';
import { TeamCommand } from './team';

const MAX_WAIT_MS = 10_000;

/** `job wait` */
export class JobWait extends TeamCommand {
  static override paths = [['job', 'wait']];

  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'wait until a job is done',
    details: `
      Exit code 0 means that all tasks finished, 8 that some were cancelled or set aside, 7 that the
      time limit passed first.
    `,
    examples: [['Wait for a minute', 'bronzeyoke job wait 0b1c2d --timeout-ms 60000']],
  });

  jobId = Option.String({ required: true });

  timeoutMs = Option.String('--timeout-ms', '3600000', { description: 'longest wait' });

  async poll(client: Client, deadlineAtMs: number): Promise<JobAnswer> {
    const leftMs = Math.max(0, deadlineAtMs - Date.now());
    const timeoutMs = String(Math.round(Math.min(MAX_WAIT_MS / 2, leftMs)));
    const path = this.jobsPath(`/${encodeURIComponent(this.jobId)}/wait`, { timeoutMs });
    const status = await this.request(client, jobStatusSchema, { method: 'GET', path });
    if (status.isDone || Date.now() >= deadlineAtMs) return status;
    this.progress(formatJob(status).trimEnd());
    return this.poll(client, deadlineAtMs);
  }

  async run(): Promise<number> {
    const status = await this.poll(
      await this.client(),
      Date.now() + parseWholeNumber('--timeout-ms', this.timeoutMs),
    );
    this.print(status, formatJob(status));
    const { jobId } = this;
    if (!status.isDone) throw new CliError({ kind: 'timedOut', waitedFor: `job ${jobId}` });
    const finished = countTasks(status).finished ?? 0;
    if (finished < status.job.taskCount) throw new CliError({ kind: 'jobFailed', jobId });
    return 0;
  }
}
