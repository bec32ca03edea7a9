import type { LogEffect } from '@bronzeyoke/telemetry';
import type { Span } from './simclock';
import type { CpuCosts } from './simcpu';
import type { ClaimRow, Violation } from './siminvariants';
import type { PlannedLoss, StoreConditions } from './simstore';

/** Time of an order to a worker on a fast connection. */
export const PROMPT_ORDERS: Span = [1, 1];

/** What the work of the entries costs, and the processors of each; nothing and many by default. */
export interface CpuOptions {
  readonly costs?: CpuCosts;
  readonly processors?: readonly number[];
}

/** A line that an entry has logged, with the time since the start. */
export interface LoggedLine extends Pick<LogEffect, 'event' | 'fields'> {
  readonly atMs: number;
}

/** Several entries, machines with an agent and a worker, and a store, in virtual time. */
export interface Simulation {
  readonly now: () => number;
  readonly random: () => number;
  readonly violations: () => readonly Violation[];
  /** Log lines of the leadership and of the faults, with the time since the start. */
  readonly trace: () => readonly string[];
  /** All lines that entries have logged. */
  readonly logged: () => readonly LoggedLine[];
  readonly claims: () => readonly ClaimRow[];
  /** Index of the entry that leads, by the phase of its newest term. */
  readonly leader: () => number;
  readonly isLeading: (entry: number) => boolean;
  readonly hasTransaction: (entry: number) => boolean;
  readonly runningOn: (machine: number) => number;
  readonly advance: (ms: number) => void;
  readonly advanceUntil: (holds: () => boolean, limitMs: number) => boolean;
  /** Stores a job with lasting tasks, or with short ones, and returns its id. */
  readonly submit: (kind: 'lasting' | 'short', taskCount: number) => string;
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
  readonly freezeEntry: (entry: number, forMs: number) => void;
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
