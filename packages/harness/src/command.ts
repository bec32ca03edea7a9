import type { WorkerFaults } from '@bronzeyoke/standins';
import { NO_WORKER_FAULTS } from '@bronzeyoke/standins';
import type { Resources, Submission } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import { sendRequest } from './caller';
import { breakConnection } from './network';
import { sendAdminCommand } from './operator';
import { WALL_OFFSET_MS, bootAgent, bootEntry, killProcess } from './process';
import { applyWorkerInput, encodeBehaviour } from './worker';
import type { Connection, MessageFault, Process, UpstreamMode, World } from './world';
import { deliver, observe, siteName, updateProcess } from './world';

/**
 * An action of callers or operators, or a fault. The numbers `index`, `entry`, `agent` and `domain`
 * select among the items that exist at the time, modulo their count.
 */
export type Command =
  | { readonly kind: 'wait'; readonly durationMs: number }
  | { readonly kind: 'request'; readonly entry: number; readonly timeoutMs: number }
  | {
      readonly kind: 'keyedRequest';
      readonly entry: number;
      readonly key: number;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'kill'; readonly role: Process['kind']; readonly index: number }
  | { readonly kind: 'stop'; readonly role: Process['kind']; readonly index: number }
  /** Starts a process at a site, also when one still runs there. */
  | { readonly kind: 'boot'; readonly role: Process['kind']; readonly index: number }
  | {
      readonly kind: 'pause';
      readonly role: Process['kind'];
      readonly index: number;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'jumpClock';
      readonly role: Process['kind'];
      readonly index: number;
      readonly aheadMs: number;
    }
  | { readonly kind: 'breakLink'; readonly index: number }
  | { readonly kind: 'silenceLink'; readonly index: number }
  | { readonly kind: 'messageFault'; readonly index: number; readonly messageFault: MessageFault }
  | {
      readonly kind: 'cut';
      readonly agent: number;
      readonly entry: number;
      readonly direction: 'toEntry' | 'toAgent';
    }
  | { readonly kind: 'upstream'; readonly index: number; readonly mode: UpstreamMode }
  | { readonly kind: 'store'; readonly fault: 'none' | 'down' | 'slow' | 'losesReplies' }
  /** An operator takes a domain out or in. Two of these at once compete for a ticket number. */
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
  | { readonly kind: 'cancelJob'; readonly entry: number; readonly index: number }
  /** Cancels every accepted job at once. */
  | { readonly kind: 'cancelAll'; readonly entry: number }
  | {
      readonly kind: 'worker';
      readonly index: number;
      readonly fault: 'none' | 'slow' | 'down' | 'losesReplies' | 'failsEveryTask';
    }
  | { readonly kind: 'showConfiguration'; readonly entry: number }
  | { readonly kind: 'clearFaults' };

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
  index: number,
  update: (process: Process) => World,
): World {
  const process = nth(processesOf(world, role), index);
  return process === undefined ? world : update(process);
}

function withConnection(
  world: World,
  index: number,
  update: (connection: Connection) => World,
): World {
  const connection = nth(world.connections.valueSeq().toArray(), index);
  return connection === undefined ? world : update(connection);
}

function updateConnection(world: World, connection: Connection, part: Partial<Connection>): World {
  const changed = { ...connection, ...part };
  return { ...world, connections: world.connections.set(connection.connectionId, changed) };
}

