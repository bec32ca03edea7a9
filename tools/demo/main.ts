import { once, setMaxListeners } from 'node:events';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { build } from 'hdr-histogram-js';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Pool } from 'undici';
import { calculateSpring } from '@bronzeyoke/standins';
import type { AdminCommand, AdminReply, ConfigChange } from '@bronzeyoke/types';
import type { DemoFleet } from './fleet';
import { HOST, startFleet, stopFleet } from './fleet';
import type { CallerCounts, OutWindow } from './report';
import { countTaskRuns, printProgress } from './report';
import { CO_OP, KESTREL } from './sites';

const { values } = parseArgs({
  options: {
    site: { type: 'string', default: 'co-op' },
    seed: { type: 'string', default: '1' },
    jobs: { type: 'string', default: '60' },
  },
});
const site = values.site === 'kestrel' ? KESTREL : CO_OP;
const jobCount = Number(values.jobs);
const generator = xoroshiro128plus(Number(values.seed));

const CALLER_COUNT = 8;
const THINK_MS = 10;
const TICKET_TIMEOUT_MS = 13_000;
const OUT_MS = 8_000;
const JOBS_TIMEOUT_MS = 60_000;
const WARM_UP_MS = 2_000;
const POLL_MS = 100;

const startedAtMs = performance.now();
const stopAll = new AbortController();
process.once('SIGINT', () => stopAll.abort());

const { signal } = stopAll;
setMaxListeners(0, signal);

/** Waits; returns early when the run is stopped. */
async function pause(ms: number): Promise<void> {
  await sleep(ms, undefined, { signal }).catch(() => undefined);
}

async function waitUntil(timeoutMs: number, isDone: () => Promise<boolean>): Promise<boolean> {
  const endsAtMs = performance.now() + timeoutMs;
  const poll = async (): Promise<boolean> => {
    if (await isDone()) return true;
    if (signal.aborted || performance.now() > endsAtMs) return false;
    await pause(POLL_MS);
    return poll();
  };
  return poll();
}

async function administer(
  fleet: DemoFleet,
  entry: number,
  command: AdminCommand,
): Promise<AdminReply> {
  const result = await fleet.entries[entry]?.administer(command);
  if (result?.ok !== true) throw new Error(`${command.kind}: ${JSON.stringify(result?.failure)}`);
  return result.value;
}

const histogram = build({ numberOfSignificantValueDigits: 3 });
let counts: CallerCounts = { sent: 0, right: 0, wrong: 0, refused: 0, unknown: 0 };

async function sendCheck(pool: Pool): Promise<void> {
  const spring = {
    springKind: 'compression',
    wireDiameterMm: 2,
    coilDiameterMm: 20,
    activeTurns: 8,
    material: 'musicWire',
    travelMm: uniformInt(generator, 1, 1_000),
  } as const;
  const sentAtMs = performance.now();
  const response = await pool.request({
    path: `/v1/services/${site.service}/price`,
    method: 'POST',
    body: JSON.stringify(spring),
  });
  const text = await response.body.text();
  histogram.recordValue(Math.round((performance.now() - sentAtMs) * 1_000));
  const isRight = text === JSON.stringify(calculateSpring(spring));
  counts = {
    sent: counts.sent + 1,
    right: counts.right + Number(response.statusCode === 200 && isRight),
    wrong: counts.wrong + Number(response.statusCode === 200 && !isRight),
    refused: counts.refused + Number(response.statusCode === 503),
    unknown: counts.unknown + Number(response.statusCode === 504),
  };
}

async function callLoop(pool: Pool, isOver: () => boolean): Promise<void> {
  if (isOver() || signal.aborted) return;
  await sendCheck(pool);
  await pause(THINK_MS);
  await callLoop(pool, isOver);
}

async function submitJobs(fleet: DemoFleet): Promise<readonly string[]> {
  const submissions = Array.from({ length: jobCount }, (_, index) => {
    const runMs = uniformInt(generator, 500, 6_000);
    return {
      team: site.team,
      key: `job-${index + 1}`,
      workKind: site.workKind,
      role: 'batch',
      declared: { processorsMilli: 4_000, memoryMb: 8_000, accelerators: 0 },
      // Declared run times are wrong by a factor of ten.
      declaredRunMs: runMs * (index % 2 === 0 ? 10 : 0.1),
      deadlineAtMs: Date.now() + JOBS_TIMEOUT_MS,
      urgency: index % 20 === 0 ? 'urgent' : 'normal',
      taskCount: 1,
      payload: JSON.stringify({ runMs }),
    } as const;
  });
  return submissions.reduce<Promise<readonly string[]>>(async (pending, submission, index) => {
    const ids = await pending;
    const command = { kind: 'submitJob', submission } as const;
    const reply = await administer(fleet, index % fleet.entries.length, command);
    // Every tenth job is submitted again through the other entry: it must stay one job.
    if (index % 10 === 0) await administer(fleet, (index + 1) % fleet.entries.length, command);
    return reply.kind === 'job' ? [...ids, reply.status.job.jobId] : ids;
  }, Promise.resolve([]));
}

