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
import { heal, strike } from './fault';
import { makeJob } from './job';
import { bootAgent, bootEntry, INTERVALS, stepAgentProcess, stepEntryProcess } from './process';
import type { Breach, Fleet, FleetHappening } from './world';
import { chance, isActive, plan, reportOf, WALL_START_MS } from './world';

const NETWORK_MS = 2;
const STORE_MS = 10;
const REDIAL_MS = 400;

type Happening<Kind extends FleetHappening['kind']> = Extract<FleetHappening, { kind: Kind }>;

function isStoreAway(fleet: Fleet, site: string): boolean {
  return isActive(
    fleet,
    (fault) => fault.kind === 'storeDown' || (fault.kind === 'cutStore' && fault.site === site),
  );
}

function isCut(fleet: Fleet, agent: string, entry: string): boolean {
  return isActive(
    fleet,
    (fault) => fault.kind === 'cutLink' && fault.agent === agent && fault.entry === entry,
  );
}

function callStore(fleet: Fleet, item: Happening<'storeCall'>): Fleet {
  const { site, life, call, isLate } = item;
  const { callId } = call;
  const wallMs = WALL_START_MS + fleet.nowMs;
  const reply = (world: Fleet, event: Happening<'entryEvent'>['event']): Fleet =>
    plan(world, 1, { kind: 'entryEvent', site, life, event });
  const isAway = isStoreAway(fleet, site);
  if (call.kind === 'range') {
    const result = isAway ? ({ kind: 'unavailable' } as const) : readRange(fleet.store, call.range);
    return reply(fleet, { kind: 'rangeDone', callId, result, wallMs });
  }
  if (isAway) {
    return reply(fleet, { kind: 'commitDone', callId, result: { kind: 'unavailable' }, wallMs });
  }
  const { state, result } = commitRow(fleet.store, call.transaction);
  const loses =
    isLate ||
    (isActive(fleet, (fault) => fault.kind === 'storeLosesAnswers') && chance(fleet, 6) < 0.4);
  return reply(
    { ...fleet, store: state },
    { kind: 'commitDone', callId, result: loses ? { kind: 'unknown' } : result, wallMs },
  );
}

function isRunningElsewhere(fleet: Fleet, task: string, site: string): boolean {
  const clockMs = fleet.nowMs;
  return fleet.workers.some(
    (worker) => worker.site !== site && advanceTaskWorker(worker.state, clockMs).runs.has(task),
  );
}

/** What a start that a worker has begun breaks. */
function judgeStart(fleet: Fleet, task: string, site: string): readonly Breach[] {
  const atMs = fleet.nowMs;
  const jobId = parseTaskName(task)?.jobId ?? '';
  const row = fleet.store.rows.get([TABLES.progress, PARTITION, jobId].join('\u0001'));
  const isOver = decodeProgress(row?.value)?.outcome === 'complete';
  return [
    ...(isRunningElsewhere(fleet, task, site) ? [{ rule: 'twice', task, atMs } as const] : []),
    ...(fleet.acknowledged.has(task) ? [{ rule: 'afterDone', task, atMs } as const] : []),
    ...(isOver ? [{ rule: 'afterEnd', task, atMs } as const] : []),
  ];
}

function callWorker(fleet: Fleet, item: Happening<'workerCall'>): Fleet {
  const { site, agentLife, workerKey, callId, call, isLate } = item;
  const reply = (world: Fleet, result: WorkerCallResult): Fleet =>
    isLate
      ? world
      : plan(world, 1, {
          kind: 'agentEvent',
          site,
          life: agentLife,
          event: { kind: 'callDone', callId, result },
        });
  const worker = fleet.workers.get(site);
  if (worker === undefined) return reply(fleet, { kind: 'notListening' });
  const report = reportOf(worker, 0);
  if (workerKeyOf(report) !== workerKey) return reply(fleet, { kind: 'otherWorker' });
  const workMs = 200 + Math.floor(chance(fleet, 7) * 3_000);
  const listed = worker.state.ends;
  const step = callTaskWorker(worker.state, call, fleet.nowMs, workMs);
  const acknowledged =
    call.kind === 'hold'
      ? listed.filter(({ sequence, end }) => end === 'done' && sequence <= call.ackSequence)
      : listed.clear();
  const noted: Fleet = {
    ...fleet,
    workers: fleet.workers.set(site, { ...worker, state: step.state }),
    acknowledged: fleet.acknowledged.union(acknowledged.map(({ task }) => task)),
  };
  const { started } = step;
  const judged =
    started === undefined
      ? noted
      : {
          ...noted,
          starts: noted.starts + 1,
          breaches: [...noted.breaches, ...judgeStart(noted, started.task, site)],
        };
  return reply(judged, step.result);
}

