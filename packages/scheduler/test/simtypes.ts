import type { RepeatedTask } from '@bronzeyoke/runhistory';
import type { SchedulingPolicy } from '@bronzeyoke/scheduler';
import type { LogEffect } from '@bronzeyoke/telemetry';
import type { Span } from './simclock';
import type { CpuCosts } from './simcpu';
import type { Hop } from './simhop';
import type { ClaimRow, Violation } from './siminvariants';
import type { PlannedLoss, StoreConditions } from './simstore';

/** Time of an order to a worker on a fast connection. */
export const PROMPT_ORDERS: Span = [1, 1];

/** Kind of a job: its tasks last, or work for a minute, for less than a second, or for 0.2 s. */
export type JobKind = 'lasting' | 'long' | 'short' | 'brief';

/** What the work of the entries costs, and the processors of each; nothing and many by default. */
export interface CpuOptions {
  readonly costs?: CpuCosts;
  readonly processors?: readonly number[];
}

/** Options of a simulation. */
export interface SimOptions extends CpuOptions {
  /** Lasting tasks of one job that fit on a worker; `LASTING_PER_WORKER` if absent. */
  readonly lastingPerWorker?: number;
  /** Policy of the entries; `DEFAULT_POLICY` if absent. */
  readonly policy?: SchedulingPolicy;
  /** Returns how far the clock of a host (`h0`) or machine (`m0`) is ahead. All are right by default. */
  readonly wallOffsetMs?: (name: string) => number;
}

/** A line that an entry has logged, with the time since the start. */
export interface LoggedLine extends Pick<LogEffect, 'event' | 'fields'> {
  readonly atMs: number;
}

/** An order to start a task, with the time since the start. */
export interface SentOrder {
  readonly atMs: number;
  readonly task: string;
  readonly workerKey: string;
}

/** How a worker leaves: the time that it goes on after its message, and the times of repeated ones. */
export interface Leave {
  readonly goesOnMs: number;
  readonly repeatsAtMs: readonly number[];
}

/** Faults between an agent and its worker, and of other writers. The worker goes on with its runs. */
export interface WorkerFaults {
  /** Changes the way between an agent and its worker for a time. */
  readonly disturbHop: (machine: number, hop: Hop, forMs: number) => void;
  /** Sends an agent a message of another writer that its worker leaves. */
  readonly hearLeave: (machine: number) => void;
  /** Sends an agent a heartbeat of another writer that its worker drains. */
  readonly hearDraining: (machine: number) => void;
  /** Sends an agent the heartbeats of the worker of another machine, which answers its calls. */
  readonly mixUp: (machine: number, other: number, forMs: number) => void;
  /** Sends the message that a worker leaves, and ends the worker some time later. */
  readonly leaveSlowly: (machine: number, leave: Leave) => void;
  /** Ends a worker with its runs. */
  readonly crashWorker: (machine: number) => void;
  /** Starts a worker beside an agent whose worker has ended, under its id or another one. */
  readonly startWorker: (machine: number, hasSameId: boolean) => void;
  /** Ends an agent, or requests a planned stop, and starts another one later. */
  readonly replaceAgent: (machine: number, how: 'kill' | 'stop', afterMs: number) => void;
  /** Tasks that run on a worker. */
  readonly tasksOn: (machine: number) => readonly string[];
}

/** Several entries, machines with an agent and a worker, and a store, in virtual time. */
export interface Simulation extends WorkerFaults {
  readonly now: () => number;
  readonly random: () => number;
  readonly violations: () => readonly Violation[];
  /** Returns the starts of tasks after a success of them, also those that break no rule. */
  readonly repeats: () => readonly RepeatedTask[];
  /** Returns a line for each run of a task: its order, start, stop, end and acknowledgement. */
  readonly runsOf: (task: string) => readonly string[];
  /** Log lines of the leadership and of the faults, with the time since the start. */
  readonly trace: () => readonly string[];
  /** All lines that entries have logged. */
  readonly logged: () => readonly LoggedLine[];
  /** Orders to start tasks that entries have sent. */
  readonly orders: () => readonly SentOrder[];
  /** How long each answer to a transaction has waited for the processor of its entry. */
  readonly commitWaitsMs: () => readonly number[];
  /** Time at which the first report of each worker reached an entry, also if it waits there. */
  readonly reportedAtMs: () => ReadonlyMap<string, number>;
  readonly claims: () => readonly ClaimRow[];
  /** Index of the entry that leads, by the phase of its newest term. */
  readonly leader: () => number;
  readonly isLeading: (entry: number) => boolean;
  readonly hasTransaction: (entry: number) => boolean;
  readonly runningOn: (machine: number) => number;
  readonly advance: (ms: number) => void;
  readonly advanceUntil: (holds: () => boolean, limitMs: number) => boolean;
  /** Stores a job of a kind, and returns its id. */
  readonly submit: (kind: JobKind, taskCount: number) => string;
  /** Cancels a job unless it has ended. */
  readonly cancel: (jobId: string) => void;
  /** Lasting tasks that run on no worker now. */
  readonly lastingAway: () => readonly string[];
  readonly isComplete: (jobId: string) => boolean;
  /** Sends an agent heartbeats of another writer: of later instances that do not exist. */
  readonly hearOddHeartbeats: (machine: number) => void;
  /** Ends the lasting runs of a worker as done. */
  readonly endLastingRuns: (machine: number) => void;
  /** Changes the store for all callers or for one. Anything but the order of feed and reply disturbs. */
  readonly setStore: (changes: Partial<StoreConditions>, caller?: string) => void;
  /** Ends all store trouble. */
  readonly calmStore: () => void;
  readonly setOrder: (changes: Pick<StoreConditions, 'replyDelayMs' | 'feedDelayMs'>) => void;
  readonly loseReply: (loss: PlannedLoss) => void;
  readonly stopEntry: (entry: number, awayMs: number) => void;
  readonly killEntry: (entry: number, awayMs: number) => void;
  /** Starts another entry at the address of one that goes on, on the connections that it has. */
  readonly replaceEntry: (entry: number) => void;
  readonly freezeEntry: (entry: number, forMs: number) => void;
  /** Makes the machine of an entry slower by a factor. The disturbance does not end. */
  readonly slowEntry: (entry: number, slowness: number) => void;
  readonly cutEntry: (entry: number, forMs: number) => void;
  readonly drainWorker: (machine: number) => void;
  readonly leaveWorker: (machine: number) => void;
  readonly stopAgent: (machine: number) => void;
  /** Cuts an agent off from the entries. */
  readonly cutAgent: (machine: number, forMs: number) => void;
  /** Changes the time after which orders reach a worker. `PROMPT_ORDERS` ends the disturbance. */
  readonly setOrderDelay: (machine: number, spanMs: Span) => void;
  readonly hasOpenStart: (machine: number) => boolean;
  /** Ends a worker with its runs and starts it again under its id. */
  readonly restartWorker: (machine: number) => void;
  /** Kills an agent and starts another one beside its worker. */
  readonly restartAgent: (machine: number) => void;
  readonly killMachine: (machine: number) => void;
  readonly losePower: (awayMs: number) => void;
}
