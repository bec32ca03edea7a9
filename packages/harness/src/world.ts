import type { List, Map, OrderedMap } from 'immutable';
import type { AgentEvent, AgentState, stepAgent } from '@bronzeyoke/agent';
import type {
  BudgetEvent,
  BudgetState,
  EntryEvent,
  EntryState,
  stepEntry,
} from '@bronzeyoke/entry';
import type { StoreEffect } from '@bronzeyoke/ports';
import type { TableState, WorkerInput, WorkerState } from '@bronzeyoke/standins';
import type { CallerRequest } from '@bronzeyoke/types';
import { drawUniforms } from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage } from '@bronzeyoke/wire';
import type { Heap } from './agenda';
import { push } from './agenda';
import type { CallerEnd, Observation } from './observation';
import type { OracleState } from './oracle';
import { judge } from './oracle';
import type { Deployment, EntrySite, WorkerSite } from './site';

interface ProcessBase {
  readonly processId: string;
  /** Events wait until then. */
  readonly pausedUntilMs: number;
  /** How far the clock of the process is ahead. */
  readonly clockAheadMs: number;
}

/** A running entry. */
export interface EntryProcess extends ProcessBase {
  readonly kind: 'entry';
  readonly site: EntrySite;
  readonly state: EntryState;
  readonly budget: BudgetState;
}

/** A running agent. */
export interface AgentProcess extends ProcessBase {
  readonly kind: 'agent';
  readonly site: WorkerSite;
  readonly state: AgentState;
}

/** A process under test. */
export type Process = EntryProcess | AgentProcess;

/** What happens to a process. */
export type ProcessEvent =
  | { readonly kind: 'entryEvent'; readonly event: EntryEvent }
  | { readonly kind: 'agentEvent'; readonly event: AgentEvent };

/** A message on its way over a connection. */
export type Payload =
  | { readonly kind: 'toEntry'; readonly message: AgentMessage }
  | { readonly kind: 'toAgent'; readonly message: EntryMessage }
  /** The other side closed the connection. */
  | { readonly kind: 'closeEntry' }
  | { readonly kind: 'closeAgent' };

/** How messages of a connection are mistreated. */
export type Mischief = 'none' | 'delay' | 'reorder' | 'duplicate';

/** A connection that an agent dialled to an entry. */
export interface Connection {
  readonly connectionId: string;
  readonly agentId: string;
  readonly entryId: string;
  /** Site of the entry; the agent names the connection by it. */
  readonly entrySite: string;
  /** Nothing arrives any more, and neither side is told. */
  readonly isSilent: boolean;
  readonly isEntryClosed: boolean;
  readonly mischief: Mischief;
  /** Latest arrival in each direction, because a connection keeps the order of its bytes. */
  readonly lastToEntryMs: number;
  readonly lastToAgentMs: number;
}

/** How an upstream behaves. */
export type UpstreamMode = 'healthy' | 'slow' | 'failing' | 'silent' | 'unreachable';

/** The table service with its faults, and what it was used for. */
export interface Store {
  readonly rows: TableState;
  readonly isDown: boolean;
  readonly isSlow: boolean;
  /** Transactions take effect, but their results do not arrive. */
  readonly losesReplies: boolean;
  readonly transactions: number;
  readonly rowsWritten: number;
  readonly reads: number;
}

/** What operators and teams were told. */
export interface Office {
  readonly headNumber: number;
  /** Team of each accepted job. */
  readonly jobs: Map<string, string>;
}

/** The upstream beside a worker. */
export interface Upstream {
  readonly mode: UpstreamMode;
  /** Calls in progress, with the agent that waits for each. */
  readonly calls: Map<string, string>;
}

/** A caller that waits. */
export interface Waiting {
  readonly entryId: string;
  readonly askedAtMs: number;
  /** A request has arrived when it is in the entry's backlog, and is accepted when the entry takes it. */
  readonly phase: 'onTheWay' | 'arrived' | 'accepted' | 'replied';
}