function closeLink(fleet: Fleet, linkId: string): Fleet {
  const link = fleet.links.get(linkId);
  if (link === undefined) return fleet;
  const { agent, agentLife, entry, entryLife } = link;
  const closed = { ...fleet, links: fleet.links.delete(linkId) };
  const told = plan(closed, NETWORK_MS, {
    kind: 'entryEvent',
    site: entry,
    life: entryLife,
    event: { kind: 'linkClosed', linkId },
  });
  return plan(told, NETWORK_MS, {
    kind: 'agentEvent',
    site: agent,
    life: agentLife,
    event: { kind: 'linkClosed' },
  });
}

function dial(fleet: Fleet, { site, life, host }: Happening<'dial'>): Fleet {
  const agent = fleet.agents.get(site);
  if (agent?.life !== life || agent.state.target?.host !== host) return fleet;
  const dropped = agent.linkId === undefined ? fleet : closeLink(fleet, agent.linkId);
  const entry = fleet.entries.get(host);
  if (entry === undefined || isCut(fleet, site, host)) {
    return plan(dropped, REDIAL_MS, { kind: 'dial', site, life, host });
  }
  const linkId = `link-${fleet.sequence}`;
  const link = { agent: site, agentLife: life, entry: host, entryLife: entry.life };
  const linked = {
    ...dropped,
    links: dropped.links.set(linkId, link),
    agents: dropped.agents.set(site, { ...agent, linkId }),
  };
  const opened = plan(linked, NETWORK_MS, {
    kind: 'entryEvent',
    site: host,
    life: entry.life,
    event: { kind: 'linkOpened', linkId },
  });
  return plan(opened, NETWORK_MS, {
    kind: 'agentEvent',
    site,
    life,
    event: { kind: 'linkOpened' },
  });
}

function carry(fleet: Fleet, item: Happening<'toEntry'> | Happening<'toAgent'>): Fleet {
  const link = fleet.links.get(item.linkId);
  if (link === undefined || isCut(fleet, link.agent, link.entry)) return fleet;
  if (item.kind === 'toAgent') {
    const isCurrent = fleet.agents.get(link.agent)?.linkId === item.linkId;
    return isCurrent
      ? plan(fleet, 0, {
          kind: 'agentEvent',
          site: link.agent,
          life: link.agentLife,
          event: { kind: 'received', message: item.message },
        })
      : fleet;
  }
  if (fleet.entries.get(link.entry)?.life !== link.entryLife) return closeLink(fleet, item.linkId);
  return plan(fleet, 0, {
    kind: 'entryEvent',
    site: link.entry,
    life: link.entryLife,
    event: {
      kind: 'received',
      linkId: item.linkId,
      message: item.message,
      wallMs: WALL_START_MS + fleet.nowMs,
    },
  });
}

function puts(changes: readonly RowChange[]): readonly StoredRow[] {
  return changes.flatMap((change) => (change.kind === 'put' ? [change] : []));
}

interface TableNews {
  readonly isFull: boolean;
  readonly rows: readonly StoredRow[];
  readonly version: number;
}

function readTable(fleet: Fleet, table: string, version: number | undefined): TableNews {
  const feed =
    version === undefined
      ? ({ kind: 'historyLost' } as const)
      : readFeed(fleet.store, table, version);
  if (feed.kind === 'changes') {
    return { isFull: false, rows: puts(feed.changes), version: feed.version };
  }
  const range = readRange(fleet.store, { table, partition: PARTITION });
  const rows = range.kind === 'rows' ? range.rows : [];
  return { isFull: true, rows, version: fleet.store.version };
}

