import { without } from '@bronzeyoke/types';
import type { EventOf, Fleet, FleetAgent } from './world';
import { NETWORK_MS, WALL_START_MS, isActive, schedule } from './world';

const REDIAL_MS = 400;

function isLinkCut(fleet: Fleet, agent: string, entry: string): boolean {
  return isActive(
    fleet,
    (fault) => fault.kind === 'cutLink' && fault.agent === agent && fault.entry === entry,
  );
}

function closeLink(fleet: Fleet, linkId: string): Fleet {
  const link = fleet.links.get(linkId);
  if (link === undefined) return fleet;
  const { agent, agentBootId, entry, entryBootId } = link;
  const closed = { ...fleet, links: fleet.links.delete(linkId) };
  const notified = schedule(closed, NETWORK_MS, {
    kind: 'entryEvent',
    site: entry,
    bootId: entryBootId,
    event: { kind: 'linkClosed', linkId },
  });
  if (fleet.agents.get(agent)?.linkId !== linkId) return notified;
  return schedule(notified, NETWORK_MS, {
    kind: 'agentEvent',
    site: agent,
    bootId: agentBootId,
    event: { kind: 'linkClosed' },
  });
}

/** Opens a link from an agent to an entry; undefined if they do not reach each other. */
function openLink(
  fleet: Fleet,
  { site, bootId }: FleetAgent,
  host: string,
): { readonly fleet: Fleet; readonly linkId: string } | undefined {
  const entry = fleet.entries.get(host);
  if (entry === undefined || isLinkCut(fleet, site, host)) return undefined;
  const linkId = `link-${fleet.sequence}`;
  const link = { agent: site, agentBootId: bootId, entry: host, entryBootId: entry.bootId };
  const linked = { ...fleet, links: fleet.links.set(linkId, link) };
  const opened = schedule(linked, NETWORK_MS, {
    kind: 'entryEvent',
    site: host,
    bootId: entry.bootId,
    event: { kind: 'linkOpened', linkId },
  });
  return { fleet: opened, linkId };
}

/** Connects an agent to an entry, or tries again later. */
export function dial(fleet: Fleet, item: EventOf<'dial'>): Fleet {
  const { site, bootId, host } = item;
  const agent = fleet.agents.get(site);
  if (agent?.bootId !== bootId || agent.state.target?.host !== host) return fleet;
  const dropped = agent.linkId === undefined ? fleet : closeLink(fleet, agent.linkId);
  const opened = openLink(dropped, agent, host);
  if (opened === undefined) return schedule(dropped, REDIAL_MS, item);
  const { linkId } = opened;
  const agents = opened.fleet.agents.set(site, { ...agent, linkId });
  return schedule({ ...opened.fleet, agents }, NETWORK_MS, {
    kind: 'agentEvent',
    site,
    bootId,
    event: { kind: 'linkOpened' },
  });
}

/** Closes the link to a seed on which an agent asked who leads. */
export function endLookup(fleet: Fleet, site: string): Fleet {
  const agent = fleet.agents.get(site);
  if (agent?.seedLinkId === undefined) return fleet;
  const agents = fleet.agents.set(site, without(agent, 'seedLinkId'));
  return closeLink({ ...fleet, agents }, agent.seedLinkId);
}

/** Connects an agent to the seed that it asks who leads, or tries again later. */
export function askSeed(fleet: Fleet, item: EventOf<'askSeed'>): Fleet {
  const { site, bootId, host } = item;
  const agent = fleet.agents.get(site);
  if (agent?.bootId !== bootId || agent.state.lookup.address?.host !== host) return fleet;
  const dropped = endLookup(fleet, site);
  const opened = openLink(dropped, agent, host);
  if (opened === undefined) return schedule(dropped, REDIAL_MS, item);
  const { linkId: seedLinkId } = opened;
  return { ...opened.fleet, agents: opened.fleet.agents.set(site, { ...agent, seedLinkId }) };
}

function deliverToAgent(fleet: Fleet, { linkId, message }: EventOf<'toAgent'>): Fleet {
  const link = fleet.links.get(linkId);
  const agent = link === undefined ? undefined : fleet.agents.get(link.agent);
  if (agent === undefined) return fleet;
  const { site, bootId } = agent;
  if (agent.linkId === linkId) {
    const event = { kind: 'received', message } as const;
    return schedule(fleet, 0, { kind: 'agentEvent', site, bootId, event });
  }
  if (agent.seedLinkId !== linkId || message.kind !== 'leader') return fleet;
  const { term, host, port } = message;
  const event = { kind: 'leaderNamed', term, address: { host, port } } as const;
  return schedule(fleet, 0, { kind: 'agentEvent', site, bootId, event });
}

/** Delivers a message of a link, unless the link is cut or its process was replaced. */
export function deliverMessage(fleet: Fleet, item: EventOf<'toEntry'> | EventOf<'toAgent'>): Fleet {
  const link = fleet.links.get(item.linkId);
  if (link === undefined || isLinkCut(fleet, link.agent, link.entry)) return fleet;
  if (item.kind === 'toAgent') return deliverToAgent(fleet, item);
  if (fleet.entries.get(link.entry)?.bootId !== link.entryBootId)
    return closeLink(fleet, item.linkId);
  return schedule(fleet, 0, {
    kind: 'entryEvent',
    site: link.entry,
    bootId: link.entryBootId,
    event: {
      kind: 'received',
      linkId: item.linkId,
      message: item.message,
      wallMs: WALL_START_MS + fleet.nowMs,
    },
  });
}
