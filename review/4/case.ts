import { setTimeout as sleep } from 'node:timers/promises';
import { runsOf } from '../lib/checks';
import { createClient, jobId } from '../lib/client';
import { runCase } from '../lib/main';
import { startSite } from '../lib/site';

/** `cancel_ms`, and when the store performs the transaction that it left unanswered. */
const CANCEL_MS = 3_000;
const LATE_MS = 5_500;

const CPU = 16_000;
const BLOCKER = jobId(1);
const CANCELLED = jobId(2);
const BLOCK_MS = 16_000;
const WORK_MS = 5_000;

const options = {
  edges: 3,
  sides: 2,
  cpu: CPU,
  memMb: 64_000,
  guards: true,
  behaviourOf: (task: string) => ({
    runMs: task.startsWith(BLOCKER) ? BLOCK_MS : WORK_MS,
    end: 'done' as const,
    cpu: CPU,
    memMb: 500,
  }),
};
const jobOf = (estimateMs: number) => ({
  spec: 'load curve',
  phases: [{ count: 2, cpu: CPU, memMb: 500, estimateMs }],
});

await runCase(async (record, hasTrouble) => {
  const site = await startSite(options, record);
  try {
    const client = createClient(site.edges, record);
    // Fills the workers, so that nothing else starts before the store has been calm for long.
    await client.submit(BLOCKER, jobOf(BLOCK_MS));
    await sleep(2_000);
    if (hasTrouble) site.store.loseNext(CANCELLED, LATE_MS);
    // The client hands the job in once. Then it cancels the job, whatever the answer was.
    await client.submit(CANCELLED, jobOf(WORK_MS), 0);
    const isCancelled = await client.cancel(CANCELLED);
    const cancelledMs = record.nowMs();
    if (!isCancelled) return { broken: [], unfit: 'the cancelling was not acknowledged' };
    await sleep(BLOCK_MS + 2 * WORK_MS);
    await client.state(CANCELLED);
    const late = runsOf(record.sights()).filter(
      ({ task, fromMs }) => task.startsWith(CANCELLED) && fromMs > cancelledMs + CANCEL_MS,
    );
    return {
      broken: late.map(
        ({ task, worker, fromMs }) =>
          `UNASKED: ${task} starts on ${worker} ${fromMs - cancelledMs} ms after the job's cancelling was acknowledged`,
      ),
    };
  } finally {
    await site.close();
  }
});
