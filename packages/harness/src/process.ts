import type { AgentEffect, AgentEvent } from '@bronzeyoke/agent';
import { createAgent } from '@bronzeyoke/agent';
import type { EntryEffect, EntryEvent } from '@bronzeyoke/entry';
import { INITIAL_BUDGET, createEntry } from '@bronzeyoke/entry';
import { assertNever } from '@bronzeyoke/types';
import { breakConnection, closeFrom, connectionTo, dial, sendOver } from './network';
import { receiveAdminReply } from './operator';
import type { EntrySite, WorkerSite } from './site';
import { applyBudgetEvent } from './store';
import { callUpstream } from './upstream';
import { sendWorkerCommand } from './worker';
import type {
  AgentProcess,
  EntryProcess,
  Process,
  ProcessEvent,
  PendingRequest,
  World,
} from './world';
import { drawStepUniforms, deliver, observe, schedule, updateProcess } from './world';

const CALLER_JITTER_MS = 0.3;
// Node.js has the same minimum. Without it, a timer that is due within a rounding error spins in
// virtual time.
const MIN_TIMER_MS = 1;

/** Wall-clock time at virtual time 0. */
export const WALL_OFFSET_MS = 1_800_000_000_000;

function addProcess(world: World, process: Process): World {
  return {
    ...world,
    sequence: world.sequence + 1,
    processes: world.processes.set(process.processId, process),
  };
}

/** Starts an entry at a site. Each start gets a new id. */
export function bootEntry(world: World, site: EntrySite): World {
  const processId = `${site.name}.${world.sequence}`;
  const state = createEntry(processId, site.domain);
  const added = addProcess(world, {
    kind: 'entry',
    processId,
    site,
    state,
    budget: INITIAL_BUDGET,
    pausedUntilMs: 0,
    clockAheadMs: 0,
  });
  const event = { kind: 'started', wallOffsetMs: WALL_OFFSET_MS } as const;
  return deliver(added, processId, { kind: 'entryEvent', event }, 0);
}

/** Starts an agent beside a worker, and connects it to every entry. */
export function bootAgent(world: World, site: WorkerSite): World {
  const processId = `${site.worker}.${world.sequence}`;
  const state = createAgent({ ...site, agentId: processId });
  const added = addProcess(world, {
    kind: 'agent',
    processId,
    site,
    state,
    pausedUntilMs: 0,
    clockAheadMs: 0,
  });
  const started = deliver(added, processId, { kind: 'agentEvent', event: { kind: 'started' } }, 0);
  return world.deployment.entries.reduce(
    (current, entry) => dial(current, processId, entry.name, 0),
    started,
  );
}

function connectionsOf(world: World, processId: string) {
  return world.connections
    .valueSeq()
    .filter(({ agentId, entryId }) => agentId === processId || entryId === processId)
    .toArray();
}

function disconnectCallers(world: World, entryId: string): World {
  const isAffected = (pending: PendingRequest): boolean =>
    pending.entryId === entryId && ['arrived', 'accepted'].includes(pending.phase);
  const affected = world.pendingRequests.filter(isAffected).keySeq();
  return affected.reduce<World>(
    (current, requestId) =>
      schedule(current, world.deployment.callerDelayMs, {
        kind: 'reply',
        requestId,
        entryId,
        end: { kind: 'disconnected' },
      }),
    world,
  );
}

function remove(world: World, processId: string): World {
  return { ...world, processes: world.processes.delete(processId) };
}

/** Ends a process without warning: its connections break, and its callers are disconnected. */
export function killProcess(world: World, processId: string): World {
  const broken = connectionsOf(world, processId).reduce(breakConnection, world);
  return remove(disconnectCallers(broken, processId), processId);
}

/** Counts the requests in progress at a process, as callers and upstreams see them. */
function countCalls(world: World, process: Process): number {
  const isOwn = (processId: string): boolean => processId === process.processId;
  switch (process.kind) {
    case 'entry':
      return world.pendingRequests.count(
        ({ entryId, phase }) => phase === 'accepted' && isOwn(entryId),
      );
    case 'agent':
      return world.upstreams.get(process.site.worker)?.calls.count(isOwn) ?? 0;
    default:
      return assertNever(process);
  }
}

function exitProcess(world: World, process: Process): World {
  const { processId } = process;
  const abortedCalls = countCalls(world, process);
  const observed = observe(world, { kind: 'exited', processId, abortedCalls });
  const closed = connectionsOf(observed, processId).reduce(
    (current, connection) => closeFrom(current, process.kind, connection),
    observed,
  );
  return remove(disconnectCallers(closed, processId), processId);
}

