import type { RunnerEffect, RunnerEvent } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';
import type { SchedulerEffect, SchedulerEvent } from '@bronzeyoke/scheduler';
import { createScheduler, stepScheduler, deriveTimes } from '@bronzeyoke/scheduler';
import { createTaskWorker } from '@bronzeyoke/standins';
import { assertNever, without } from '@bronzeyoke/types';
import type { Fleet } from './world';
import { chance, isActive, plan, WALL_START_MS } from './world';

const NETWORK_MS = 2;
const STORE_MS = 10;
const CALL_MS = 1;
const TICK_MS = 50;
const AGENT_TICK_MS = 100;
const HEARTBEAT_MS = 1_100;

/** Longest delay of a write or an order that is carried out late. */
const LATE_MS = 6_000;

/** Share of writes and orders that a fault hits. */
const HIT_SHARE = 0.3;

/** Times of the fleet's deployment. */
export const FLEET_TIMES = deriveTimes({
  maxLeaseMs: 10_000,
  holderLeaseMs: 3_000,
  statusMs: 120_000,
});

/** Starts an entry; its id is new in each life. */
export function bootEntry(fleet: Fleet, site: string): Fleet {
  const life = fleet.lives + 1;
  const state = createScheduler({
    entryId: `${site}-${life}`,
    host: site,
    port: 1,
    times: fleet.times,
  });
  const entry = { site, life, state, followsJobs: false };
  return plan({ ...fleet, lives: life, entries: fleet.entries.set(site, entry) }, 0, {
    kind: 'entryTick',
    site,
    life,
  });
}

/** Starts an agent. */
export function bootAgent(fleet: Fleet, site: string): Fleet {
  const life = fleet.lives + 1;
  const state = createRunner({
    agentId: `${site}-${life}`,
    firstToken: WALL_START_MS + fleet.nowMs,
    seeds: [...fleet.entries.keys()].map((host) => ({ host, port: 1 })),
  });
  const agent = { site, life, state };
  return plan({ ...fleet, lives: life, agents: fleet.agents.set(site, agent) }, 0, {
    kind: 'agentTick',
    site,
    life,
  });
}

/** Starts a worker's next life. */
export function bootWorker(fleet: Fleet, site: string): Fleet {
  const life = fleet.lives + 1;
  const state = createTaskWorker(WALL_START_MS + fleet.nowMs);
  const worker = { site, life, state, isDraining: false };
  return plan({ ...fleet, lives: life, workers: fleet.workers.set(site, worker) }, 1, {
    kind: 'heartbeat',
    site,
  });
}

function hits(fleet: Fleet, kind: 'storeWritesLate' | 'ordersLate'): boolean {
  return isActive(fleet, (fault) => fault.kind === kind) && chance(fleet, 1) < HIT_SHARE;
}

function performEntry(fleet: Fleet, site: string, life: number, effect: SchedulerEffect): Fleet {
  switch (effect.kind) {
    case 'commit':
    case 'range': {
      const isLate = effect.kind === 'commit' && hits(fleet, 'storeWritesLate');
      const delayMs = isLate ? chance(fleet, 2) * LATE_MS : STORE_MS;
      return plan(fleet, delayMs, { kind: 'storeCall', site, life, call: effect, isLate });
    }
    case 'followJobs': {
      const entry = fleet.entries.get(site);
      if (entry === undefined) return fleet;
      const rest = without(entry, 'jobsVersion');
      return { ...fleet, entries: fleet.entries.set(site, { ...rest, followsJobs: effect.isOn }) };
    }
    case 'send':
      return plan(fleet, NETWORK_MS, {
        kind: 'toAgent',
        linkId: effect.linkId,
        message: effect.message,
      });
    case 'notifyEntry': {
      const entry = fleet.entries.get(effect.host);
      if (entry === undefined) return fleet;
      const { leader } = effect;
      return plan(fleet, NETWORK_MS, {
        kind: 'entryEvent',
        site: effect.host,
        life: entry.life,
        event: {
          kind: 'received',
          linkId: 'entry',
          message: { kind: 'leaderChanged', ...leader },
          wallMs: WALL_START_MS + fleet.nowMs,
        },
      });
    }
    case 'log':
      return fleet;
    default:
      return assertNever(effect);
  }
}

/** Lets an entry decide on an event, and plans what follows. */
export function stepEntryProcess(
  fleet: Fleet,
  site: string,
  life: number,
  event: SchedulerEvent,
): Fleet {
  const entry = fleet.entries.get(site);
  if (entry?.life !== life) return fleet;
  const frozenMs = (fleet.frozenUntilMs.get(site) ?? 0) - fleet.nowMs;
  if (frozenMs > 0) return plan(fleet, frozenMs, { kind: 'entryEvent', site, life, event });
  const instant = { nowMs: fleet.nowMs, random: chance(fleet, 3) };
  const step = stepScheduler(entry.state, event, instant);
  const decided = {
    ...fleet,
    steps: fleet.steps + 1,
    entries: fleet.entries.set(site, { ...entry, state: step.state }),
  };
  return step.effects.reduce((world, effect) => performEntry(world, site, life, effect), decided);
}

function performAgent(fleet: Fleet, site: string, life: number, effect: RunnerEffect): Fleet {
  switch (effect.kind) {
    case 'connect':
      return plan(fleet, NETWORK_MS, { kind: 'dial', site, life, host: effect.address.host });
    case 'send': {
      const linkId = fleet.agents.get(site)?.linkId;
      return linkId === undefined
        ? fleet
        : plan(fleet, NETWORK_MS, { kind: 'toEntry', linkId, message: effect.message });
    }
    case 'call': {
      const { callId, call, worker } = effect;
      const isLate = call.kind !== 'hold' && hits(fleet, 'ordersLate');
      const delayMs = isLate ? 500 + chance(fleet, 4) * LATE_MS : CALL_MS;
      const workerKey = `${worker.id}@${worker.bornAtMs}`;
      const planned = plan(fleet, delayMs, {
        kind: 'workerCall',
        site,
        agentLife: life,
        workerKey,
        callId,
        call,
        isLate,
      });
      if (!isLate) return planned;
      return plan(planned, effect.timeoutMs, {
        kind: 'agentEvent',
        site,
        life,
        event: { kind: 'callDone', callId, result: { kind: 'lost' } },
      });
    }
    case 'log':
      return fleet;
    default:
      return assertNever(effect);
  }
}

/** Lets an agent decide on an event, and plans what follows. */
export function stepAgentProcess(
  fleet: Fleet,
  site: string,
  life: number,
  event: RunnerEvent,
): Fleet {
  const agent = fleet.agents.get(site);
  if (agent?.life !== life) return fleet;
  const frozenMs = (fleet.frozenUntilMs.get(site) ?? 0) - fleet.nowMs;
  if (frozenMs > 0) return plan(fleet, frozenMs, { kind: 'agentEvent', site, life, event });
  const step = stepRunner(agent.state, event, { nowMs: fleet.nowMs, random: chance(fleet, 5) });
  const decided = {
    ...fleet,
    steps: fleet.steps + 1,
    agents: fleet.agents.set(site, { ...agent, state: step.state }),
  };
  return step.effects.reduce((world, effect) => performAgent(world, site, life, effect), decided);
}

/** Delays of what repeats. */
export const INTERVALS = { tickMs: TICK_MS, agentTickMs: AGENT_TICK_MS, heartbeatMs: HEARTBEAT_MS };
