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
import type { SoakSite, SiteSize } from './site';
import { createConfig, startSite } from './site';
import type { PromiseViolation, Fault, PlannedFault, SoakObservation } from './types';

/** Time for the programs to start before callers and faults begin. */
const STARTUP_MS = 3_000;

/** Time without faults at the end, in which every accepted job has to end. */
const CALM_PERIOD_MS = 15_000;
const ORDER_DELAY_MS = 2_000;
const RESTART_CHECK_MS = 50;
const NO_FAULTS: PlatformFaults = { isStoreDown: false, losesAnswers: false };

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly forMs: number;
  readonly size: SiteSize;
  readonly callers: number;
  /** Path of the bundled program. */
  readonly bundle: string;
  /** Folder for the programs' settings and logs, and for the timeline. */
  readonly folder: string;
}

/** Result of a soak run. */
export interface SoakReport {
  readonly violations: readonly PromiseViolation[];
  readonly faults: readonly PlannedFault[];
  readonly observations: readonly SoakObservation[];
}

function elementAt<Value>(values: readonly Value[], index: number): Value {
  const value = values[index % values.length];
  if (value === undefined)
    throw new RangeError('the site has no part of the kind that the fault needs');
  return value;
}

/**
 * Starts a program again after a time. Waits while the program stops; one that an overlapping fault
 * has started already is left as it is.
 */
async function restart(program: Program, afterMs: number): Promise<void> {
  await sleep(afterMs);
  if (program.state() === 'stopping') {
    await restart(program, RESTART_CHECK_MS);
    return;
  }
  program.send('start');
}

/** Injects a fault and resolves when it is over. */
async function inject(site: SoakSite, fault: Fault): Promise<void> {
  const { programs, store } = site;
  const withStoreFaults = async (faults: Partial<PlatformFaults>, forMs: number): Promise<void> => {
    store.setFaults({ ...NO_FAULTS, ...faults });
    await sleep(forMs);
    store.setFaults(NO_FAULTS);
  };
  switch (fault.kind) {
    case 'kill': {
      const program = elementAt(programs, fault.program);
      program.send('kill');
      return restart(program, fault.forMs);
    }
    case 'killAll':
      programs.forEach((program) => program.send('kill'));
      await Promise.all(programs.map((program) => restart(program, fault.forMs)));
      return undefined;
    case 'terminate': {
      const program = elementAt(programs, fault.program);
      program.send('terminate');
      return restart(program, fault.forMs);
    }
    case 'pause': {
      const program = elementAt(programs, fault.program);
      program.send('pause');
      await sleep(fault.forMs);
      return program.send('resume');
    }
    case 'reload':
      return elementAt(programs, fault.program).send('reload');
    case 'link': {
      const link = elementAt(site.links, fault.link);
      link.setMode(fault.mode);
      await sleep(fault.forMs);
      return link.setMode({ kind: 'pass' });
    }
    case 'storeDown':
      return withStoreFaults({ isStoreDown: true }, fault.forMs);
    case 'storeSlow':
      return withStoreFaults({ storeDelayMs: fault.byMs }, fault.forMs);
    case 'storeLosesAnswers':
      return withStoreFaults({ losesAnswers: true }, fault.forMs);
    case 'storeWritesLate':
      return withStoreFaults({ lateWriteMs: fault.byMs }, fault.forMs);
    case 'storeForgets':
      return store.dropHistory();
    case 'workerCrash':
      return elementAt(site.workers, fault.worker).platform.crash();
    case 'ordersLate': {
      const { platform } = elementAt(site.workers, fault.worker);
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

/**
 * Runs the programs under faults and then without, and checks the observations of callers and
 * workers.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, forMs, size, folder } = options;
  const startedMs = performance.now();
  const nowMs = (): number => Math.round(performance.now() - startedMs);
  const observations: SoakObservation[] = [];
  const observe = (observation: SoakObservation): void => {
    observations.push(observation);
  };
  const site = await startSite(options.bundle, folder, size, observe, nowMs);
  const faults = planFaults(seed, forMs);
  const phase = { isCalm: false, isOver: false };
  await sleep(STARTUP_MS);
  const callers = drawUniforms(seedToUniform(seed), options.callers).map((random) =>
    runCaller(random, {
      entryAddresses: site.entryAddresses,
      observe,
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
  await sleep(CALM_PERIOD_MS);
  phase.isOver = true;
  await Promise.all(callers);
  const violations = findViolations(observations, nowMs());
  site.close();
  const timeline = [
    ...faults.map((planned) => JSON.stringify(planned)),
    ...observations.map((observation) => JSON.stringify(observation)),
    ...violations.map((violation) => JSON.stringify(violation)),
  ];
  await writeFile(join(folder, 'timeline.jsonl'), `${timeline.join('\n')}\n`);
  return { violations, faults, observations };
}
