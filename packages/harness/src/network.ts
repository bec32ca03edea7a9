import { assertNever } from '@bronzeyoke/types';
import type { Connection, Payload, Process, World } from './world';
import { chances, deliver, schedule, siteName } from './world';

const SAME_DOMAIN_DELAY_MS = 0.2;
const JITTER_MS = 0.3;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;
const MISCHIEF_DELAY_MS = 400;

function delayMs(world: World, from: Process, to: Process, salt: number): number {
  const [jitter = 0] = chances(world, salt, 1);
  const isNear = from.site.domain === to.site.domain;
  return (isNear ? SAME_DOMAIN_DELAY_MS : world.deployment.domainDelayMs) + jitter * JITTER_MS;
}

function isToEntry(payload: Payload): boolean {
  return payload.kind === 'toEntry' || payload.kind === 'closeEntry';
}

function endsOf(
  world: World,
  connection: Connection,
  payload: Payload,
): readonly [Process, Process] | undefined {
  const agent = world.processes.get(connection.agentId);
  const entry = world.processes.get(connection.entryId);
  if (agent === undefined || entry === undefined) return undefined;
  return isToEntry(payload) ? [agent, entry] : [entry, agent];
}

function isCut(world: World, from: Process, to: Process): boolean {
  return world.cuts.has(`${siteName(from)}>${siteName(to)}`);
}

/** Sends a message over a connection. What a fault swallows vanishes here. */
export function sendOver(world: World, connectionId: string, payload: Payload): World {
  const connection = world.connections.get(connectionId);
  if (connection === undefined || connection.isSilent) return world;
  const ends = endsOf(world, connection, payload);
  if (ends === undefined || isCut(world, ...ends)) return world;
  const direct = delayMs(world, ends[0], ends[1], world.sequence);
  const [extra = 0] = chances(world, world.sequence + 1, 1);
  const lastMs = isToEntry(payload) ? connection.lastToEntryMs : connection.lastToAgentMs;
  const inOrderMs = Math.max(direct, lastMs - world.nowMs);
  const item = { kind: 'arrive', connectionId, payload } as const;
  const arrivesAfterMs = (): number => {
    switch (connection.mischief) {
      case 'none':
      case 'duplicate':
        return inOrderMs;
      case 'delay':
        return Math.max(inOrderMs, direct + extra * MISCHIEF_DELAY_MS);
      case 'reorder':
        return direct + extra * MISCHIEF_DELAY_MS;
      default:
        return assertNever(connection.mischief);
    }
  };
  const afterMs = arrivesAfterMs();
  const atMs = world.nowMs + afterMs;
  const kept: Connection = isToEntry(payload)
    ? { ...connection, lastToEntryMs: Math.max(lastMs, atMs) }
    : { ...connection, lastToAgentMs: Math.max(lastMs, atMs) };
  const sent = schedule(
    { ...world, connections: world.connections.set(connectionId, kept) },
    afterMs,
    item,
  );
  return connection.mischief === 'duplicate'
    ? schedule(sent, afterMs + extra * MISCHIEF_DELAY_MS, item)
    : sent;
}

function dialledKey(agentId: string, entrySite: string): string {
  return `${agentId}>${entrySite}`;
}

/** The connection that an agent has to the entry at a site. */
export function connectionTo(
  world: World,
  agentId: string,
  entrySite: string,
): Connection | undefined {
  const connectionId = world.dialled.get(dialledKey(agentId, entrySite));
  return connectionId === undefined ? undefined : world.connections.get(connectionId);
}

function forget(world: World, connectionId: string): World {
  return { ...world, connections: world.connections.delete(connectionId) };
}

/** Lets an agent dial the entry at a site again after a delay. */
export function redial(world: World, agentId: string, entrySite: string, retryMs: number): World {
  const nextMs = Math.min(MAX_RETRY_MS, Math.max(FIRST_RETRY_MS, retryMs * 2));
  return schedule(world, retryMs, { kind: 'dial', agentId, entrySite, retryMs: nextMs });
}

