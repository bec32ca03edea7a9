import type { Map, OrderedMap } from 'immutable';
import type { AgentEvent, AgentState, stepAgent } from '@bronzeyoke/agent';
import type {
  BudgetEvent,
  BudgetState,
  EntryEvent,
  EntryState,
  stepEntry,
} from '@bronzeyoke/entry';
import type { StoreEffect } from '@bronzeyoke/ports';
import type { TableState, WorkerInput, WorkerModel } from '@bronzeyoke/standins';
import type { CallerRequest } from '@bronzeyoke/types';
import { drawUniforms } from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage } from '@bronzeyoke/wire';
import type { Heap } from './heap';
import { push } from './heap';
import type { CallerEnd, Observation } from './observation';
import { checkObservation } from './oracle';
import type { OracleState } from './oraclestate';
import type { Deployment, EntrySite, WorkerSite } from './site';

interface ProcessBase {
  readonly processId: string;
  /** Events are delivered only after this time. */
  readonly pausedUntilMs: number;
  /** Offset of the clock of the process from virtual time. */
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

/** An event for the core of a process. */
export type ProcessEvent =
  | { readonly kind: 'entryEvent'; readonly event: EntryEvent }
  | { readonly kind: 'agentEvent'; readonly event: AgentEvent };

/** A message or a close in transit over a connection. */
export type Payload =
  | { readonly kind: 'toEntry'; readonly message: AgentMessage }
  | { readonly kind: 'toAgent'; readonly message: EntryMessage }
  /** The other side closed the connection. */
  | { readonly kind: 'closeEntry' }
  | { readonly kind: 'closeAgent' };

/** A fault of the messages of a connection. */
export type MessageFault = 'none' | 'delay' | 'reorder' | 'duplicate';

/** A connection from an agent to an entry. */
export interface Connection {
  readonly connectionId: string;
  readonly agentId: string;
  readonly entryId: string;
  /** Site of the entry, which the agent uses as the id of the link. */
  readonly entrySite: string;
  /** All messages are lost, and neither side sees the connection close. */
  readonly isSilent: boolean;
  readonly isEntryClosed: boolean;
  readonly messageFault: MessageFault;
  /** Latest arrival in each direction: a connection keeps the order of its bytes. */
  readonly lastToEntryMs: number;
  readonly lastToAgentMs: number;
}

/** Behaviour of an upstream. */
export type UpstreamMode = 'healthy' | 'slow' | 'failing' | 'silent' | 'unreachable';

/** The table service with its faults. */
export interface Store {
  readonly rows: TableState;
  readonly isDown: boolean;
  readonly isSlow: boolean;
  /** Transactions take effect, but their results do not arrive. */
  readonly losesReplies: boolean;
}

/** State of the system as operators and teams know it from replies. */
export interface OperatorView {
  readonly headNumber: number;
  /** Team of each accepted job. */
  readonly jobs: Map<string, string>;
}

/** The upstream beside a worker. */
export interface Upstream {
  readonly mode: UpstreamMode;
  /** Agent of each call in progress. */
  readonly calls: Map<string, string>;
}

/** A request that has not ended for its caller. */
export interface PendingRequest {
  readonly entryId: string;
  /** `arrived` is in the entry's backlog; `accepted` is delivered to its core. */
  readonly phase: 'onTheWay' | 'arrived' | 'accepted' | 'replied';
}

/** An event of the simulation, which the event queue holds until it is due. */
export type SimulationEvent =
  | { readonly kind: 'deliver'; readonly processId: string; readonly event: ProcessEvent }
  | { readonly kind: 'payloadArrives'; readonly connectionId: string; readonly payload: Payload }
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
  | { readonly kind: 'requestArrives'; readonly request: CallerRequest };

/** The step functions under test. A test injects a bug by wrapping one of them. */
export interface Decisions {
  readonly entry: typeof stepEntry;
  readonly agent: typeof stepAgent;
}

/** Bugs of the stand-ins themselves, which a test injects to check that the oracle detects them. */
export interface StandinBugs {
  /** Upstreams answer to the body of another request. */
  readonly swapsAnswers: boolean;
  /** Agents and workers are created with four times the actual resources. */
  readonly overstatesTotals: boolean;
}

/** State of a simulation: processes, connections and stand-ins. */
export interface World {
  readonly deployment: Deployment;
  readonly decisions: Decisions;
  readonly standinBugs: StandinBugs;
  readonly nowMs: number;
  /** A uniform random number, which is drawn for each step. */
  readonly random: number;
  readonly sequence: number;
  readonly eventQueue: Heap<SimulationEvent>;
  readonly processes: Map<string, Process>;
  readonly connections: Map<string, Connection>;
  /** The latest connection of an agent to the entry at a site, by `agent>site`. */
  readonly latestConnections: Map<string, string>;
  readonly upstreams: Map<string, Upstream>;
  readonly workers: Map<string, WorkerModel>;
  /** Time of the next advance of each worker. */
  readonly advanceAtMs: Map<string, number>;
  readonly store: Store;
  readonly operatorView: OperatorView;
  readonly pendingRequests: OrderedMap<string, PendingRequest>;
  /** One-way cuts, as `from>to` with names of sites. */
  readonly cuts: Map<string, true>;
  readonly oracle: OracleState;
  /** Number of events that cores have handled. */
  readonly steps: number;
}

/** Adds an event to the queue. */
export function schedule(world: World, afterMs: number, item: SimulationEvent): World {
  const atMs = world.nowMs + Math.max(0, afterMs);
  const sequence = world.sequence + 1;
  return { ...world, sequence, eventQueue: push(world.eventQueue, { atMs, sequence, item }) };
}

/** Passes an observation to the oracle. */
export function observe(world: World, observation: Observation): World {
  return { ...world, oracle: checkObservation(world.oracle, observation, world.nowMs) };
}

/** Derives numbers in [0, 1) for this step. Each use in a step needs its own `salt`. */
export function drawStepUniforms(world: World, salt: number, count: number): readonly number[] {
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

/** Returns the name of the site of a process. */
export function siteName(process: Process): string {
  return process.kind === 'entry' ? process.site.name : process.site.worker;
}
