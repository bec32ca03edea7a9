import {
  callTaskWorker,
  commitRow,
  advanceTaskWorker,
  readFeed,
  readRange,
} from '@bronzeyoke/standins';
import { workerKeyOf } from '@bronzeyoke/ports';
import type { RowChange, StoredRow, WorkerCallResult } from '@bronzeyoke/ports';
import {
  cancelKey,
  decodeLeader,
  jobKey,
  LEADER_KEY,
  PARTITION,
  progressKey,
  TABLES,
} from '@bronzeyoke/scheduler';
import { assertNever } from '@bronzeyoke/types';
import { decodeProgress, parseTaskName } from '@bronzeyoke/workflow';
import { endFault, startFault } from './fault';
import { makeJob } from './job';
import { bootAgent, bootEntry, INTERVALS, stepAgentProcess, stepEntryProcess } from './process';
import type { FleetViolation, Fleet, FleetEvent } from './world';
import { drawStepUniform, isActive, schedule, workerReport, WALL_START_MS } from './world';

const NETWORK_MS = 2;
const STORE_MS = 10;
const REDIAL_MS = 400;

type EventOf<Kind extends FleetEvent['kind']> = Extract<FleetEvent, { kind: Kind }>;

function isStoreUnreachable(fleet: Fleet, site: string): boolean {
  return isActive(
    fleet,
    (fault) => fault.kind === 'storeDown' || (fault.kind === 'cutStore' && fault.site === site),
  );
}

function isLinkCut(fleet: Fleet, agent: string, entry: string): boolean {
  return isActive(
    fleet,
    (fault) => fault.kind === 'cutLink' && fault.agent === agent && fault.entry === entry,
  );
}

function callStore(fleet: Fleet, item: EventOf<'storeCall'>): Fleet {
  const { site, bootId, call, isLate } = item;
  const { callId } = call;
  const wallMs = WALL_START_MS + fleet.nowMs;
  const reply = (current: Fleet, event: EventOf<'entryEvent'>['event']): Fleet =>
    schedule(current, 1, { kind: 'entryEvent', site, bootId, event });
  const isUnreachable = isStoreUnreachable(fleet, site);
  if (call.kind === 'range') {
    const result = isUnreachable
      ? ({ kind: 'unavailable' } as const)
      : readRange(fleet.store, call.range);
    return reply(fleet, { kind: 'rangeDone', callId, result, wallMs });
  }
  if (isUnreachable) {
    return reply(fleet, { kind: 'commitDone', callId, result: { kind: 'unavailable' }, wallMs });
  }
  const { state, result } = commitRow(fleet.store, call.transaction);
  const losesAnswer =
    isLate ||
    (isActive(fleet, (fault) => fault.kind === 'storeLosesAnswers') &&
      drawStepUniform(fleet, 6) < 0.4);
  return reply(
    { ...fleet, store: state },
    { kind: 'commitDone', callId, result: losesAnswer ? { kind: 'unknown' } : result, wallMs },
  );
}

function isRunningElsewhere(fleet: Fleet, task: string, site: string): boolean {
  const clockMs = fleet.nowMs;
  return fleet.workers.some(
    (worker) => worker.site !== site && advanceTaskWorker(worker.state, clockMs).runs.has(task),
  );
}

/** Returns the violations by a start of a task at a worker. */
function checkStart(fleet: Fleet, task: string, site: string): readonly FleetViolation[] {
  const atMs = fleet.nowMs;
  const jobId = parseTaskName(task)?.jobId ?? '';
  const row = fleet.store.rows.get([TABLES.progress, PARTITION, jobId].join('\u0001'));
  const isOver = decodeProgress(row?.value)?.outcome === 'complete';
  return [
    ...(isRunningElsewhere(fleet, task, site)
      ? [{ kind: 'concurrentRun', task, atMs } as const]
      : []),
    ...(fleet.acknowledgedTasks.has(task)
      ? [{ kind: 'runAfterSuccess', task, atMs } as const]
      : []),
    ...(isOver ? [{ kind: 'runAfterJobEnd', task, atMs } as const] : []),
  ];
}

