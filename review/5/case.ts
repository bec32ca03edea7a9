import { setTimeout as sleep } from 'node:timers/promises';
import { runsOf } from '../lib/checks';
import { createClient, jobId } from '../lib/client';
import { runCase } from '../lib/main';
import { startSite } from '../lib/site';

const TASKS = 4;
const CPU = 2_000;
const JOB = jobId(1);

/** Task whose first run ends by itself in this case, and when. */
const ENDING_TASK = `${JOB}.0.0.1`;
const ENDS_AFTER_MS = 3_000;

/** A lasting task has to be at work again 6 s after its last run, and 3 s later at the latest. */
const AWAY_MS = 9_000;

const state = { hasTrouble: true };
const options = {
  edges: 3,
  sides: 4,
  cpu: 16_000,
  memMb: 64_000,
  guards: true,
  behaviourOf: (task: string, _spec: string, attempt: number) => ({
    runMs: state.hasTrouble && task === ENDING_TASK && attempt === 1 ? ENDS_AFTER_MS : Infinity,
    end: 'done' as const,
    cpu: CPU,
    memMb: 500,
  }),
};
const stage = { count: TASKS, cpu: CPU, memMb: 500, estimateMs: 400, longRunning: true };

await runCase(async (record, hasTrouble) => {
  state.hasTrouble = hasTrouble;
  const site = await startSite(options, record);
  try {
    const client = createClient(site.edges, record);
    if (!(await client.submit(JOB, { spec: 'wire watch', phases: [stage] }))) {
      return { broken: [], unfit: 'the job was not accepted' };
    }
    await sleep(ENDS_AFTER_MS + 2 * AWAY_MS);
    const shown = await client.state(JOB);
    const nowMs = record.nowMs();
    const runs = runsOf(record.sights());
    const away = Array.from({ length: TASKS }, (_, index) => `${JOB}.0.0.${index}`).flatMap(
      (task) => {
        const ends = runs.filter((run) => run.task === task).map(({ untilMs }) => untilMs);
        const awayMs = nowMs - Math.max(0, ...ends);
        return awayMs >= AWAY_MS ? [{ task, awayMs }] : [];
      },
    );
    return {
      broken: away.map(
        ({ task, awayMs }) =>
          `LOST: ${task} has not run for ${awayMs} ms, and its job is ${shown} and not cancelled`,
      ),
    };
  } finally {
    await site.close();
  }
});
