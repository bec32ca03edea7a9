import { setTimeout as sleep } from 'node:timers/promises';
import { runsOf } from '../lib/checks';
import { createClient, jobId } from '../lib/client';
import { runCase } from '../lib/main';
import type { Site } from '../lib/site';
import { startSite } from '../lib/site';

const LONG_MS = 60_000;
const SHORT_MS = 1_000;
/** Jobs that are cancelled: 4 of the first 12, a third. */
const CANCELLED = [1, 2, 3, 4];
const OTHERS = [5, 6, 7, 8, 9, 10, 11, 12];
const NEW_JOB = jobId(13);

/** Times of the pages: how long the killed machine is down, `finish_s`, and the idle time of LOST. */
const DOWN_MS = 3_500;
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;

const isLong = (task: string): boolean =>
  CANCELLED.some((number) => task.startsWith(jobId(number)));

const options = {
  edges: 3,
  sides: 4,
  cpu: 16_000,
  memMb: 64_000,
  guards: true,
  behaviourOf: (task: string) => ({
    runMs: isLong(task) ? LONG_MS : SHORT_MS,
    end: 'done' as const,
    cpu: 1_000,
    memMb: 500,
  }),
};
const jobOf = (count: number, estimateMs: number) => ({
  spec: 'load curve',
  phases: [{ count, cpu: 1_000, memMb: 500, estimateMs }],
});

const runningOn = ({ sides }: Site): number =>
  sides.reduce((sum, { worker }) => sum + worker.runs().length, 0);

await runCase(async (record, hasTrouble) => {
  const site = await startSite(options, record);
  try {
    const client = createClient(site.edges, record);
    await Promise.all(OTHERS.map((number) => client.submit(jobId(number), jobOf(4, SHORT_MS))));
    await sleep(3_000);
    // These fill the 64 cores of the four workers.
    await Promise.all(CANCELLED.map((number) => client.submit(jobId(number), jobOf(16, LONG_MS))));
    await sleep(4_000);
    const running = runningOn(site);
    record.add('running', { tasks: running });
    if (running < 64) return { broken: [], unfit: `only ${running} tasks run` };
    if (hasTrouble) {
      const leader = site.leader();
      client.avoid(leader);
      leader.entry.signal('SIGKILL');
      setTimeout(() => {
        leader.entry.start();
        client.avoid(undefined);
      }, DOWN_MS);
    }
    await Promise.all(CANCELLED.map((number) => client.cancel(jobId(number))));
    await sleep(9_000);
    record.add('afterCancelling', { tasks: runningOn(site) });
    const isAccepted = await client.submit(NEW_JOB, jobOf(4, SHORT_MS));
    if (!isAccepted) return { broken: [], unfit: 'the new job was not accepted' };
    const acceptedMs = record.nowMs();
    await sleep(FINISH_MS + IDLE_MS + 1_000);
    const shown = await client.state(NEW_JOB);
    const began = runsOf(record.sights()).filter(({ task }) => task.startsWith(NEW_JOB));
    const idleMs = record.nowMs() - acceptedMs;
    record.add('newJob', { state: shown, runs: began.length, afterMs: idleMs });
    record.add('workers', { tasks: runningOn(site) });
    const text = `LOST: job ${NEW_JOB} is ${shown}, and nothing of it has run for ${idleMs} ms`;
    return { broken: began.length === 0 ? [`${text} on four empty workers`] : [] };
  } finally {
    await site.close();
  }
});
