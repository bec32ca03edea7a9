/**
 * After all processes were killed, entries on a narrow link never read a long configuration again: the read
 * ends after 1.2 s and begins anew, so every job is refused for good.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Bed } from '../lib-2/bed';
import { Load } from '../lib-2/load';
import { config, Site } from '../lib-2/site';

/** The smallest entry of the sheet of dcm-sched-grown. */
const MACHINE = { cpuShare: 0.324, cores: 1, memoryMb: 250, maxFds: 4_100, linkMbps: 7 };

/** Routes that one `big_config` adds, at its largest dose, and how often it comes. */
const MANY_ROUTES = 1_940;
const GROWTHS = 3;
const GROWTH_INTERVAL_MS = 4_000;

/** `recoveryS` of the sheet. */
const RECOVERY_MS = 15_000;
const STARTUP_MS = 7_000;
const DOWN_MS = 1_000;
const WINDOW_MS = 12_000;
const JOB_INTERVAL_MS = 100;

const hasTrouble = process.env.TROUBLE !== '0';
const bed = new Bed(process.argv[2] ?? 'record.txt');
const seen = { starts: 0 };

const site = new Site(bed, {
  entries: ['hobart', 'launceston', 'devonport'],
  workers: ['hobart', 'launceston', 'devonport'],
  capacity: { cpu: 64_000, memMb: 256_000, gpu: 0 },
  behaviourOf: () => ({ workMs: 300, fails: false }),
  entryLink: { mbps: MACHINE.linkMbps },
  entrySettings: { limits: MACHINE },
  onWorkerEvent: ({ kind }) => {
    if (kind === 'started') seen.starts += 1;
  },
});

function noteShare(load: Load, fromMs: number, what: string): number {
  const { sent, served } = load.since(fromMs);
  bed.note(`${what}: ${served} of ${sent} requests served; starts until now: ${seen.starts}`);
  return sent === 0 ? 0 : served / sent;
}

async function play(): Promise<number> {
  await site.start(config(1));
  await sleep(STARTUP_MS);
  const load = new Load(site, {
    spec: 'quote',
    phases: [{ count: 4, cpu: 960, memMb: 1_900, estimateMs: 300 }],
  });
  load.start(JOB_INTERVAL_MS);
  for (let growth = 1; growth <= GROWTHS; growth += 1) {
    // eslint-disable-next-line no-await-in-loop -- one change after the other
    await sleep(GROWTH_INTERVAL_MS);
    site.store.put('op', 'config', config(1 + growth, growth * MANY_ROUTES));
    bed.note(`version ${1 + growth} is acknowledged, with ${growth * MANY_ROUTES} more routes`);
  }
  await sleep(GROWTH_INTERVAL_MS);
  const before = noteShare(load, bed.nowMs() - GROWTH_INTERVAL_MS, 'before the final fault');
  if (hasTrouble) {
    const programs = [...site.entries, ...site.sides].map(({ program }) => program);
    bed.note('SIGKILL to all processes of the system');
    programs.forEach((program) => program.signal('SIGKILL'));
    await sleep(DOWN_MS);
    programs.forEach((program) => program.start());
    bed.note('all processes are started again');
  }
  await sleep(RECOVERY_MS);
  const fromMs = bed.nowMs();
  await sleep(WINDOW_MS);
  await load.stop();
  const after = noteShare(load, fromMs, `later than ${RECOVERY_MS} ms after the return`);
  bed.note(`jobs by answer: ${load.summary()}`);
  if (before < 0.25) return 2;
  return after < 0.25 ? 1 : 0;
}

const code = await play().catch((error: unknown) => {
  bed.note(`the case could not run: ${String(error)}`);
  return 2;
});
bed.close();
// eslint-disable-next-line n/no-process-exit -- the exit code is the result of the case
process.exit(code);
