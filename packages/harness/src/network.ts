import { assertNever } from '@bronzeyoke/types';
import type { Connection, Payload, Process, World } from './world';
import { drawStepUniforms, deliver, schedule, siteName } from './world';

const SAME_DOMAIN_DELAY_MS = 0.2;
const JITTER_MS = 0.3;
const INITIAL_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;
const FAULT_DELAY_MS = 400;

function delayMs(world: World, from: Process, to: Process, salt: number): number {
  const [jitter = 0] = drawStepUniforms(world, salt, 1);
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

/** Sends a message over a connection, unless a fault loses it. */
export function sendOver(world: World, connectionId: string, payload: Payload): World {
  const connection = world.connections.get(connectionId);
  if (connection === undefined || connection.isSilent) return world;
  const ends = endsOf(world, connection, payload);
  if (ends === undefined || isCut(world, ...ends)) return world;
  const direct = delayMs(world, ends[0], ends[1], world.sequence);
  const [extra = 0] = drawStepUniforms(world, world.sequence + 1, 1);
  const lastMs = isToEntry(payload) ? connection.lastToEntryMs : connection.lastToAgentMs;
  const inOrderMs = Math.max(direct, lastMs - world.nowMs);
  const item = { kind: 'payloadArrives', connectionId, payload } as const;
  const arrivesAfterMs = (): number => {
    switch (connection.messageFault) {
      case 'none':
      case 'duplicate':
        return inOrderMs;
      case 'delay':
        return Math.max(inOrderMs, direct + extra * FAULT_DELAY_MS);
      case 'reorder':
        return direct + extra * FAULT_DELAY_MS;
      default:
        return assertNever(connection.messageFault);
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
  return connection.messageFault === 'duplicate'
    ? schedule(sent, afterMs + extra * FAULT_DELAY_MS, item)
    : sent;
}

function endpointsKey(agentId: string, entrySite: string): string {
  return `${agentId}>${entrySite}`;
}

/** Returns the latest connection of an agent to the entry at a site, if it still exists. */
export function connectionTo(
  world: World,
  agentId: string,
  entrySite: string,
): Connection | undefined {
  const connectionId = world.latestConnections.get(endpointsKey(agentId, entrySite));
  return connectionId === undefined ? undefined : world.connections.get(connectionId);
}

function removeConnection(world: World, connectionId: string): World {
  return { ...world, connections: world.connections.delete(connectionId) };
}

/** Schedules another dial of the entry at a site, with exponential backoff. */
function scheduleRedial(world: World, agentId: string, entrySite: string, retryMs: number): World {
  const nextMs = Math.min(MAX_RETRY_MS, Math.max(INITIAL_RETRY_MS, retryMs * 2));
  return schedule(world, retryMs, { kind: 'dial', agentId, entrySite, retryMs: nextMs });
}

function closeAgentSide(world: World, connection: Connection): World {
  const { agentId, entrySite } = connection;
  const event = { kind: 'linkClosed', linkId: entrySite } as const;
  const notified = deliver(world, agentId, { kind: 'agentEvent', event }, 0);
  return scheduleRedial(notified, agentId, entrySite, INITIAL_RETRY_MS);
}

function closeEntrySide(world: World, connection: Connection): World {
  const event = { kind: 'linkClosed', linkId: connection.connectionId } as const;
  return deliver(world, connection.entryId, { kind: 'entryEvent', event }, 0);
}

/** Breaks a connection: both sides see it close, and messages in transit are lost. */
export function breakConnection(world: World, connection: Connection): World {
  if (connection.isSilent) return closeEntrySide(world, connection);
  const removed = removeConnection(world, connection.connectionId);
  return closeEntrySide(closeAgentSide(removed, connection), connection);
}

/** Closes a connection from one side, after the messages that this side has sent. */
export function closeFrom(world: World, side: 'entry' | 'agent', connection: Connection): World {
  if (side === 'agent') return sendOver(world, connection.connectionId, { kind: 'closeEntry' });
  const { connectionId } = connection;
  const notified = sendOver(world, connectionId, { kind: 'closeAgent' });
  const connections = notified.connections.update(connectionId, (kept = connection) => ({
    ...kept,
    isEntryClosed: true,
  }));
  return closeEntrySide({ ...notified, connections }, connection);
}

/** Delivers a payload to the process at the end of its connection. */
export function deliverPayload(world: World, connectionId: string, payload: Payload): World {
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
      return closeEntrySide(removeConnection(world, connectionId), connection);
    case 'closeAgent':
      return closeAgentSide(removeConnection(world, connectionId), connection);
    default:
      return assertNever(payload);
  }
}

/** Opens a connection if the entry at the site runs and both directions work, else retries. */
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
  if (!isOpen) return scheduleRedial(world, agentId, entrySite, retryMs);
  const connectionId = `c${world.sequence + 1}`;
  const connection: Connection = {
    connectionId,
    agentId,
    entryId: entry.processId,
    entrySite,
    isSilent: false,
    isEntryClosed: false,
    messageFault: 'none',
    lastToEntryMs: 0,
    lastToAgentMs: 0,
  };
  const opened = {
    ...world,
    sequence: world.sequence + 1,
    connections: world.connections.set(connectionId, connection),
    latestConnections: world.latestConnections.set(endpointsKey(agentId, entrySite), connectionId),
  };
  const entryEvent = { kind: 'linkOpened', linkId: connectionId } as const;
  const agentEvent = { kind: 'linkOpened', linkId: entrySite } as const;
  const tripMs = delayMs(world, agent, entry, world.sequence);
  const notified = deliver(
    opened,
    entry.processId,
    { kind: 'entryEvent', event: entryEvent },
    tripMs,
  );
  return deliver(notified, agentId, { kind: 'agentEvent', event: agentEvent }, 2 * tripMs);
}
