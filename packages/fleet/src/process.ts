import type { RunnerEffect, RunnerEvent } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';
import type { SchedulerEffect, SchedulerEvent } from '@bronzeyoke/scheduler';
import { createScheduler, deriveTimes, FULL_CAPACITY, stepScheduler } from '@bronzeyoke/scheduler';
import { createTaskWorker } from '@bronzeyoke/standins';
import { assertNever, without } from '@bronzeyoke/types';
import { endLookup } from './network';
import { logOrder } from './runlog';
import type { Fleet } from './world';
import { drawStepUniform, isActive, NETWORK_MS, schedule, STORE_MS, WALL_START_MS } from './world';

const CALL_MS = 1;
const TICK_MS = 50;
const AGENT_TICK_MS = 100;
const HEARTBEAT_MS = 1_100;

/** Longest delay of a write or an order during a fault. */
const MAX_DELAY_MS = 6_000;

/** Time after which a worker carries out a late order. */
const MIN_LATE_CALL_MS = 2_000;
const MAX_LATE_CALL_MS = 12_000;

/** A worker's clock may be this much slow. */
const MAX_CLOCK_ERROR = 0.02;

/** Share of writes and orders that a fault delays. */
const DELAYED_SHARE = 0.3;

/** Longest lease that a worker accepts. */
const MAX_LEASE_MS = 10_000;

/** Times of the fleet's deployment. */
export const FLEET_TIMES = deriveTimes({
  maxLeaseMs: MAX_LEASE_MS,
  holderLeaseMs: 3_000,
  statusMs: 120_000,
});

/** Starts an entry. Each start gets a new id. */
export function bootEntry(fleet: Fleet, site: string): Fleet {
  const bootId = fleet.bootCount + 1;
  const state = createScheduler({
    entryId: `${site}-${bootId}`,
    host: site,
    port: 1,
    capacity: FULL_CAPACITY,
    times: fleet.times,
  });
  const entry = { site, bootId, state, followsJobs: false };
  return schedule({ ...fleet, bootCount: bootId, entries: fleet.entries.set(site, entry) }, 0, {
    kind: 'entryTick',
    site,
    bootId,
  });
}

/** Starts an agent. Each start gets a new id. */
export function bootAgent(fleet: Fleet, site: string): Fleet {
  const bootId = fleet.bootCount + 1;
  const state = createRunner({
    agentId: `${site}-${bootId}`,
    firstToken: WALL_START_MS + fleet.nowMs,
    seeds: [...fleet.entries.keys()].map((host) => ({ host, port: 1 })),
    maxLeaseMs: MAX_LEASE_MS,
  });
  const agent = { site, bootId, state };
  return schedule({ ...fleet, bootCount: bootId, agents: fleet.agents.set(site, agent) }, 0, {
    kind: 'agentTick',
    site,
    bootId,
  });
}

/** Starts a worker. Each start gets a new id, unless it is given. */
export function bootWorker(fleet: Fleet, site: string, givenId?: string): Fleet {
  const bootId = fleet.bootCount + 1;
  const worker = {
    site,
    id: givenId ?? `${site}-${bootId}`,
    startedAtMs: fleet.nowMs,
    clockRate: 1 - MAX_CLOCK_ERROR * drawStepUniform(fleet, 6),
    state: createTaskWorker(WALL_START_MS + fleet.nowMs),
    isDraining: false,
  };
  const started = {
    ...fleet,
    bootCount: bootId,
    workers: fleet.workers.set(site, worker),
    lastWorkerIds: fleet.lastWorkerIds.set(site, worker.id),
  };
  return schedule(started, 1, { kind: 'heartbeat', site });
}

function isDelayed(fleet: Fleet, kind: 'storeWritesLate' | 'ordersLate'): boolean {
  return (
    isActive(fleet, (fault) => fault.kind === kind) && drawStepUniform(fleet, 1) < DELAYED_SHARE
  );
}

/** Returns the time after which an order is carried out, or undefined if it is not late. */
function lateOrderMs(fleet: Fleet, site: string): number | undefined {
  if (isDelayed(fleet, 'ordersLate')) return 500 + drawStepUniform(fleet, 4) * MAX_DELAY_MS;
  const isLate =
    isActive(fleet, (fault) => fault.kind === 'callsLate' && fault.site === site) &&
    drawStepUniform(fleet, 1) < DELAYED_SHARE;
  return isLate
    ? MIN_LATE_CALL_MS + drawStepUniform(fleet, 4) * (MAX_LATE_CALL_MS - MIN_LATE_CALL_MS)
    : undefined;
}

