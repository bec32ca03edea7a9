import type { EventOf, Fleet } from './world';
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
  return schedule(notified, NETWORK_MS, {
    kind: 'agentEvent',
    site: agent,
    bootId: agentBootId,
    event: { kind: 'linkClosed' },
  });
}

/** Connects an agent to an entry, or tries again later. */
export function dial(fleet: Fleet, { site, bootId, host }: EventOf<'dial'>): Fleet {
  const agent = fleet.agents.get(site);
  if (agent?.bootId !== bootId || agent.state.target?.host !== host) return fleet;
  const dropped = agent.linkId === undefined ? fleet : closeLink(fleet, agent.linkId);
  const entry = fleet.entries.get(host);
  if (entry === undefined || isLinkCut(fleet, site, host)) {
    return schedule(dropped, REDIAL_MS, { kind: 'dial', site, bootId, host });
  }
  const linkId = `link-${fleet.sequence}`;
  const link = { agent: site, agentBootId: bootId, entry: host, entryBootId: entry.bootId };
  const linked = {
    ...dropped,
    links: dropped.links.set(linkId, link),
    agents: dropped.agents.set(site, { ...agent, linkId }),
  };
  const opened = schedule(linked, NETWORK_MS, {
    kind: 'entryEvent',
    site: host,
    bootId: entry.bootId,
    event: { kind: 'linkOpened', linkId },
  });
  return schedule(opened, NETWORK_MS, {
    kind: 'agentEvent',
    site,
    bootId,
    event: { kind: 'linkOpened' },
  });
}

/** Delivers a message of a link, unless the link is cut or its process was replaced. */
export function deliverMessage(fleet: Fleet, item: EventOf<'toEntry'> | EventOf<'toAgent'>): Fleet {
  const link = fleet.links.get(item.linkId);
  if (link === undefined || isLinkCut(fleet, link.agent, link.entry)) return fleet;
  if (item.kind === 'toAgent') {
    const isCurrent = fleet.agents.get(link.agent)?.linkId === item.linkId;
    return isCurrent
      ? schedule(fleet, 0, {
          kind: 'agentEvent',
          site: link.agent,
          bootId: link.agentBootId,
          event: { kind: 'received', message: item.message },
        })
      : fleet;
  }
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