function boot(world: World, role: Process['kind'], index: number): World {
  switch (role) {
    case 'entry': {
      const site = nth(world.deployment.entries, index);
      return site === undefined ? world : bootEntry(world, site);
    }
    case 'agent': {
      const site = nth(world.deployment.workers, index);
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

/** Clears all faults. A connection that lost bytes to a cut breaks, as it cannot recover them. */
function clearFaults(world: World): World {
  const isAffected = (connection: Connection): boolean => {
    const agent = world.processes.get(connection.agentId);
    const name = agent === undefined ? '' : siteName(agent);
    const { entrySite } = connection;
    return world.cuts.has(`${name}>${entrySite}`) || world.cuts.has(`${entrySite}>${name}`);
  };
  const broken = world.connections.valueSeq().filter(isAffected).reduce(breakConnection, world);
  const cleared: World = {
    ...broken,
    cuts: broken.cuts.clear(),
    store: { ...broken.store, isDown: false, isSlow: false, losesReplies: false },
    connections: broken.connections.map((connection) => ({ ...connection, messageFault: 'none' })),
    upstreams: broken.upstreams.map((upstream) => ({ ...upstream, mode: 'healthy' })),
  };
  const repaired = cleared.deployment.workers.reduce(
    (current, { worker }) =>
      applyWorkerInput(current, worker, { kind: 'faults', faults: NO_WORKER_FAULTS }),
    cleared,
  );
  const isRunning = (name: string): boolean =>
    cleared.processes.some((process) => siteName(process) === name);
  const withEntries = cleared.deployment.entries
    .filter(({ name }) => !isRunning(name))
    .reduce(bootEntry, repaired);
  return cleared.deployment.workers
    .filter(({ worker }) => !isRunning(worker))
    .reduce(bootAgent, withEntries);
}

const SLOW_WORKER_MS = 1_500;
// Matches one of the drawn run times and differs widely from the others.
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
    payload: encodeBehaviour({ runMs, fails, used: amountOf(command.usedMilli) }),
  };
}

const FAULT_FREE_KINDS: ReadonlySet<Command['kind']> = new Set([
  'wait',
  'request',
  'keyedRequest',
  'stop',
  'ticket',
  'submit',
  'cancelJob',
  'cancelAll',
  'showConfiguration',
  'clearFaults',
]);

/** Whether a command is a fault; planned stops and starts are not. */
function isFault(command: Command): boolean {
  return !FAULT_FREE_KINDS.has(command.kind);
}

function performCommand(world: World, command: Command): World {
  switch (command.kind) {
    case 'wait':
      return world;
    case 'request':
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        sendRequest(world, processId, undefined, command.timeoutMs),
      );
    case 'keyedRequest':
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        sendRequest(world, processId, `k${command.key}`, command.timeoutMs),
      );
    case 'kill':
      return withProcess(world, command.role, command.index, ({ processId }) =>
        killProcess(world, processId),
      );
    case 'stop':
      return withProcess(world, command.role, command.index, (process) => stop(world, process));
    case 'boot':
      return boot(world, command.role, command.index);
    case 'pause': {
      const pausedUntilMs = world.nowMs + command.durationMs;
      return withProcess(world, command.role, command.index, ({ processId }) =>
        updateProcess(world, processId, (process) => ({ ...process, pausedUntilMs })),
      );
    }
    case 'jumpClock':
      return withProcess(world, command.role, command.index, ({ processId }) =>
        updateProcess(world, processId, (process) => ({
          ...process,
          clockAheadMs: process.clockAheadMs + command.aheadMs,
        })),
      );
    case 'breakLink':
      return withConnection(world, command.index, (connection) =>
        breakConnection(world, connection),
      );
    case 'silenceLink':
      return withConnection(world, command.index, (connection) =>
        updateConnection(world, connection, { isSilent: true }),
      );
    case 'messageFault':
      return withConnection(world, command.index, (connection) =>
        updateConnection(world, connection, { messageFault: command.messageFault }),
      );
    case 'cut': {
      const agent = nth(world.deployment.workers, command.agent)?.worker ?? '';
      const entry = nth(world.deployment.entries, command.entry)?.name ?? '';
      const cut = command.direction === 'toEntry' ? `${agent}>${entry}` : `${entry}>${agent}`;
      return { ...world, cuts: world.cuts.set(cut, true) };
    }
    case 'upstream': {
      const worker = nth(world.deployment.workers, command.index)?.worker ?? '';
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
        sendAdminCommand(world, processId, {
          kind: 'applyTicket',
          author: 'operator',
          number: world.operatorView.headNumber + 1,
          changes: [state],
        }),
      );
    }
    case 'submit':
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        sendAdminCommand(world, processId, {
          kind: 'submitJob',
          submission: submissionOf(world, command),
        }),
      );
    case 'cancelJob': {
      const job = nth(world.operatorView.jobs.entrySeq().toArray(), command.index);
      if (job === undefined) return world;
      const [jobId, team] = job;
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        sendAdminCommand(world, processId, { kind: 'cancelJob', jobId, team }),
      );
    }
    case 'cancelAll':
      return world.operatorView.jobs.reduce(
        (current, team, jobId) =>
          withProcess(current, 'entry', command.entry, ({ processId }) =>
            sendAdminCommand(current, processId, { kind: 'cancelJob', jobId, team }),
          ),
        world,
      );
    case 'worker': {
      const worker = nth(world.deployment.workers, command.index)?.worker ?? '';
      return applyWorkerInput(world, worker, { kind: 'faults', faults: faultsOf(command.fault) });
    }
    case 'showConfiguration':
      return withProcess(world, 'entry', command.entry, ({ processId }) =>
        sendAdminCommand(world, processId, { kind: 'showConfiguration' }),
      );
    case 'clearFaults':
      return clearFaults(world);
    default:
      return assertNever(command);
  }
}

/** Applies a command. The oracle observes faults, because its checks are stricter without them. */
export function applyCommand(world: World, command: Command): World {
  return performCommand(
    isFault(command) ? observe(world, { kind: 'faultInjected' }) : world,
    command,
  );
}
