import type { WorkerFaults } from '@bronzeyoke/standins';
import { NO_WORKER_FAULTS } from '@bronzeyoke/standins';
import type { Resources, Submission } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { ask } from './caller';
import { breakConnection } from './network';
import { giveCommand } from './operator';
import { WALL_OFFSET_MS, bootAgent, bootEntry, killProcess } from './process';
import { changeWorker, payloadOf } from './worker';
import type { Connection, Mischief, Process, UpstreamMode, World } from './world';
import { deliver, observe, siteName, updateProcess } from './world';

/** What callers, operators and faults do to a world. Numbers choose among what exists at the time. */
export type Command =
  | { readonly kind: 'wait'; readonly durationMs: number }
  | { readonly kind: 'ask'; readonly entry: number; readonly timeoutMs: number }
  | {
      readonly kind: 'askKeyed';
      readonly entry: number;
      readonly key: number;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'kill'; readonly role: Process['kind']; readonly which: number }
  | { readonly kind: 'stop'; readonly role: Process['kind']; readonly which: number }
  /** Starts a process at a site, also when one still runs there. */
  | { readonly kind: 'boot'; readonly role: Process['kind']; readonly which: number }
  | {
      readonly kind: 'pause';
      readonly role: Process['kind'];
      readonly which: number;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'jumpClock';
      readonly role: Process['kind'];
      readonly which: number;
      readonly aheadMs: number;
    }
  | { readonly kind: 'breakLink'; readonly which: number }
  | { readonly kind: 'silence'; readonly which: number }
  | { readonly kind: 'mistreat'; readonly which: number; readonly mischief: Mischief }
  | {
      readonly kind: 'cut';
      readonly agent: number;
      readonly entry: number;
      readonly direction: 'toEntry' | 'toAgent';
    }
  | { readonly kind: 'upstream'; readonly which: number; readonly mode: UpstreamMode }
  | { readonly kind: 'store'; readonly fault: 'none' | 'down' | 'slow' | 'losesReplies' }
  /** An operator takes a domain out or in; two of these at once race for a number. */
  | {
      readonly kind: 'ticket';
      readonly entry: number;
      readonly domain: number;
      readonly state: 'in' | 'out';
    }
  | {
      readonly kind: 'submit';
      readonly entry: number;
      readonly team: number;
      readonly key: number;
      readonly taskCount: number;
      readonly declaredMilli: number;
      readonly usedMilli: number;
      readonly runMs: number;
      readonly isUrgent: boolean;
      readonly fails: boolean;
    }
  | { readonly kind: 'cancelJob'; readonly entry: number; readonly which: number }
  /** A wave: every job that is known is cancelled. */
  | { readonly kind: 'cancelAll'; readonly entry: number }
  | {
      readonly kind: 'worker';
      readonly which: number;
      readonly fault: 'none' | 'slow' | 'down' | 'losesReplies' | 'failsEveryTask';
    }
  | { readonly kind: 'showConfiguration'; readonly entry: number }
  | { readonly kind: 'heal' };

function nth<Item>(items: readonly Item[], index: number): Item | undefined {
  return items[index % Math.max(1, items.length)];
}

function processesOf(world: World, role: Process['kind']): readonly Process[] {
  return world.processes
    .valueSeq()
    .filter(({ kind }) => kind === role)
    .toArray();
}

function withProcess(
  world: World,
  role: Process['kind'],
  which: number,
  update: (process: Process) => World,
): World {
  const process = nth(processesOf(world, role), which);
  return process === undefined ? world : update(process);
}

function withConnection(
  world: World,
  which: number,
  update: (connection: Connection) => World,
): World {
  const connection = nth(world.connections.valueSeq().toArray(), which);
  return connection === undefined ? world : update(connection);
}

function change(world: World, connection: Connection, part: Partial<Connection>): World {
  const changed = { ...connection, ...part };
  return { ...world, connections: world.connections.set(connection.connectionId, changed) };
}