function tickEntry(fleet: Fleet, { site, life }: Happening<'entryTick'>): Fleet {
  const entry = fleet.entries.get(site);
  if (entry?.life !== life) return fleet;
  const wallMs = WALL_START_MS + fleet.nowMs;
  const next = plan(fleet, INTERVALS.tickMs, { kind: 'entryTick', site, life });
  const ticked = stepEntryProcess(next, site, life, { kind: 'tick', wallMs });
  const now = ticked.entries.get(site);
  const isFrozen = (fleet.frozenUntilMs.get(site) ?? 0) > fleet.nowMs;
  if (isStoreAway(fleet, site) || now === undefined || isFrozen) return ticked;
  const leader = readTable(ticked, TABLES.leader, now.leaderVersion);
  const jobs = now.followsJobs ? readTable(ticked, TABLES.jobs, now.jobsVersion) : undefined;
  const read: Fleet = {
    ...ticked,
    entries: ticked.entries.set(site, {
      ...now,
      leaderVersion: leader.version,
      ...(jobs === undefined ? {} : { jobsVersion: jobs.version }),
    }),
  };
  const told =
    leader.isFull || leader.rows.length > 0
      ? plan(read, STORE_MS, {
          kind: 'entryEvent',
          site,
          life,
          event: {
            kind: 'leaderRow',
            row: leader.rows.findLast(({ key }) => key === LEADER_KEY.key),
          },
        })
      : read;
  if (jobs === undefined || (!jobs.isFull && jobs.rows.length === 0)) return told;
  const { isFull, rows } = jobs;
  return plan(told, STORE_MS, {
    kind: 'entryEvent',
    site,
    life,
    event: { kind: 'jobRows', isFull, rows, wallMs },
  });
}

function tickAgent(fleet: Fleet, { site, life }: Happening<'agentTick'>): Fleet {
  const agent = fleet.agents.get(site);
  if (agent?.life !== life) return fleet;
  const next = plan(fleet, INTERVALS.agentTickMs, { kind: 'agentTick', site, life });
  const ticked = stepAgentProcess(next, site, life, { kind: 'tick' });
  const now = ticked.agents.get(site);
  const isFrozen = (fleet.frozenUntilMs.get(site) ?? 0) > fleet.nowMs;
  if (isStoreAway(fleet, site) || now === undefined || isFrozen) return ticked;
  const news = readTable(ticked, TABLES.leader, now.leaderVersion);
  const leader = decodeLeader(news.rows.findLast(({ key }) => key === LEADER_KEY.key));
  const read = {
    ...ticked,
    agents: ticked.agents.set(site, { ...now, leaderVersion: news.version }),
  };
  if (leader === undefined) return read;
  const { term, host, port } = leader;
  return plan(read, STORE_MS, {
    kind: 'agentEvent',
    site,
    life,
    event: { kind: 'leader', term, address: { host, port } },
  });
}

function beat(fleet: Fleet, site: string): Fleet {
  const worker = fleet.workers.get(site);
  const agent = fleet.agents.get(site);
  if (worker === undefined) return fleet;
  const next = plan(fleet, INTERVALS.heartbeatMs, { kind: 'heartbeat', site });
  if (agent === undefined) return next;
  const report = reportOf(worker, fleet.sequence);
  return plan(next, 1, {
    kind: 'agentEvent',
    site,
    life: agent.life,
    event: { kind: 'heartbeat', report },
  });
}

function write(fleet: Fleet, item: Happening<'submit'> | Happening<'cancel'>): Fleet {
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

/** Lets something happen. */
export function happen(fleet: Fleet, item: FleetHappening): Fleet {
  switch (item.kind) {
    case 'entryEvent':
      return stepEntryProcess(fleet, item.site, item.life, item.event);
    case 'agentEvent':
      return stepAgentProcess(fleet, item.site, item.life, item.event);
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
      return carry(fleet, item);
    case 'dial':
      return dial(fleet, item);
    case 'heartbeat':
      return beat(fleet, item.site);
    case 'bootEntry':
      return bootEntry(fleet, item.site);
    case 'bootAgent':
      return bootAgent(fleet, item.site);
    case 'submit':
    case 'cancel':
      return write(fleet, item);
    case 'fault':
      return plan(strike(fleet, item.fault), item.fault.forMs, { kind: 'heal', fault: item.fault });
    case 'heal':
      return heal(fleet, item.fault);
    default:
      return assertNever(item);
  }
}