/** What is due at some time. */
export type Happening =
  | { readonly kind: 'deliver'; readonly processId: string; readonly event: ProcessEvent }
  | { readonly kind: 'arrive'; readonly connectionId: string; readonly payload: Payload }
  | {
      readonly kind: 'dial';
      readonly agentId: string;
      readonly entrySite: string;
      readonly retryMs: number;
    }
  | {
      readonly kind: 'upstreamEnd';
      readonly worker: string;
      readonly callId: string;
      readonly event: AgentEvent;
    }
  | {
      readonly kind: 'reply';
      readonly requestId: string;
      readonly entryId: string;
      readonly end: CallerEnd;
    }
  | { readonly kind: 'workerStep'; readonly worker: string; readonly input: WorkerInput }
  | { readonly kind: 'storeCall'; readonly processId: string; readonly access: StoreEffect }
  | { readonly kind: 'budget'; readonly processId: string; readonly event: BudgetEvent }
  | { readonly kind: 'callerArrives'; readonly request: CallerRequest }
  | { readonly kind: 'offerLoad'; readonly load: Load };

/** A stream of idempotent requests at a fixed mean rate. */
export interface Load {
  readonly perSecond: number;
  readonly untilMs: number;
  readonly timeoutMs: number;
}

/** The decisions under test. A test plants a fault by wrapping one of them. */
export interface Decisions {
  readonly entry: typeof stepEntry;
  readonly agent: typeof stepAgent;
}

/** Faults planted in the fakes themselves, to check that the oracle sees them. */
export interface Switches {
  /** Upstreams answer as if to another request. */
  readonly crossesAnswers: boolean;
  /** Agents and workers believe in four times the resources that there are. */
  readonly overstatesTotals: boolean;
}

/** One ended request, for the benchmark. */
export interface Ending {
  readonly requestId: string;
  readonly askedAtMs: number;
  readonly endedAtMs: number;
  readonly end: CallerEnd;
}

/** What the benchmark counts. */
export interface Tally {
  readonly endings: List<Ending>;
  readonly runs: number;
}

/** Everything that exists in a run: processes, connections and fakes. */
export interface World {
  readonly deployment: Deployment;
  readonly decisions: Decisions;
  readonly switches: Switches;
  readonly nowMs: number;
  /** One uniform number, new in each step. */
  readonly random: number;
  readonly sequence: number;
  readonly agenda: Heap<Happening>;
  readonly processes: Map<string, Process>;
  readonly connections: Map<string, Connection>;
  /** The latest connection of an agent to the entry at a site, by `agent>site`. */
  readonly dialled: Map<string, string>;
  readonly upstreams: Map<string, Upstream>;
  readonly workers: Map<string, WorkerState>;
  /** When the next pass of each worker is scheduled. */
  readonly passAtMs: Map<string, number>;
  readonly store: Store;
  readonly office: Office;
  readonly waiting: OrderedMap<string, Waiting>;
  /** One-way cuts, as `from>to` with names of sites. */
  readonly cuts: Map<string, true>;
  /** The benchmark runs without the oracle, because it forgets nothing. */
  readonly isJudged: boolean;
  readonly oracle: OracleState;
  /** Events that a core decided on. */
  readonly steps: number;
  readonly tally: Tally;
}

/** Puts something on the agenda. */
export function schedule(world: World, afterMs: number, item: Happening): World {
  const atMs = world.nowMs + Math.max(0, afterMs);
  const sequence = world.sequence + 1;
  return { ...world, sequence, agenda: push(world.agenda, { atMs, sequence, item }) };
}

/** Shows the oracle what someone saw. */
export function observe(world: World, observation: Observation): World {
  return world.isJudged
    ? { ...world, oracle: judge(world.oracle, observation, world.nowMs) }
    : world;
}

/** Numbers in [0, 1) for this step; `salt` tells several uses in one step apart. */
export function chances(world: World, salt: number, count: number): readonly number[] {
  return drawUniforms((world.random + salt * 0.618_033_988_7) % 1, count);
}

/** Changes a process if it still runs. */
export function updateProcess(
  world: World,
  processId: string,
  update: (process: Process) => Process,
): World {
  const process = world.processes.get(processId);
  return process === undefined
    ? world
    : { ...world, processes: world.processes.set(processId, update(process)) };
}

/** Delivers an event to a process after a delay. */
export function deliver(
  world: World,
  processId: string,
  event: ProcessEvent,
  afterMs: number,
): World {
  return schedule(world, afterMs, { kind: 'deliver', processId, event });
}

/** Name of the site where a process runs. */
export function siteName(process: Process): string {
  return process.kind === 'entry' ? process.site.name : process.site.worker;
}