function boot(world: World, role: Process['kind'], which: number): World {
  switch (role) {
    case 'entry': {
      const site = nth(world.deployment.entries, which);
      return site === undefined ? world : bootEntry(world, site);
    }
    case 'agent': {
      const site = nth(world.deployment.workers, which);
      return site === undefined ? world : bootAgent(world, site);
    }
    default:
      return assertNever(role);
  }
}

function stop(world: World, process: Process): World {
  const { processId } = process;
  const event = { kind: 'stop' } as const;
  switch (process.kind) {
    case 'entry':
      return deliver(world, processId, { kind: 'entryEvent', event }, 0);
    case 'agent':
      return deliver(world, processId, { kind: 'agentEvent', event }, 0);
    default:
      return assertNever(process);
  }
}

function domainsOf(world: World): readonly string[] {
  return [...new Set(world.deployment.workers.map(({ domain }) => domain))];
}

/** Bytes that a cut swallowed are lost to their connection, so it breaks when the cut heals. */
function heal(world: World): World {
  const isHurt = (connection: Connection): boolean => {
    const agent = world.processes.get(connection.agentId);
    const name = agent === undefined ? '' : siteName(agent);
    const { entrySite } = connection;
    return world.cuts.has(`${name}>${entrySite}`) || world.cuts.has(`${entrySite}>${name}`);
  };
  const broken = world.connections.valueSeq().filter(isHurt).reduce(breakConnection, world);
  const healed: World = {
    ...broken,
    cuts: broken.cuts.clear(),
    store: { ...broken.store, isDown: false, isSlow: false, losesReplies: false },
    connections: broken.connections.map((connection) => ({ ...connection, mischief: 'none' })),
    upstreams: broken.upstreams.map((upstream) => ({ ...upstream, mode: 'healthy' })),
  };
  const repaired = healed.deployment.workers.reduce(
    (current, { worker }) =>
      changeWorker(current, worker, { kind: 'faults', faults: NO_WORKER_FAULTS }),
    healed,
  );
  const isManned = (name: string): boolean =>
    healed.processes.some((process) => siteName(process) === name);
  const withEntries = healed.deployment.entries
    .filter(({ name }) => !isManned(name))
    .reduce(bootEntry, repaired);
  return healed.deployment.workers
    .filter(({ worker }) => !isManned(worker))
    .reduce(bootAgent, withEntries);
}

const SLOW_WORKER_MS = 1_500;
// Right for some of the drawn run times and far off for the others.
const DECLARED_RUN_MS = 1_000;
const DEADLINE_MS = 60_000;

function faultsOf(fault: Extract<Command, { readonly kind: 'worker' }>['fault']): WorkerFaults {
  return {
    ...NO_WORKER_FAULTS,
    delayMs: fault === 'slow' ? SLOW_WORKER_MS : 0,
    isUnavailable: fault === 'down',
    losesReplies: fault === 'losesReplies',
    failsEveryTask: fault === 'failsEveryTask',
  };
}

function amountOf(processorsMilli: number): Resources {
  return { processorsMilli, memoryMb: processorsMilli, accelerators: 0 };
}

function submissionOf(
  world: World,
  command: Extract<Command, { readonly kind: 'submit' }>,
): Submission {
  const { runMs, fails } = command;
  return {
    team: `t${command.team}`,
    key: `j${command.key}`,
    workKind: 'curve',
    role: 'batch',
    declared: amountOf(command.declaredMilli),
    declaredRunMs: DECLARED_RUN_MS,
    deadlineAtMs: WALL_OFFSET_MS + world.nowMs + DEADLINE_MS,
    urgency: command.isUrgent ? 'urgent' : 'normal',
    taskCount: command.taskCount,
    payload: payloadOf({ runMs, fails, used: amountOf(command.usedMilli) }),
  };
}

const CALM_KINDS: ReadonlySet<Command['kind']> = new Set([
  'wait',
  'ask',
  'askKeyed',
  'stop',
  'ticket',
  'submit',
  'cancelJob',
  'cancelAll',
  'showConfiguration',
  'heal',
]);

/** Whether a command is a fault; planned stops and starts are not. */
function isFault(command: Command): boolean {
  return !CALM_KINDS.has(command.kind);
}

