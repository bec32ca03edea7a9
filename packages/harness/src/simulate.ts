import { Map, OrderedMap } from 'immutable';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { stepAgent } from '@bronzeyoke/agent';
import { stepEntry } from '@bronzeyoke/entry';
import { EMPTY_TABLE, createWorkerModel } from '@bronzeyoke/standins';
import type { Resources } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { pop } from './heap';
import { deliverRequest, endRequest } from './caller';
import { deliverPayload, dial } from './network';
import { EMPTY_ORACLE, recordViolation } from './oraclestate';
import { bootAgent, bootEntry, handleEvent } from './process';
import type { Deployment } from './site';
import { callStore, applyBudgetEvent } from './store';
import { endCall } from './upstream';
import { applyWorkerInput, decodeBehaviour } from './worker';
import type { Decisions, SimulationEvent, StandinBugs, World } from './world';
import { observe } from './world';

/** Configuration of a run. */
export interface WorldOptions {
  readonly deployment: Deployment;
  readonly decisions: Decisions;
  readonly standinBugs: StandinBugs;
}

/** The decisions of the product, without an injected bug. */
export const PRODUCT_DECISIONS: Decisions = { entry: stepEntry, agent: stepAgent };

/** Stand-ins that meet their contracts. */
export const NO_STANDIN_BUGS: StandinBugs = {
  swapsAnswers: false,
  overstatesTotals: false,
};

const OVERSTATEMENT_FACTOR = 4;

function multiply(total: Resources, factor: number): Resources {
  return {
    processorsMilli: total.processorsMilli * factor,
    memoryMb: total.memoryMb * factor,
    accelerators: total.accelerators * factor,
  };
}

/** Creates a world at time 0, with one entry or agent at every site. */
function createWorld(options: WorldOptions): World {
  const { deployment } = options;
  const factor = options.standinBugs.overstatesTotals ? OVERSTATEMENT_FACTOR : 1;
  const empty: World = {
    ...options,
    nowMs: 0,
    random: 0,
    sequence: 1,
    eventQueue: undefined,
    processes: Map(),
    connections: Map(),
    latestConnections: Map(),
    upstreams: Map(
      deployment.workers.map(({ worker }) => [worker, { mode: 'healthy', calls: Map() }]),
    ),
    advanceAtMs: Map(),
    workers: Map(
      deployment.workers.map(({ worker, total }) => [
        worker,
        createWorkerModel(multiply(total, factor), decodeBehaviour),
      ]),
    ),
    store: {
      rows: EMPTY_TABLE,
      isDown: false,
      isSlow: false,
      losesReplies: false,
    },
    operatorView: { headNumber: 0, jobs: Map() },
    pendingRequests: OrderedMap(),
    cuts: Map(),
    oracle: EMPTY_ORACLE,
    steps: 0,
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

function handleSimulationEvent(world: World, item: SimulationEvent): World {
  switch (item.kind) {
    case 'deliver':
      return handleEvent(world, item.processId, item.event);
    case 'payloadArrives':
      return deliverPayload(world, item.connectionId, item.payload);
    case 'dial':
      return dial(world, item.agentId, item.entrySite, item.retryMs);
    case 'upstreamEnd':
      return endCall(world, item.worker, item.callId, item.event);
    case 'reply':
      return endRequest(world, item.requestId, item.end);
    case 'workerStep':
      return applyWorkerInput(world, item.worker, item.input);
    case 'storeCall':
      return callStore(world, item.processId, item.access);
    case 'budget':
      return applyBudgetEvent(world, item.processId, item.event);
    case 'requestArrives':
      return deliverRequest(world, item.request);
    default:
      return assertNever(item);
  }
}

/** Takes the earliest event from the queue and handles it. */
function stepWorld(world: World, random: number): World {
  const { eventQueue } = world;
  if (eventQueue === undefined) return world;
  const { atMs, item } = eventQueue.first;
  return handleSimulationEvent(
    { ...world, nowMs: Math.max(world.nowMs, atMs), random, eventQueue: pop(eventQueue) },
    item,
  );
}

// The small worlds of the fuzzer handle under 20,000 events in the longest command.
const MAX_EVENTS = 50_000;

/** A world with its generator of random numbers. */
export interface Simulation {
  readonly world: () => World;
  readonly change: (update: (world: World) => World) => void;
  /** Handles all events of the given virtual time. */
  readonly runFor: (durationMs: number) => void;
}

/** Creates a simulation. The same options and seed give the same run. */
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
      let left = MAX_EVENTS;
      while (
        left > 0 &&
        current.eventQueue !== undefined &&
        current.eventQueue.first.atMs <= untilMs
      ) {
        current = stepWorld(current, uniformFloat64(generator));
        left -= 1;
      }
      if (left === 0) {
        const detail = `event limit reached; next is ${JSON.stringify(current.eventQueue?.first.item).slice(0, 300)}`;
        current = {
          ...current,
          oracle: recordViolation(current.oracle, 'idle', current.nowMs, detail),
        };
      }
      current = { ...current, nowMs: Math.max(current.nowMs, untilMs) };
    },
  };
}
