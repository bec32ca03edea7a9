import { setTimeout as sleep } from 'node:timers/promises';
import { findTwice, runsOf } from '../lib/checks';
import { createClient, jobId } from '../lib/client';
import { call } from '../lib/http';
import { runCase } from '../lib/main';
import { startSite } from '../lib/site';

const TASK_MS = 5_000;
const TASKS = 8;
const [FIRST, SECOND] = [jobId(1), jobId(2)];

const options = {
  edges: 3,
  sides: 4,
  cpu: 16_000,
  memMb: 64_000,
  guards: true,
  behaviourOf: () => ({ runMs: TASK_MS, end: 'done' as const, cpu: 1_000, memMb: 500 }),
};
const job = {
  spec: 'load curve',
  phases: [{ count: TASKS, cpu: 1_000, memMb: 500, estimateMs: TASK_MS }],
};

/** Heartbeat of another writer. It is whole but for its service, which nothing names. */
const oddHeartbeat = (zone: string) => ({
  service: 'retired-service',
  addr: '127.0.0.1:9',
  zone,
  version: 'v1',
  slots: 8,
  state: 'ready',
  coldLeftMs: 0,
  capacity: { cpu: 16_000, memMb: 64_000, gpu: 0 },
  labels: ['a', 'r1-1'],
  clockMs: 1_000,
  seq: 1,
  born: Date.now(),
});

await runCase(async (record, hasTrouble) => {
  const site = await startSite(options, record);
  try {
    const client = createClient(site.edges, record);
    const isAccepted = await client.submit(FIRST, job);
    await sleep(1_500);
    const target = site.sides.find(({ worker }) => worker.runs().length > 0);
    if (!isAccepted || target === undefined) return { broken: [], unfit: 'no task has begun' };
    if (hasTrouble) {
      const { control, zone, agent } = target;
      const body = oddHeartbeat(zone);
      const { status } = await call(control, 'PUT', '/bronzeyoke/instances/i-other', { body });
      record.add('oddHeartbeat', { agent: agent.name, status });
    }
    await sleep(10_000);
    await client.state(FIRST);
    // The second job shows whether the worker is still used.
    await client.submit(SECOND, job);
    await sleep(7_000);
    await client.state(SECOND);
    const runs = runsOf(record.sights());
    const used = runs.filter(
      ({ worker, task }) => worker === target.worker.id && task.startsWith(SECOND),
    );
    record.add('secondJob', { worker: target.worker.id, runsThere: used.length });
    return { broken: findTwice(runs) };
  } finally {
    await site.close();
  }
});