function act(world: World, command: Command): World {
  switch (command.kind) {
    case 'wait':
      return world;
    case 'ask':
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        ask(world, processId, undefined, command.timeoutMs),
      );
    case 'askKeyed':
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        ask(world, processId, `k${command.key}`, command.timeoutMs),
      );
    case 'kill':
      return withProcess(world, command.role, command.which, ({ processId }) =>
        killProcess(world, processId),
      );
    case 'stop':
      return withProcess(world, command.role, command.which, (process) => stop(world, process));
    case 'boot':
      return boot(world, command.role, command.which);
    case 'pause': {
      const pausedUntilMs = world.nowMs + command.durationMs;
      return withProcess(world, command.role, command.which, ({ processId }) =>
        updateProcess(world, processId, (process) => ({ ...process, pausedUntilMs })),
      );
    }
    case 'jumpClock':
      return withProcess(world, command.role, command.which, ({ processId }) =>
        updateProcess(world, processId, (process) => ({
          ...process,
          clockAheadMs: process.clockAheadMs + command.aheadMs,
        })),
      );
    case 'breakLink':
      return withConnection(world, command.which, (connection) =>
        breakConnection(world, connection),
      );
    case 'silence':
      return withConnection(world, command.which, (connection) =>
        change(world, connection, { isSilent: true }),
      );
    case 'mistreat':
      return withConnection(world, command.which, (connection) =>
        change(world, connection, { mischief: command.mischief }),
      );
    case 'cut': {
      const agent = nth(world.deployment.workers, command.agent)?.worker ?? '';
      const entry = nth(world.deployment.entries, command.entry)?.name ?? '';
      const cut = command.direction === 'toEntry' ? `${agent}>${entry}` : `${entry}>${agent}`;
      return { ...world, cuts: world.cuts.set(cut, true) };
    }
    case 'upstream': {
      const worker = nth(world.deployment.workers, command.which)?.worker ?? '';
      const upstream = world.upstreams.get(worker);
      if (upstream === undefined) return world;
      const upstreams = world.upstreams.set(worker, { ...upstream, mode: command.mode });
      return { ...world, upstreams };
    }
    case 'store': {
      const { fault } = command;
      const store = {
        ...world.store,
        isDown: fault === 'down',
        isSlow: fault === 'slow',
        losesReplies: fault === 'losesReplies',
      };
      return { ...world, store };
    }
    case 'ticket': {
      const name = nth(domainsOf(world), command.domain) ?? '';
      const state = { kind: 'domain', name, state: command.state } as const;
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        giveCommand(world, processId, {
          kind: 'applyTicket',
          author: 'operator',
          number: world.office.headNumber + 1,
          changes: [state],
        }),
      );
    }
    case 'submit':
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        giveCommand(world, processId, {
          kind: 'submitJob',
          submission: submissionOf(world, command),
        }),
      );
    case 'cancelJob': {
      const job = nth(world.office.jobs.entrySeq().toArray(), command.which);
      if (job === undefined) return world;
      const [jobId, team] = job;
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        giveCommand(world, processId, { kind: 'cancelJob', jobId, team }),
      );
    }
    case 'cancelAll':
      return world.office.jobs.reduce(
        (current, team, jobId) =>
          withProcess(current, 'entry', command.entry, ({ processId }) =>
            giveCommand(current, processId, { kind: 'cancelJob', jobId, team }),
          ),
        world,
      );
    case 'worker': {
      const worker = nth(world.deployment.workers, command.which)?.worker ?? '';
      return changeWorker(world, worker, { kind: 'faults', faults: faultsOf(command.fault) });
    }
    case 'showConfiguration':
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        giveCommand(world, processId, { kind: 'showConfiguration' }),
      );
    case 'heal':
      return heal(world);
    default:
      return assertNever(command);
  }
}

/** Applies a command. The oracle is told of a fault, because it judges stops strictly without one. */
export function applyCommand(world: World, command: Command): World {
  return act(isFault(command) ? observe(world, { kind: 'disturbed' }) : world, command);
}