function setPhase(world: World, requestId: string, phase: PendingRequest['phase']): World {
  const pending = world.pendingRequests.get(requestId);
  return pending === undefined
    ? world
    : { ...world, pendingRequests: world.pendingRequests.set(requestId, { ...pending, phase }) };
}

function performEntry(world: World, process: EntryProcess, effect: EntryEffect): World {
  const { processId } = process;
  const deliverEvent = (event: EntryEvent, afterMs: number): World =>
    deliver(world, processId, { kind: 'entryEvent', event }, afterMs);
  switch (effect.kind) {
    case 'send':
      return sendOver(world, effect.linkId, { kind: 'toAgent', message: effect.message });
    case 'closeLink': {
      const connection = world.connections.get(effect.linkId);
      return connection === undefined ? world : closeFrom(world, 'entry', connection);
    }
    case 'reply': {
      const { requestId, outcome } = effect;
      const [jitter = 0] = drawStepUniforms(world, world.sequence, 1);
      const afterMs = world.deployment.callerDelayMs + jitter * CALLER_JITTER_MS;
      return schedule(setPhase(world, requestId, 'replied'), afterMs, {
        kind: 'reply',
        requestId,
        entryId: processId,
        end: outcome,
      });
    }
    case 'commit':
    case 'read':
    case 'scan':
      return applyBudgetEvent(world, processId, { kind: 'access', access: effect });
    case 'adminReply':
      return receiveAdminReply(world, processId, effect.result);
    case 'wake':
      return deliverEvent(
        { kind: 'timer', timer: effect.timer },
        Math.max(MIN_TIMER_MS, effect.afterMs),
      );
    case 'exit':
      return exitProcess(world, process);
    default:
      return assertNever(effect);
  }
}

function performAgent(world: World, process: AgentProcess, effect: AgentEffect): World {
  const { processId } = process;
  const deliverEvent = (event: AgentEvent, afterMs: number): World =>
    deliver(world, processId, { kind: 'agentEvent', event }, afterMs);
  switch (effect.kind) {
    case 'send': {
      const connection = connectionTo(world, processId, effect.linkId);
      const payload = { kind: 'toEntry', message: effect.message } as const;
      return connection === undefined ? world : sendOver(world, connection.connectionId, payload);
    }
    case 'callUpstream':
      return callUpstream(world, process, effect.attempt, effect.timeoutMs);
    case 'worker':
      return sendWorkerCommand(world, process, effect);
    case 'wake':
      return deliverEvent(
        { kind: 'timer', timer: effect.timer },
        Math.max(MIN_TIMER_MS, effect.afterMs),
      );
    case 'exit':
      // An agent that was replaced at its worker ends without a planned stop.
      return effect.failure === undefined
        ? exitProcess(world, process)
        : killProcess(world, processId);
    default:
      return assertNever(effect);
  }
}

function stepProcess(world: World, process: Process, event: ProcessEvent): World {
  const inputs = { nowMs: world.nowMs + process.clockAheadMs, random: world.random };
  const { processId } = process;
  switch (process.kind) {
    case 'entry': {
      if (event.kind !== 'entryEvent') return world;
      const step = world.decisions.entry(process.state, event.event, inputs);
      const stepped = updateProcess(world, processId, () => ({ ...process, state: step.state }));
      return step.effects.reduce(
        (current, effect) => performEntry(current, process, effect),
        stepped,
      );
    }
    case 'agent': {
      if (event.kind !== 'agentEvent') return world;
      const step = world.decisions.agent(process.state, event.event, inputs);
      const stepped = updateProcess(world, processId, () => ({ ...process, state: step.state }));
      return step.effects.reduce(
        (current, effect) => performAgent(current, process, effect),
        stepped,
      );
    }
    default:
      return assertNever(process);
  }
}

/** Steps a process with an event. A paused process gets the event when it resumes. */
export function handleEvent(world: World, processId: string, event: ProcessEvent): World {
  const process = world.processes.get(processId);
  if (process === undefined) return world;
  if (process.pausedUntilMs > world.nowMs) {
    return deliver(world, processId, event, process.pausedUntilMs - world.nowMs);
  }
  // A paused process gets its planned stop only when it resumes, so the stop begins here.
  const observed =
    event.event.kind === 'stop' ? observe(world, { kind: 'stopping', processId }) : world;
  const accepted =
    event.event.kind === 'arrived'
      ? setPhase(observed, event.event.request.requestId, 'accepted')
      : observed;
  return stepProcess({ ...accepted, steps: observed.steps + 1 }, process, event);
}
