import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { assertNever, drawUniforms } from '@bronzeyoke/types';
import type { PlatformFaults } from '../platform/test/standin';
import { runCaller } from './caller';
import { findViolations } from './oracle';
import { planFaults, seedToUniform } from './plan';
import type { Program } from './program';
import type { Site, SiteSize } from './site';
import { createConfig, startSite } from './site';
import type { Violation, Fault, PlannedFault, Observation } from './types';

/** Time for programs to start before callers and faults come. */
const START_MS = 3_000;

/** Time without faults at the end, in which all that was accepted has to end. */
const CALM_MS = 15_000;
const ORDER_DELAY_MS = 2_000;
const RESTART_CHECK_MS = 50;
const NO_FAULTS: PlatformFaults = { isStoreDown: false, losesAnswers: false };

/** What a soak runs. */
export interface SoakOptions {
  readonly seed: number;
  readonly forMs: number;
  readonly size: SiteSize;
  readonly callers: number;
  /** Built program. */
  readonly bundle: string;
  /** Takes the programs' settings and logs, and the timeline. */
  readonly folder: string;
}

/** What a soak found. */
export interface SoakReport {
  readonly violations: readonly Violation[];
  readonly faults: readonly PlannedFault[];
  readonly observations: readonly Observation[];
}

function at<Value>(values: readonly Value[], index: number): Value {
  const value = values[index % values.length];
  if (value === undefined) throw new RangeError('a site has at least one of each part');
  return value;
}

/** Starts a program again unless an overlapping fault has done so. */
async function restart(program: Program, afterMs: number): Promise<void> {
  await sleep(afterMs);
  if (program.state() === 'stopping') {
    await restart(program, RESTART_CHECK_MS);
    return;
  }
  program.send('start');
}

/** Injects a fault, and resolves when it is over. */
async function inject(site: Site, fault: Fault): Promise<void> {
  const { programs, store } = site;
  const whileStore = async (faults: Partial<PlatformFaults>, forMs: number): Promise<void> => {
    store.setFaults({ ...NO_FAULTS, ...faults });
    await sleep(forMs);
    store.setFaults(NO_FAULTS);
  };
  switch (fault.kind) {
    case 'kill': {
      const program = at(programs, fault.program);
      program.send('kill');
      return restart(program, fault.forMs);
    }
    case 'killAll':
      programs.forEach((program) => program.send('kill'));
      await Promise.all(programs.map((program) => restart(program, fault.forMs)));
      return undefined;
    case 'terminate': {
      const program = at(programs, fault.program);
      program.send('terminate');
      return restart(program, fault.forMs);
    }
    case 'pause': {
      const program = at(programs, fault.program);
      program.send('pause');
      await sleep(fault.forMs);
      return program.send('resume');
    }
    case 'reload':
      return at(programs, fault.program).send('reload');
    case 'link': {
      const link = at(site.links, fault.link);
      link.setMode(fault.mode);
      await sleep(fault.forMs);
      return link.setMode({ kind: 'pass' });
    }
    case 'storeDown':
      return whileStore({ isStoreDown: true }, fault.forMs);
    case 'storeSlow':
      return whileStore({ storeDelayMs: fault.byMs }, fault.forMs);
    case 'storeLosesAnswers':
      return whileStore({ losesAnswers: true }, fault.forMs);
    case 'storeForgets':
      return store.dropHistory();
    case 'workerCrash':
      return at(site.workers, fault.worker).platform.crash();
    case 'ordersLate': {
      const { platform } = at(site.workers, fault.worker);
      platform.setFaults({ ...NO_FAULTS, orderDelayMs: ORDER_DELAY_MS });
      await sleep(fault.forMs);
      return platform.setFaults(NO_FAULTS);
    }
    case 'configure':
      return store.put('op', 'config', createConfig(Date.now()));
    default:
      return assertNever(fault);
  }
}

/** Runs the programs under faults, then in calm, and checks what callers and workers saw. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, forMs, size, folder } = options;
  const startedMs = performance.now();
  const nowMs = (): number => Math.round(performance.now() - startedMs);
  const sights: Observation[] = [];
  const see = (sight: Observation): void => {
    sights.push(sight);
  };
  const site = await startSite(options.bundle, folder, size, see, nowMs);
  const faults = planFaults(seed, forMs);
  const phase = { isCalm: false, isOver: false };
  await sleep(START_MS);
  const callers = drawUniforms(seedToUniform(seed), options.callers).map((random) =>
    runCaller(random, {
      entryAddresses: site.entryAddresses,
      observe: see,
      nowMs,
      isOver: () => phase.isOver,
      isCalm: () => phase.isCalm,
    }),
  );
  await Promise.all(
    faults.map(async ({ atMs, fault }) => {
      await sleep(atMs);
      await inject(site, fault);
    }),
  );
  phase.isCalm = true;
  await sleep(CALM_MS);
  phase.isOver = true;
  await Promise.all(callers);
  const breaches = findViolations(sights, nowMs());
  site.close();
  const timeline = [
    ...faults.map((planned) => JSON.stringify(planned)),
    ...sights.map((sight) => JSON.stringify(sight)),
    ...breaches.map((breach) => JSON.stringify(breach)),
  ];
  await writeFile(join(folder, 'timeline.jsonl'), `${timeline.join('\n')}\n`);
  return { violations: breaches, faults, observations: sights };
}
