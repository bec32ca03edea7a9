import { List, Map, OrderedMap } from 'immutable';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { stepAgent } from '@bronzeyoke/agent';
import { stepEntry } from '@bronzeyoke/entry';
import { EMPTY_TABLE, createWorker } from '@bronzeyoke/standins';
import type { Resources } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { pop } from './agenda';
import { arriveAtEntry, endRequest, offerLoad } from './caller';
import { arrive, dial } from './network';
import { NEW_ORACLE, blame } from './oracle';
import { bootAgent, bootEntry, handleEvent } from './process';
import type { Deployment } from './site';
import { callStore, changeBudget } from './store';
import { endCall } from './upstream';
import { changeWorker, truthOf } from './worker';
import type { Decisions, Happening, Switches, World } from './world';
import { observe } from './world';

/** What a run is made of. */
export interface WorldOptions {
  readonly deployment: Deployment;
  readonly isJudged: boolean;
  readonly decisions: Decisions;
  readonly switches: Switches;
}

/** The decisions of the product, unchanged. */
export const PRODUCT_DECISIONS: Decisions = { entry: stepEntry, agent: stepAgent };

/** Fakes that keep to their contracts. */
export const HONEST: Switches = {
  crossesAnswers: false,
  overstatesTotals: false,
};

const OVERSTATED = 4;

function multiply(total: Resources, factor: number): Resources {
  return {
    processorsMilli: total.processorsMilli * factor,
    memoryMb: total.memoryMb * factor,
    accelerators: total.accelerators * factor,
  };
}

/** A world with one entry and one agent at every site, at time 0. */
export function createWorld(options: WorldOptions): World {
  const { deployment } = options;
  const factor = options.switches.overstatesTotals ? OVERSTATED : 1;
  const empty: World = {
    ...options,
    nowMs: 0,
    random: 0,
    sequence: 1,
    agenda: undefined,
    processes: Map(),
    connections: Map(),
    dialled: Map(),
    upstreams: Map(
      deployment.workers.map(({ worker }) => [worker, { mode: 'healthy', calls: Map() }]),
    ),
    passAtMs: Map(),
    workers: Map(
      deployment.workers.map(({ worker, total }) => [
        worker,
        createWorker(multiply(total, factor), truthOf),
      ]),
    ),
    store: {
      rows: EMPTY_TABLE,
      isDown: false,
      isSlow: false,
      losesReplies: false,
      transactions: 0,
      rowsWritten: 0,
      reads: 0,
    },
    office: { headNumber: 0, jobs: Map() },
    waiting: OrderedMap(),
    cuts: Map(),
    oracle: NEW_ORACLE,
    steps: 0,
    tally: { endings: List(), runs: 0 },
  };
  const withEntries = deployment.entries.reduce(bootEntry, empty);
  return deployment.workers.reduce((world, site) => {
    const { worker, domain, total } = site;
    return bootAgent(observe(world, { kind: 'workerAdded', worker, domain, total }), {
      ...site,
      total: multiply(total, factor),
    });
  }, withEntries);
}

function happen(world: World, item: Happening): World {
  switch (item.kind) {
    case 'deliver':
      return handleEvent(world, item.processId, item.event);
    case 'arrive':
      return arrive(world, item.connectionId, item.payload);
    case 'dial':
      return dial(world, item.agentId, item.entrySite, item.retryMs);
    case 'upstreamEnd':
      return endCall(world, item.worker, item.callId, item.event);
    case 'reply':
      return endRequest(world, item.requestId, item.end);
    case 'workerStep':
      return changeWorker(world, item.worker, item.input);
    case 'storeCall':
      return callStore(world, item.processId, item.access);
    case 'budget':
      return changeBudget(world, item.processId, item.event);
    case 'callerArrives':
      return arriveAtEntry(world, item.request);
    case 'offerLoad':
      return offerLoad(world, item.load);
    default:
      return assertNever(item);
  }
}

/** Lets the earliest happening take place. */
export function stepWorld(world: World, random: number): World {
  const { agenda } = world;
  if (agenda === undefined) return world;
  const { atMs, item } = agenda.due;
  return happen(
    { ...world, nowMs: Math.max(world.nowMs, atMs), random, agenda: pop(agenda) },
    item,
  );
}

// The small worlds of the fuzzer take under 20,000 happenings in the longest command.
const MAX_HAPPENINGS = 50_000;

/** Owns a world and its random numbers. */
export interface Simulation {
  readonly world: () => World;
  readonly change: (update: (world: World) => World) => void;
  /** Lets virtual time pass. */
  readonly runFor: (durationMs: number) => void;
}

/** Starts a run. The same options and seed give the same run. */
export function simulate(options: WorldOptions, seed: number): Simulation {
  const generator = xoroshiro128plus(seed);
  let current = createWorld({ ...options });
  return {
    world: () => current,
    change: (update) => {
      current = update({ ...current, random: uniformFloat64(generator) });
    },
    runFor: (durationMs) => {
      const untilMs = current.nowMs + durationMs;
      let left = options.isJudged ? MAX_HAPPENINGS : Infinity;
      while (left > 0 && current.agenda !== undefined && current.agenda.due.atMs <= untilMs) {
        current = stepWorld(current, uniformFloat64(generator));
        left -= 1;
      }
      if (left === 0) {
        const what = `busy with ${JSON.stringify(current.agenda?.due.item).slice(0, 300)}`;
        current = { ...current, oracle: blame(current.oracle, 'idle', current.nowMs, what) };
      }
      current = { ...current, nowMs: Math.max(current.nowMs, untilMs) };
    },
  };
}
