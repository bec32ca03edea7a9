import { List, Map, Set } from 'immutable';
import { pop } from '@bronzeyoke/harness';
import { EMPTY_ROW_STORE } from '@bronzeyoke/standins';
import type { SchedulerTimes } from '@bronzeyoke/scheduler';
import { PARTITION, TABLES } from '@bronzeyoke/scheduler';
import { decodeProgress } from '@bronzeyoke/workflow';
import { handleFleetEvent } from './events';
import { bootAgent, bootEntry, bootWorker, FLEET_TIMES } from './process';
import type { Fleet, FleetFault } from './world';
import { drawStepUniform, schedule } from './world';

const ENTRIES = ['entry-1', 'entry-2', 'entry-3'] as const;
const SITES = ['worker-1', 'worker-2', 'worker-3', 'worker-4'] as const;

/** Jobs and faults start in the first phase; the fleet recovers from them in the second. */
const ACTIVE_PHASE_MS = 30_000;
const RECOVERY_PHASE_MS = 32_000;
const JOBS = 30;

/** Result of a run. */
export interface FleetResult {
  readonly fleet: Fleet;
  /** Keys of the jobs that have no outcome at the end, except lasting jobs. */
  readonly unfinished: readonly string[];
}

/** Creates a fleet of three entries, and four workers with their agents. */
function createFleet(seed: number, times: SchedulerTimes = FLEET_TIMES): Fleet {
  const empty: Fleet = {
    seed,
    times,
    nowMs: 0,
    sequence: 1,
    eventQueue: undefined,
    entries: Map(),
    agents: Map(),
    workers: Map(),
    links: Map(),
    bootCount: 0,
    store: EMPTY_ROW_STORE,
    activeFaults: Set(),
    frozenUntilMs: Map(),
    acknowledgedTasks: Set(),
    violations: [],
    starts: 0,
    steps: 0,
  };
  const entries = ENTRIES.reduce(bootEntry, empty);
  const agents = SITES.reduce(bootAgent, entries);
  return SITES.reduce(bootWorker, agents);
}

function pick<Item>(items: readonly Item[], random: number): Item {
  const item = items[Math.floor(random * items.length)];
  if (item === undefined) throw new RangeError('cannot pick from an empty list');
  return item;
}

/** Draws a fault at random. */
function drawFault(fleet: Fleet): FleetFault {
  const forMs = 300 + Math.floor(drawStepUniform(fleet, 11) * 9_000);
  const site = pick(SITES, drawStepUniform(fleet, 12));
  const entry = pick(ENTRIES, drawStepUniform(fleet, 13));
  const either = pick([...SITES, ...ENTRIES], drawStepUniform(fleet, 14));
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
      { kind: 'storeDropsHistory', forMs },
      { kind: 'ordersLate', forMs },
    ],
    drawStepUniform(fleet, 15),
  );
}

/** Schedules the jobs and faults of a run. */
function scheduleRun(fleet: Fleet, faults: number): Fleet {
  const withJobs = Array.from({ length: JOBS }, (_, index) => index).reduce((current, index) => {
    const atMs = 1_000 + drawStepUniform(current, 16) * ACTIVE_PHASE_MS;
    const submitted = schedule(current, atMs, { kind: 'submit', jobId: `job${index}` });
    return index % 7 === 6
      ? schedule(submitted, atMs + drawStepUniform(current, 17) * 4_000, {
          kind: 'cancel',
          jobId: `job${index}`,
        })
      : submitted;
  }, fleet);
  return Array.from({ length: faults }).reduce<Fleet>((current) => {
    const fault = drawFault(current);
    return schedule(current, 2_000 + drawStepUniform(current, 18) * ACTIVE_PHASE_MS, {
      kind: 'faultStart',
      fault,
    });
  }, withJobs);
}

/** Handles all events until a time. */
function runUntil(fleet: Fleet, endMs: number): Fleet {
  const current = { fleet };
  while (current.fleet.eventQueue !== undefined && current.fleet.eventQueue.first.atMs <= endMs) {
    const { first } = current.fleet.eventQueue;
    const advanced = {
      ...current.fleet,
      nowMs: first.atMs,
      eventQueue: pop(current.fleet.eventQueue),
    };
    current.fleet = handleFleetEvent(advanced, first.item);
  }
  return current.fleet;
}

/** Runs a fleet through both phases with jobs and faults that depend on the seed. */
export function runFleet(
  seed: number,
  faults: number,
  times: SchedulerTimes = FLEET_TIMES,
): FleetResult {
  const fleet = runUntil(
    scheduleRun(createFleet(seed, times), faults),
    2_000 + ACTIVE_PHASE_MS + RECOVERY_PHASE_MS,
  );
  const jobs = List(fleet.store.rows.values()).filter(
    ({ table, key }) => table === TABLES.jobs && key.endsWith('/job'),
  );
  const unfinished = jobs
    .filterNot(({ value }) => JSON.stringify(value).includes('"isLasting":true'))
    .map(({ key }) => key)
    .toArray();
  return { fleet, unfinished };
}

/** Returns the outcomes of the jobs in the store. */
export function jobOutcomes(fleet: Fleet): readonly string[] {
  return List(fleet.store.rows.values())
    .filter(({ table, partition }) => table === TABLES.progress && partition === PARTITION)
    .map(({ value }) => decodeProgress(value)?.outcome ?? 'open')
    .toArray();
}
