import { LEADER_KEY, TABLES, decodeLeader } from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import { endFault, startFault } from './fault';
import { askSeed, deliverMessage, dial } from './network';
import { INTERVALS, bootAgent, bootEntry, stepAgentProcess, stepEntryProcess } from './process';
import { callStore, commitJobChange, isStoreUnreachable, readTable } from './store';
import { callWorker } from './worker';
import { sendHeartbeat, sendLeave, sendOddDraining, sendOddHeartbeat } from './heartbeat';
import type { EventOf, Fleet, FleetEvent } from './world';
import { STORE_MS, WALL_START_MS, schedule } from './world';

function tickEntry(fleet: Fleet, { site, bootId }: EventOf<'entryTick'>): Fleet {
  const entry = fleet.entries.get(site);
  if (entry?.bootId !== bootId) return fleet;
  const wallMs = WALL_START_MS + fleet.nowMs;
  const rescheduled = schedule(fleet, INTERVALS.tickMs, { kind: 'entryTick', site, bootId });
  const ticked = stepEntryProcess(rescheduled, site, bootId, { kind: 'tick', wallMs });
  const current = ticked.entries.get(site);
  const isFrozen = (fleet.frozenUntilMs.get(site) ?? 0) > fleet.nowMs;
  if (isStoreUnreachable(fleet, site) || current === undefined || isFrozen) return ticked;
  const leader = readTable(ticked, TABLES.leader, current.leaderVersion);
  const jobs = current.followsJobs
    ? readTable(ticked, TABLES.jobs, current.jobsVersion)
    : undefined;
  const read: Fleet = {
    ...ticked,
    entries: ticked.entries.set(site, {
      ...current,
      leaderVersion: leader.version,
      ...(jobs === undefined ? {} : { jobsVersion: jobs.version }),
    }),
  };
  const notified =
    leader.isFull || leader.rows.length > 0
      ? schedule(read, STORE_MS, {
          kind: 'entryEvent',
          site,
          bootId,
          event: {
            kind: 'leaderRow',
            row: leader.rows.findLast(({ key }) => key === LEADER_KEY.key),
          },
        })
      : read;
  if (jobs === undefined || (!jobs.isFull && jobs.rows.length === 0)) return notified;
  const { isFull, rows } = jobs;
  return schedule(notified, STORE_MS, {
    kind: 'entryEvent',
    site,
    bootId,
    event: { kind: 'jobRows', isFull, rows, wallMs },
  });
}

function tickAgent(fleet: Fleet, { site, bootId }: EventOf<'agentTick'>): Fleet {
  const agent = fleet.agents.get(site);
  if (agent?.bootId !== bootId) return fleet;
  const rescheduled = schedule(fleet, INTERVALS.agentTickMs, { kind: 'agentTick', site, bootId });
  const ticked = stepAgentProcess(rescheduled, site, bootId, { kind: 'tick' });
  const current = ticked.agents.get(site);
  const isFrozen = (fleet.frozenUntilMs.get(site) ?? 0) > fleet.nowMs;
  if (isStoreUnreachable(fleet, site) || current === undefined || isFrozen) return ticked;
  const update = readTable(ticked, TABLES.leader, current.leaderVersion);
  const leader = decodeLeader(update.rows.findLast(({ key }) => key === LEADER_KEY.key));
  const read = {
    ...ticked,
    agents: ticked.agents.set(site, { ...current, leaderVersion: update.version }),
  };
  if (leader === undefined) return read;
  const { term, host, port } = leader;
  return schedule(read, STORE_MS, {
    kind: 'agentEvent',
    site,
    bootId,
    event: { kind: 'leader', term, address: { host, port } },
  });
}

/** Handles an event of the simulation. */
export function handleFleetEvent(fleet: Fleet, item: FleetEvent): Fleet {
  switch (item.kind) {
    case 'entryEvent':
      return stepEntryProcess(fleet, item.site, item.bootId, item.event);
    case 'agentEvent':
      return stepAgentProcess(fleet, item.site, item.bootId, item.event);
    case 'entryTick':
      return tickEntry(fleet, item);
    case 'agentTick':
      return tickAgent(fleet, item);
    case 'storeCall':
      return callStore(fleet, item);
    case 'workerCall':
      return callWorker(fleet, item);
    case 'toEntry':
    case 'toAgent':
      return deliverMessage(fleet, item);
    case 'dial':
      return dial(fleet, item);
    case 'askSeed':
      return askSeed(fleet, item);
    case 'heartbeat':
      return sendHeartbeat(fleet, item.site);
    case 'oddHeartbeat':
      return sendOddHeartbeat(fleet, item.site);
    case 'oddLeave':
      return sendLeave(fleet, item.site, fleet.workers.get(item.site)?.id ?? '');
    case 'oddDraining':
      return sendOddDraining(fleet, item.site);
    case 'leave':
      return sendLeave(fleet, item.site, item.id);
    case 'bootEntry':
      return bootEntry(fleet, item.site);
    case 'bootAgent':
      return bootAgent(fleet, item.site);
    case 'submit':
    case 'cancel':
      return commitJobChange(fleet, item);
    case 'faultStart':
      return schedule(startFault(fleet, item.fault), item.fault.forMs, {
        kind: 'faultEnd',
        fault: item.fault,
      });
    case 'faultEnd':
      return endFault(fleet, item.fault);
    default:
      return assertNever(item);
  }
}