function performEntry(fleet: Fleet, site: string, bootId: number, effect: SchedulerEffect): Fleet {
  switch (effect.kind) {
    case 'commit':
    case 'range': {
      const isLate = effect.kind === 'commit' && isDelayed(fleet, 'storeWritesLate');
      const delayMs = isLate ? drawStepUniform(fleet, 2) * MAX_DELAY_MS : STORE_MS;
      return schedule(fleet, delayMs, { kind: 'storeCall', site, bootId, call: effect, isLate });
    }
    case 'followJobs': {
      const entry = fleet.entries.get(site);
      if (entry === undefined) return fleet;
      const rest = without(entry, 'jobsVersion');
      return { ...fleet, entries: fleet.entries.set(site, { ...rest, followsJobs: effect.isOn }) };
    }
    case 'send':
      return schedule(fleet, NETWORK_MS, {
        kind: 'toAgent',
        linkId: effect.linkId,
        message: effect.message,
      });
    case 'notifyEntry': {
      const entry = fleet.entries.get(effect.host);
      if (entry === undefined) return fleet;
      const { leader } = effect;
      return schedule(fleet, NETWORK_MS, {
        kind: 'entryEvent',
        site: effect.host,
        bootId: entry.bootId,
        event: {
          kind: 'received',
          linkId: 'entry',
          message: { kind: 'leaderChanged', ...leader },
          wallMs: WALL_START_MS + fleet.nowMs,
        },
      });
    }
    // Entries of this model run without the policy that asks.
    case 'askHolder':
    case 'log':
      return fleet;
    default:
      return assertNever(effect);
  }
}

/** Steps an entry with an event, and schedules the effects. */
export function stepEntryProcess(
  fleet: Fleet,
  site: string,
  bootId: number,
  event: SchedulerEvent,
): Fleet {
  const entry = fleet.entries.get(site);
  if (entry?.bootId !== bootId) return fleet;
  const frozenMs = (fleet.frozenUntilMs.get(site) ?? 0) - fleet.nowMs;
  if (frozenMs > 0) return schedule(fleet, frozenMs, { kind: 'entryEvent', site, bootId, event });
  const inputs = { nowMs: fleet.nowMs, random: drawStepUniform(fleet, 3) };
  const step = stepScheduler(entry.state, event, inputs);
  const stepped = {
    ...fleet,
    steps: fleet.steps + 1,
    entries: fleet.entries.set(site, { ...entry, state: step.state }),
  };
  return step.effects.reduce(
    (current, effect) => performEntry(current, site, bootId, effect),
    stepped,
  );
}

function performAgent(fleet: Fleet, site: string, bootId: number, effect: RunnerEffect): Fleet {
  switch (effect.kind) {
    case 'connect':
      return schedule(fleet, NETWORK_MS, { kind: 'dial', site, bootId, host: effect.address.host });
    case 'askSeed':
      return schedule(fleet, NETWORK_MS, {
        kind: 'askSeed',
        site,
        bootId,
        host: effect.address.host,
      });
    case 'endLookup':
      return endLookup(fleet, site);
    case 'send': {
      const linkId = fleet.agents.get(site)?.linkId;
      return linkId === undefined
        ? fleet
        : schedule(fleet, NETWORK_MS, { kind: 'toEntry', linkId, message: effect.message });
    }
    case 'call': {
      const { callId, call, worker } = effect;
      const lateMs = call.kind === 'hold' ? undefined : lateOrderMs(fleet, site);
      const isLate = lateMs !== undefined;
      const delayMs = lateMs ?? CALL_MS;
      const scheduled = schedule(logOrder(fleet, worker, call), delayMs, {
        kind: 'workerCall',
        site,
        agentBootId: bootId,
        workerId: worker.id,
        callId,
        call,
        isLate,
      });
      if (!isLate) return scheduled;
      return schedule(scheduled, effect.timeoutMs, {
        kind: 'agentEvent',
        site,
        bootId,
        event: { kind: 'callDone', callId, result: { kind: 'lost' } },
      });
    }
    // No fault stops an agent as planned.
    case 'settled':
    case 'log':
      return fleet;
    default:
      return assertNever(effect);
  }
}

/** Steps an agent with an event, and schedules the effects. */
export function stepAgentProcess(
  fleet: Fleet,
  site: string,
  bootId: number,
  event: RunnerEvent,
): Fleet {
  const agent = fleet.agents.get(site);
  if (agent?.bootId !== bootId) return fleet;
  const frozenMs = (fleet.frozenUntilMs.get(site) ?? 0) - fleet.nowMs;
  if (frozenMs > 0) return schedule(fleet, frozenMs, { kind: 'agentEvent', site, bootId, event });
  const step = stepRunner(agent.state, event, {
    nowMs: fleet.nowMs,
    random: drawStepUniform(fleet, 5),
  });
  const stepped = {
    ...fleet,
    steps: fleet.steps + 1,
    agents: fleet.agents.set(site, { ...agent, state: step.state }),
  };
  return step.effects.reduce(
    (current, effect) => performAgent(current, site, bootId, effect),
    stepped,
  );
}

/** Intervals of the ticks and heartbeats. */
export const INTERVALS = { tickMs: TICK_MS, agentTickMs: AGENT_TICK_MS, heartbeatMs: HEARTBEAT_MS };
