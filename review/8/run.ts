/**
 * A leader whose process is killed and started again places tasks in a zone that was evacuated long before,
 * because it leads before it has read the operator's rows.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Bed } from '../lib-2/bed';
import { Load } from '../lib-2/load';
import { config, Site } from '../lib-2/site';

/** Link of the entries: the sheet of dcm-sched-grown gives 7 to 140 Mbit/s. */
const LINK_MBPS = 7;

/** Routes that one `big_config` adds, at its largest dose, and how often it comes. */
const MANY_ROUTES = 1_940;
const GROWTHS = 2;

/** `evacuateMs` of the sheets. */
const EVACUATE_MS = 5_000;
const ZONE = 'launceston';
const STARTUP_MS = 7_000;
const RESTART_MS = 300;
const AFTER_MS = 6_000;

/** Kills of the leader, one after the other, until the rule is broken. */
const KILLS = 4;
const JOB_INTERVAL_MS = 60;
const MIN_ACCEPTED = 50;

const hasTrouble = process.env.TROUBLE !== '0';
const bed = new Bed(process.argv[2] ?? 'record.txt');
const seen = { evacuatedAtMs: Infinity, starts: 0, startsInZone: 0, late: 0 };

const site = new Site(bed, {
  entries: ['hobart', 'hobart', 'hobart'],
  workers: ['hobart', 'hobart', ZONE, ZONE],
  capacity: { cpu: 64_000, memMb: 256_000, gpu: 0 },
  behaviourOf: () => ({ workMs: 300, fails: false }),
  entryLink: { mbps: LINK_MBPS },
  entrySettings: {
    limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4_100, linkMbps: LINK_MBPS },
  },
  onWorkerEvent: ({ kind, task, attempt, worker, zone }) => {
    if (kind !== 'started') return;
    seen.starts += 1;
    if (zone !== ZONE) return;
    seen.startsInZone += 1;
    const agoMs = bed.nowMs() - seen.evacuatedAtMs;
    if (agoMs <= EVACUATE_MS) return;
    seen.late += 1;
    bed.note(
      `START of ${task} (run ${attempt}) on ${worker} in ${zone}, evacuated ${agoMs} ms ago`,
    );
  },
});

async function play(): Promise<number> {
  await site.start(config(1));
  await sleep(STARTUP_MS);
  const load = new Load(site, {
    spec: 'quote',
    phases: [{ count: 6, cpu: 960, memMb: 1_900, estimateMs: 300 }],
  });
  load.start(JOB_INTERVAL_MS);
  await sleep(2_000);
  for (let growth = 1; growth <= GROWTHS; growth += 1) {
    site.store.put('op', 'config', config(1 + growth, growth * MANY_ROUTES));
    bed.note(`version ${1 + growth} is acknowledged, with ${growth * MANY_ROUTES} more routes`);
    // eslint-disable-next-line no-await-in-loop -- one change after the other
    await sleep(3_000);
  }
  const before = seen.startsInZone;
  site.store.put('op', `evacuate/${ZONE}`, {});
  seen.evacuatedAtMs = bed.nowMs();
  bed.note(`the evacuation of ${ZONE} is acknowledged; starts there until now: ${before}`);
  await sleep(EVACUATE_MS + 2_000);
  if (seen.late > 0 || before === 0 || load.accepted() < MIN_ACCEPTED) {
    bed.note(`not as expected before the trouble: ${load.summary()}`);
    return seen.late > 0 ? 1 : 2;
  }
  for (let kill = 0; kill < KILLS && seen.late === 0; kill += 1) {
    const leader = site.leader();
    if (leader === undefined) return 2;
    if (hasTrouble) {
      bed.note(
        `SIGKILL to ${leader.program.name}, which wrote last to the store under a condition`,
      );
      leader.program.signal('SIGKILL');
      // eslint-disable-next-line no-await-in-loop -- one disruption after the other
      await sleep(RESTART_MS);
      leader.program.start();
      bed.note(`${leader.program.name} is started again`);
    }
    // eslint-disable-next-line no-await-in-loop -- one disruption after the other
    await sleep(AFTER_MS);
  }
  await load.stop();
  bed.note(`starts: ${seen.starts}; jobs by answer: ${load.summary()}`);
  bed.note(
    `starts in ${ZONE} later than ${EVACUATE_MS} ms after the acknowledgement: ${seen.late}`,
  );
  return seen.late > 0 ? 1 : 0;
}

const code = await play().catch((error: unknown) => {
  bed.note(`the case could not run: ${String(error)}`);
  return 2;
});
bed.close();
// eslint-disable-next-line n/no-process-exit -- the exit code is the result of the case
process.exit(code);
