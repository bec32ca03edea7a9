import type { JobAnswer } from './answers';
import { sumBy } from './sum';

/** Counts the tasks of a job by state. Tasks that are not listed are pending. */
export function countTasks(status: JobAnswer): Readonly<Record<string, number>> {
  const counts = sumBy(status.tasks, ({ row }) => row.state.kind);
  const unlisted = status.job.taskCount - status.tasks.length;
  return unlisted <= 0 ? counts : { ...counts, pending: (counts.pending ?? 0) + unlisted };
}

/** Formats a job with its task counts as one line. */
export function formatJob(status: JobAnswer): string {
  const { job, isDone } = status;
  const tasks = Object.entries(countTasks(status))
    .map(([kind, count]) => `${count} ${kind}`)
    .join(', ');
  const state = job.cancelled ? 'cancelled' : 'open';
  return `job ${job.jobId} of team ${job.team} (${isDone ? 'done' : state}): ${tasks}\n`;
}