async function applyTicket(fleet: DemoFleet, changes: readonly ConfigChange[]): Promise<number> {
  const current = await administer(fleet, 0, { kind: 'showConfiguration' });
  const number = current.kind === 'configuration' ? current.configuration.number + 1 : 1;
  await administer(fleet, 0, { kind: 'applyTicket', author: 'demo', number, changes });
  const acceptedAtMs = performance.now();
  const processes = fleet.entries.length + fleet.workers.length;
  const isEverywhere = await waitUntil(TICKET_TIMEOUT_MS, async () => {
    const replies = await Promise.all(
      fleet.entries.map((_, index) => administer(fleet, index, { kind: 'whereTicket', number })),
    );
    const ids = replies.flatMap((reply) =>
      reply.kind === 'where'
        ? reply.processes.filter((one) => one.number >= number).map(({ id }) => id)
        : [],
    );
    return new Set(ids).size >= processes;
  });
  const tookMs = Math.round(performance.now() - acceptedAtMs);
  const summary = changes.map((change) => `${change.kind} ${change.name}`).join(', ');
  const progress = isEverywhere
    ? `in force everywhere after ${tookMs} ms`
    : 'NOT in force everywhere';
  printProgress(startedAtMs, `ticket ${number} (${summary}): ${progress}`);
  return isEverywhere ? tookMs : Infinity;
}

async function countFinishedJobs(fleet: DemoFleet, ids: readonly string[]): Promise<number> {
  const states = await Promise.all(
    ids.map((jobId) => administer(fleet, 0, { kind: 'showJob', team: site.team, jobId })),
  );
  return states.filter(
    (reply) =>
      reply.kind === 'job' &&
      reply.status.tasks.length > 0 &&
      reply.status.tasks.every(({ row }) => row.state.kind === 'finished'),
  ).length;
}

async function run(fleet: DemoFleet): Promise<boolean> {
  const pools = fleet.entries.map(
    ({ callerPort }) => new Pool(`http://${HOST}:${callerPort}`, { connections: CALLER_COUNT }),
  );
  printProgress(startedAtMs, `${fleet.entries.length} entries, ${fleet.workers.length} agents`);
  await pause(WARM_UP_MS);
  const quota = { processorsMilli: 1e6, memoryMb: 1e7, accelerators: 0 };
  const firstTicketMs = await applyTicket(fleet, [{ kind: 'team', name: site.team, quota }]);
  let isOver = false;
  const callers = Promise.all(
    Array.from({ length: CALLER_COUNT }, (_, index) =>
      callLoop(pools[index % pools.length] as Pool, () => isOver),
    ),
  );
  const jobs = await submitJobs(fleet);
  printProgress(startedAtMs, `${jobs.length} jobs submitted`);
  await pause(WARM_UP_MS);
  const { movedDomain: name } = site;
  const fromMs = performance.now();
  const outMs = await applyTicket(fleet, [{ kind: 'domain', name, state: 'out' }]);
  await pause(OUT_MS);
  const outWindow: OutWindow = { domain: name, fromMs, untilMs: performance.now() };
  const backMs = await applyTicket(fleet, [{ kind: 'domain', name, state: 'in' }]);
  let done = 0;
  await waitUntil(JOBS_TIMEOUT_MS, async () => {
    const now = await countFinishedJobs(fleet, jobs);
    if (now !== done) printProgress(startedAtMs, `${now} of ${jobs.length} jobs finished`);
    done = now;
    return done === jobs.length;
  });
  isOver = true;
  await callers;
  await Promise.all(pools.map((pool) => pool.close()));
  const tasks = countTaskRuns(fleet, outWindow);
  const atMs = (percentile: number): string =>
    (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(2);
  const rows: readonly (readonly [string, string | number])[] = [
    ['quick checks sent', counts.sent],
    ['  answered right', counts.right],
    ['  answered wrong', counts.wrong],
    ['  refused as not run', counts.refused],
    ['  outcome unknown', counts.unknown],
    ['  p50 / p99 / p99.9 (ms)', `${atMs(50)} / ${atMs(99)} / ${atMs(99.9)}`],
    ['jobs submitted', jobs.length],
    ['  done once', tasks.finishedOnce],
    ['  done twice', tasks.finishedTwice],
    ['  lost', jobs.length - done],
    ['task starts', tasks.starts],
    ['  in two places at once', tasks.overlaps],
    [`starts in ${name} while out`, tasks.startsWhileOut],
    ['  later than 5 s', tasks.lateStarts],
    ['tickets in force (ms)', [firstTicketMs, outMs, backMs].join(' / ')],
    [
      'table transactions / reads',
      `${fleet.table.counts().transactions} / ${fleet.table.counts().reads}`,
    ],
  ];
  const lines = rows.map(([label, value]) => `${label.padEnd(30)} ${value}`);
  process.stdout.write(`\n${site.name}, seed ${values.seed}\n${lines.join('\n')}\n`);
  return (
    counts.wrong === 0 &&
    counts.right === counts.sent &&
    tasks.finishedTwice === 0 &&
    tasks.overlaps === 0 &&
    tasks.lateStarts === 0 &&
    done === jobs.length &&
    [firstTicketMs, outMs, backMs].every((tookMs) => tookMs <= TICKET_TIMEOUT_MS)
  );
}

const fleet = await startFleet(site);
const arePromisesKept = await Promise.race([run(fleet), once(signal, 'abort').then(() => false)]);
const isStopped = await Promise.race([
  stopFleet(fleet).then(() => true),
  new Promise<boolean>((resolve) => {
    setTimeout(() => resolve(false), 15_000).unref();
  }),
]);
if (!isStopped) process.stdout.write('the planned stop took longer than 15 s\n');
process.stdout.write(
  arePromisesKept ? 'all promises kept\n' : 'a promise was broken or the run was stopped\n',
);
process.exitCode = arePromisesKept && isStopped ? 0 : 1;
if (!isStopped) process.kill(process.pid);
