import { List, Map, Set } from 'immutable';
import { pop } from '@bronzeyoke/harness';
import { EMPTY_ROW_STORE } from '@bronzeyoke/standins';
import type { SchedulerTimes } from '@bronzeyoke/scheduler';
import { PARTITION, TABLES } from '@bronzeyoke/scheduler';
import { decodeProgress } from '@bronzeyoke/workflow';
import { happen } from './events';
import { bootAgent, bootEntry, bootWorker, FLEET_TIMES } from './process';
import type { Fleet, FleetFault } from './world';
import { chance, plan } from './world';

const ENTRIES = ['entry-1', 'entry-2', 'entry-3'] as const;
const SITES = ['worker-1', 'worker-2', 'worker-3', 'worker-4'] as const;

/** How long faults and jobs come, and how long the fleet has to recover after them. */
const BUSY_MS = 30_000;
const CALM_MS = 32_000;
const JOBS = 30;

/** What a run came to. */
export interface FleetResult {
  readonly fleet: Fleet;
  /** Jobs that do not last and have no outcome at the end. */
  readonly unfinished: readonly string[];
}

/** A fleet of three entries, and four workers with their agents. */
export function createFleet(seed: number, times: SchedulerTimes = FLEET_TIMES): Fleet {
  const empty: Fleet = {
    seed,
    times,
    nowMs: 0,
    sequence: 1,
    agenda: undefined,
    entries: Map(),
    agents: Map(),
    workers: Map(),
    links: Map(),
    lives: 0,
    store: EMPTY_ROW_STORE,
    active: Set(),
    frozenUntilMs: Map(),
    acknowledged: Set(),
    breaches: [],
    starts: 0,
    steps: 0,
  };
  const entries = ENTRIES.reduce(bootEntry, empty);
  const agents = SITES.reduce(bootAgent, entries);
  return SITES.reduce(bootWorker, agents);
}

function pick<Item>(items: readonly Item[], at: number): Item {
  const item = items[Math.floor(at * items.length)];
  if (item === undefined) throw new RangeError('nothing to pick from');
  return item;
}

/** A fault that the seed chooses. */
export function chooseFault(fleet: Fleet): FleetFault {
  const forMs = 300 + Math.floor(chance(fleet, 11) * 9_000);
  const site = pick(SITES, chance(fleet, 12));
  const entry = pick(ENTRIES, chance(fleet, 13));
  const either = pick([...SITES, ...ENTRIES], chance(fleet, 14));
  return pick<FleetFault>(
    [
      { kind: 'killEntry', site: entry, forMs },
      { kind: 'killAgent', site, forMs },
      { kind: 'crashWorker', site, forMs },
      { kind: 'freeze', site: either, forMs },
      { kind: 'cutStore', site: either, forMs },
      { kind: 'cutLink', agent: site, entry, forMs },
      { kind: 'storeDown', forMs },
      { kind: 'storeLosesAnswers', forMs },
      { kind: 'storeWritesLate', forMs },
      { kind: 'storeForgets', forMs },
      { kind: 'ordersLate', forMs },
    ],
    chance(fleet, 15),
  );
}

/** Plans a run's jobs and faults. */
export function planRun(fleet: Fleet, faults: number): Fleet {
  const withJobs = Array.from({ length: JOBS }, (_, index) => index).reduce((world, index) => {
    const atMs = 1_000 + chance(world, 16) * BUSY_MS;
    const submitted = plan(world, atMs, { kind: 'submit', jobId: `job${index}` });
    return index % 7 === 6
      ? plan(submitted, atMs + chance(world, 17) * 4_000, { kind: 'cancel', jobId: `job${index}` })
      : submitted;
  }, fleet);
  return Array.from({ length: faults }).reduce<Fleet>((world) => {
    const fault = chooseFault(world);
    return plan(world, 2_000 + chance(world, 18) * BUSY_MS, { kind: 'fault', fault });
  }, withJobs);
}

/** Lets a fleet run until a time. */
export function runUntil(fleet: Fleet, endMs: number): Fleet {
  const next = { fleet };
  while (next.fleet.agenda !== undefined && next.fleet.agenda.first.atMs <= endMs) {
    const { first: due } = next.fleet.agenda;
    const world = { ...next.fleet, nowMs: due.atMs, agenda: pop(next.fleet.agenda) };
    next.fleet = happen(world, due.item);
  }
  return next.fleet;
}

/** Runs a seed to its end. */
export function runFleet(
  seed: number,
  faults: number,
  times: SchedulerTimes = FLEET_TIMES,
): FleetResult {
  const fleet = runUntil(planRun(createFleet(seed, times), faults), 2_000 + BUSY_MS + CALM_MS);
  const jobs = List(fleet.store.rows.values()).filter(
    ({ table, key }) => table === TABLES.jobs && key.endsWith('/job'),
  );
  const unfinished = jobs
    .filterNot(({ value }) => JSON.stringify(value).includes('"isLasting":true'))
    .map(({ key }) => key)
    .toArray();
  return { fleet, unfinished };
}

/** Outcomes of the jobs in the store. */
export function outcomes(fleet: Fleet): readonly string[] {
  return List(fleet.store.rows.values())
    .filter(({ table, partition }) => table === TABLES.progress && partition === PARTITION)
    .map(({ value }) => decodeProgress(value)?.outcome ?? 'open')
    .toArray();
}