function agentLost(world: World, connection: Connection): World {
  const { agentId, entrySite } = connection;
  const event = { kind: 'linkClosed', linkId: entrySite } as const;
  const told = deliver(world, agentId, { kind: 'agentEvent', event }, 0);
  return redial(told, agentId, entrySite, FIRST_RETRY_MS);
}

function entryLost(world: World, connection: Connection): World {
  const event = { kind: 'linkClosed', linkId: connection.connectionId } as const;
  return deliver(world, connection.entryId, { kind: 'entryEvent', event }, 0);
}

/** Breaks a connection: both sides see it close, and what is on its way is lost. */
export function breakConnection(world: World, connection: Connection): World {
  if (connection.isSilent) return entryLost(world, connection);
  const gone = forget(world, connection.connectionId);
  return entryLost(agentLost(gone, connection), connection);
}

/** Closes a connection from one side, after the messages that this side sent before. */
export function closeFrom(world: World, side: 'entry' | 'agent', connection: Connection): World {
  if (side === 'agent') return sendOver(world, connection.connectionId, { kind: 'closeEntry' });
  const { connectionId } = connection;
  const told = sendOver(world, connectionId, { kind: 'closeAgent' });
  const connections = told.connections.update(connectionId, (kept = connection) => ({
    ...kept,
    isEntryClosed: true,
  }));
  return entryLost({ ...told, connections }, connection);
}

/** Carries a payload to the process at the end of its connection. */
export function arrive(world: World, connectionId: string, payload: Payload): World {
  const connection = world.connections.get(connectionId);
  if (connection === undefined || connection.isSilent) return world;
  switch (payload.kind) {
    case 'toEntry': {
      if (connection.isEntryClosed) return world;
      const event = { kind: 'received', linkId: connectionId, message: payload.message } as const;
      return deliver(world, connection.entryId, { kind: 'entryEvent', event }, 0);
    }
    case 'toAgent': {
      const { agentId, entrySite } = connection;
      const event = { kind: 'received', linkId: entrySite, message: payload.message } as const;
      return deliver(world, agentId, { kind: 'agentEvent', event }, 0);
    }
    case 'closeEntry':
      return entryLost(forget(world, connectionId), connection);
    case 'closeAgent':
      return agentLost(forget(world, connectionId), connection);
    default:
      return assertNever(payload);
  }
}

/** Opens a connection if the entry at the site runs and can be reached both ways, else retries. */
export function dial(world: World, agentId: string, entrySite: string, retryMs: number): World {
  const agent = world.processes.get(agentId);
  if (agent?.kind !== 'agent') return world;
  const entry = world.processes
    .valueSeq()
    .filter((process) => process.kind === 'entry' && process.site.name === entrySite)
    .last();
  const isOpen =
    entry !== undefined &&
    entry.pausedUntilMs <= world.nowMs &&
    !isCut(world, agent, entry) &&
    !isCut(world, entry, agent);
  if (!isOpen) return redial(world, agentId, entrySite, retryMs);
  const connectionId = `c${world.sequence + 1}`;
  const connection: Connection = {
    connectionId,
    agentId,
    entryId: entry.processId,
    entrySite,
    isSilent: false,
    isEntryClosed: false,
    mischief: 'none',
    lastToEntryMs: 0,
    lastToAgentMs: 0,
  };
  const opened = {
    ...world,
    sequence: world.sequence + 1,
    connections: world.connections.set(connectionId, connection),
    dialled: world.dialled.set(dialledKey(agentId, entrySite), connectionId),
  };
  const entryEvent = { kind: 'linkOpened', linkId: connectionId } as const;
  const agentEvent = { kind: 'linkOpened', linkId: entrySite } as const;
  const tripMs = delayMs(world, agent, entry, world.sequence);
  const told = deliver(opened, entry.processId, { kind: 'entryEvent', event: entryEvent }, tripMs);
  return deliver(told, agentId, { kind: 'agentEvent', event: agentEvent }, 2 * tripMs);
}
