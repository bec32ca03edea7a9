import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { assertNever } from '@bronzeyoke/types';
import type { PlatformFaults } from '../platform/test/standin';
import type { SoakWorker } from './heartbeat';
import { sendOddMessages } from './oddwriter';
import type { Program } from './program';
import type { SoakLink, SoakSite } from './site';
import { createConfig } from './site';
import type { Fault, Hop, OddMessages, Scope } from './types';

const ORDER_DELAY_MS = 2_000;
const RESTART_CHECK_MS = 50;
const ODD_INTERVAL_MS = 300;
const STALL_PERIOD_MS = 100;
const NO_FAULTS: PlatformFaults = { isStoreDown: false, losesAnswers: false };

function elementAt<Value>(values: readonly Value[], index: number): Value {
  const value = values[index % values.length];
  if (value === undefined)
    throw new RangeError('the site has no part of the kind that the fault needs');
  return value;
}

/** Returns the parts that a fault strikes. */
function inScope<Part extends { readonly domain: number }>(
  parts: readonly Part[],
  scope: Scope,
): readonly Part[] {
  switch (scope.kind) {
    case 'one':
      return [elementAt(parts, scope.index)];
    case 'domain': {
      const domains = [...new Set(parts.map(({ domain }) => domain))];
      const struck = elementAt(domains, scope.index);
      return parts.filter(({ domain }) => domain === struck);
    }
    case 'all':
      return parts;
    default:
      return assertNever(scope);
  }
}

function linksOf(site: SoakSite, hop: Hop): readonly SoakLink[] {
  return site.links.filter((link) => link.hop === hop);
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

/** Stops and continues programs by turns until a time, so that they run for a share of it. */
async function stallByTurns(
  programs: readonly Program[],
  percent: number,
  untilMs: number,
): Promise<void> {
  const runMs = (STALL_PERIOD_MS * percent) / 100;
  programs.forEach((program) => program.send('stall'));
  await sleep(STALL_PERIOD_MS - runMs);
  programs.forEach((program) => program.send('proceed'));
  await sleep(runMs);
  if (performance.now() < untilMs) await stallByTurns(programs, percent, untilMs);
}

/** Sends odd messages of a worker until a time. */
async function repeatOddMessages(
  worker: SoakWorker,
  messages: OddMessages,
  untilMs: number,
): Promise<void> {
  // The agent may be down; the next messages follow after the interval.
  await sendOddMessages(worker, messages).catch(() => undefined);
  await sleep(ODD_INTERVAL_MS);
  if (performance.now() < untilMs) await repeatOddMessages(worker, messages, untilMs);
}

/** Injects a fault and resolves when it is over. */
export async function inject(site: SoakSite, fault: Fault): Promise<void> {
  const { store } = site;
  const programs = site.nodes.map(({ program }) => program);
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
    case 'slowProcessor': {
      const slowed = inScope(site.nodes, fault.scope).map(({ program }) => program);
      return stallByTurns(slowed, fault.percent, performance.now() + fault.forMs);
    }
    case 'link': {
      const links = inScope(linksOf(site, fault.hop), fault.scope);
      links.forEach(({ proxy }) => proxy.setMode(fault.mode));
      await sleep(fault.forMs);
      return links.forEach(({ proxy }) => proxy.setMode({ kind: 'pass' }));
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
    case 'oddMessages':
      return repeatOddMessages(
        elementAt(site.workers, fault.worker),
        fault.messages,
        performance.now() + fault.forMs,
      );
    case 'configure':
      return store.put('op', 'config', createConfig(Date.now()));
    default:
      return assertNever(fault);
  }
}