function callWorker(fleet: Fleet, item: EventOf<'workerCall'>): Fleet {
  const { site, agentBootId, workerKey, callId, call, isLate } = item;
  const reply = (current: Fleet, result: WorkerCallResult): Fleet =>
    isLate
      ? current
      : schedule(current, 1, {
          kind: 'agentEvent',
          site,
          bootId: agentBootId,
          event: { kind: 'callDone', callId, result },
        });
  const worker = fleet.workers.get(site);
  if (worker === undefined) return reply(fleet, { kind: 'notListening' });
  const report = workerReport(worker, 0);
  if (workerKeyOf(report) !== workerKey) return reply(fleet, { kind: 'otherWorker' });
  const workMs = 200 + Math.floor(drawStepUniform(fleet, 7) * 3_000);
  const listed = worker.state.ends;
  const step = callTaskWorker(worker.state, call, fleet.nowMs, workMs);
  const acknowledged =
    call.kind === 'hold'
      ? listed.filter(({ sequence, end }) => end === 'done' && sequence <= call.ackSequence)
      : listed.clear();
  const updated: Fleet = {
    ...fleet,
    workers: fleet.workers.set(site, { ...worker, state: step.state }),
    acknowledgedTasks: fleet.acknowledgedTasks.union(acknowledged.map(({ task }) => task)),
  };
  const { started } = step;
  const checked =
    started === undefined
      ? updated
      : {
          ...updated,
          starts: updated.starts + 1,
          violations: [...updated.violations, ...checkStart(updated, started.task, site)],
        };
  return reply(checked, step.result);
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

function dial(fleet: Fleet, { site, bootId, host }: EventOf<'dial'>): Fleet {
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

function deliverMessage(fleet: Fleet, item: EventOf<'toEntry'> | EventOf<'toAgent'>): Fleet {
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

function putRows(changes: readonly RowChange[]): readonly StoredRow[] {
  return changes.flatMap((change) => (change.kind === 'put' ? [change] : []));
}

interface RowUpdate {
  readonly isFull: boolean;
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

function readTable(fleet: Fleet, table: string, version: number | undefined): RowUpdate {
  const feed =
    version === undefined
      ? ({ kind: 'historyLost' } as const)
      : readFeed(fleet.store, table, version);
  if (feed.kind === 'changes') {
    return { isFull: false, rows: putRows(feed.changes), version: feed.version };
  }
  const range = readRange(fleet.store, { table, partition: PARTITION });
  const rows = range.kind === 'rows' ? range.rows : [];
  return { isFull: true, rows, version: fleet.store.version };
}

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

function sendHeartbeat(fleet: Fleet, site: string): Fleet {
  const worker = fleet.workers.get(site);
  const agent = fleet.agents.get(site);
  if (worker === undefined) return fleet;
  const rescheduled = schedule(fleet, INTERVALS.heartbeatMs, { kind: 'heartbeat', site });
  if (agent === undefined) return rescheduled;
  const report = workerReport(worker, fleet.sequence);
  return schedule(rescheduled, 1, {
    kind: 'agentEvent',
    site,
    bootId: agent.bootId,
    event: { kind: 'heartbeat', report },
  });
}

function commitJobChange(fleet: Fleet, item: EventOf<'submit'> | EventOf<'cancel'>): Fleet {
  const { jobId } = item;
  const transaction =
    item.kind === 'submit'
      ? {
          conditions: [
            { ...jobKey(jobId), version: 0 },
            { ...progressKey(jobId), version: 0 },
          ],
          writes: [{ kind: 'put', ...jobKey(jobId), value: makeJob(fleet, jobId) } as const],
        }
      : { conditions: [], writes: [{ kind: 'put', ...cancelKey(jobId), value: {} } as const] };
  return { ...fleet, store: commitRow(fleet.store, transaction).state };
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
    case 'heartbeat':
      return sendHeartbeat(fleet, item.site);
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
