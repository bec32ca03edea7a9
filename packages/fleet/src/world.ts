import type { Map, Set } from 'immutable';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Heap } from '@bronzeyoke/harness';
import { push } from '@bronzeyoke/harness';
import type { RowStoreCall, WorkerCall, WorkerReport } from '@bronzeyoke/ports';
import type { RunnerEvent, RunnerState } from '@bronzeyoke/runner';
import type { SchedulerEvent, SchedulerState, SchedulerTimes } from '@bronzeyoke/scheduler';
import type { RowStoreState, TaskWorkerState } from '@bronzeyoke/standins';
import type { LeaderMessage, RunnerMessage } from '@bronzeyoke/wire';
import type { RunRecords } from './runrecords';

/** A scheduler process. Each start gets another `bootId`. */
export interface FleetEntry {
  readonly site: string;
  readonly bootId: number;
  readonly state: SchedulerState;
  readonly followsJobs: boolean;
  readonly jobsVersion?: number;
  readonly leaderVersion?: number;
}

/** An agent process beside a worker. */
export interface FleetAgent {
  readonly site: string;
  readonly bootId: number;
  readonly state: RunnerState;
  readonly leaderVersion?: number;
  /** Connection on which the agent reports. */
  readonly linkId?: string;
  /** Connection to a seed that it asks who leads. */
  readonly seedLinkId?: string;
}

/** A connection between an agent and an entry. */
export interface FleetLink {
  readonly agent: string;
  readonly agentBootId: number;
  readonly entry: string;
  readonly entryBootId: number;
}

/** A worker since its latest start. */
export interface FleetWorker {
  readonly site: string;
  /** Stays the same when the worker restarts under its id. */
  readonly id: string;
  readonly startedAtMs: number;
  /** Rate of the worker's clock, which may be slow. */
  readonly clockRate: number;
  readonly state: TaskWorkerState;
  readonly isDraining: boolean;
}

/** An event of the simulation, which the event queue holds until it is due. */
export type FleetEvent =
  | {
      readonly kind: 'entryEvent';
      readonly site: string;
      readonly bootId: number;
      readonly event: SchedulerEvent;
    }
  | {
      readonly kind: 'agentEvent';
      readonly site: string;
      readonly bootId: number;
      readonly event: RunnerEvent;
    }
  | { readonly kind: 'entryTick'; readonly site: string; readonly bootId: number }
  | { readonly kind: 'agentTick'; readonly site: string; readonly bootId: number }
  | {
      readonly kind: 'storeCall';
      readonly site: string;
      readonly bootId: number;
      readonly call: RowStoreCall;
      readonly isLate: boolean;
    }
  | {
      readonly kind: 'workerCall';
      readonly site: string;
      readonly agentBootId: number;
      readonly workerId: string;
      readonly callId: string;
      readonly call: WorkerCall;
      readonly isLate: boolean;
    }
  | { readonly kind: 'toEntry'; readonly linkId: string; readonly message: RunnerMessage }
  | { readonly kind: 'toAgent'; readonly linkId: string; readonly message: LeaderMessage }
  | { readonly kind: 'dial'; readonly site: string; readonly bootId: number; readonly host: string }
  | {
      readonly kind: 'askSeed';
      readonly site: string;
      readonly bootId: number;
      readonly host: string;
    }
  | { readonly kind: 'heartbeat'; readonly site: string }
  /** A heartbeat of another writer for a later instance that does not exist. */
  | { readonly kind: 'oddHeartbeat'; readonly site: string }
  /** A message of another writer that a live worker leaves, or a heartbeat that it drains. */
  | { readonly kind: 'oddLeave' | 'oddDraining'; readonly site: string }
  /** The message of a worker that it leaves. */
  | { readonly kind: 'leave'; readonly site: string; readonly id: string }
  | { readonly kind: 'bootEntry'; readonly site: string }
  | { readonly kind: 'bootAgent'; readonly site: string }
  | { readonly kind: 'submit'; readonly jobId: string }
  | { readonly kind: 'cancel'; readonly jobId: string }
  | { readonly kind: 'faultStart'; readonly fault: FleetFault }
  | { readonly kind: 'faultEnd'; readonly fault: FleetFault };

/** An event of one kind. */
export type EventOf<Kind extends FleetEvent['kind']> = Extract<FleetEvent, { kind: Kind }>;

/** A fault with its duration. */
export type FleetFault =
  | {
      readonly kind: 'killEntry' | 'killAgent' | 'crashWorker';
      readonly site: string;
      readonly forMs: number;
    }
  | { readonly kind: 'freeze'; readonly site: string; readonly forMs: number }
  /**
   * A worker ends and starts again under its id; says that it leaves, goes on for a time, and ends; or
   * carries some orders out late.
   */
  | {
      readonly kind: 'restartWorker' | 'leaveWorker' | 'callsLate';
      readonly site: string;
      readonly forMs: number;
    }
  /** A worker goes on while its connections are refused, or calls or their replies get lost. */
  | {
      readonly kind: 'refuseCalls' | 'loseCalls' | 'loseReplies';
      readonly site: string;
      readonly hasHeartbeats: boolean;
      readonly forMs: number;
    }
  /** A process does not reach the store. */
  | { readonly kind: 'cutStore'; readonly site: string; readonly forMs: number }
  /** An agent and an entry do not reach each other. */
  | {
      readonly kind: 'cutLink';
      readonly agent: string;
      readonly entry: string;
      readonly forMs: number;
    }
  | { readonly kind: 'storeDown' | 'storeLosesAnswers' | 'storeWritesLate'; readonly forMs: number }
  | { readonly kind: 'storeDropsHistory'; readonly forMs: number }
  | { readonly kind: 'ordersLate'; readonly forMs: number };

/**
 * A violated invariant at the workers: two runs of a task at a time, a run after a success that counts
 * or has been acknowledged, a run after the end of the job, or a task that runs nowhere for too long although workers
 * have room for it.
 */
export interface FleetViolation {
  readonly kind: 'concurrentRun' | 'runAfterSuccess' | 'runAfterJobEnd' | 'taskAway';
  readonly task: string;
  readonly atMs: number;
}

/** What the workers have shown of the tasks that could run. */
export interface FleetAbsences {
  readonly observedAtMs: number;
  /** End of the last fault. */
  readonly calmSinceMs: number;
  /** When each task last ran, or could first run. */
  readonly seenAtMs: Map<string, number>;
}

/** State of a fleet in virtual time. */
export interface Fleet {
  readonly seed: number;
  /** Times of the schedulers. */
  readonly times: SchedulerTimes;
  readonly nowMs: number;
  readonly sequence: number;
  readonly eventQueue: Heap<FleetEvent>;
  readonly entries: Map<string, FleetEntry>;
  readonly agents: Map<string, FleetAgent>;
  readonly workers: Map<string, FleetWorker>;
  readonly links: Map<string, FleetLink>;
  /** Id of the last worker that started at each site. */
  readonly lastWorkerIds: Map<string, string>;
  readonly bootCount: number;
  readonly store: RowStoreState;
  readonly activeFaults: Set<FleetFault>;
  readonly frozenUntilMs: Map<string, number>;
  /** Tasks whose success was acknowledged to a worker. Lasting tasks have none. */
  readonly acknowledgedTasks: Set<string>;
  /** Time of the last start of each task. */
  readonly startedAtMs: Map<string, number>;
  readonly absences: FleetAbsences;
  /** Jobs whose cancellation was stored. */
  readonly cancelledJobs: Set<string>;
  /** Workers and entries while no fault has ended one. */
  readonly siteCount: number;
  readonly entryCount: number;
  readonly violations: readonly FleetViolation[];
  /** Orders, starts, stops, ends and acknowledgements of the runs of each task. */
  readonly runLog: Map<string, readonly string[]>;
  readonly runRecords: RunRecords;
  readonly starts: number;
  readonly steps: number;
}

/** One-way delay between two processes. */
export const NETWORK_MS = 2;

/** Delay of a call to the store or of a change from it. */
export const STORE_MS = 10;

/** Start of the virtual wall clock. */
export const WALL_START_MS = 1_800_000_000_000;

/** Time of a worker's clock at its start. */
const CLOCK_START_MS = 500;

/** Outputs to skip, because generators with similar seeds start with similar outputs. */
const SKIPPED_OUTPUTS = 24;
const SALT_STEP = 104_729;
const SEED_STEP = 1_299_709;

/** Derives a number in [0, 1) from the seed, the number of scheduled events and `salt`. */
export function drawStepUniform(fleet: Fleet, salt = 0): number {
  const seed = fleet.seed * SEED_STEP + fleet.sequence * 31 + salt * SALT_STEP;
  const generator = xoroshiro128plus(seed % 0x7fff_ffff);
  return Array.from({ length: SKIPPED_OUTPUTS }, () => uniformFloat64(generator)).at(-1) ?? 0;
}

/** Adds an event to the queue, which is due after a delay. */
export function schedule(fleet: Fleet, delayMs: number, item: FleetEvent): Fleet {
  const { nowMs, sequence } = fleet;
  return {
    ...fleet,
    sequence: sequence + 1,
    eventQueue: push(fleet.eventQueue, { atMs: nowMs + delayMs, sequence, item }),
  };
}

/** Returns whether a test holds for an active fault. */
export function isActive(fleet: Fleet, test: (fault: FleetFault) => boolean): boolean {
  return fleet.activeFaults.some(test);
}

/** Returns the time of a worker's clock, which starts anew with each instance. */
export function workerClockMs({ startedAtMs, clockRate }: FleetWorker, nowMs: number): number {
  return CLOCK_START_MS + Math.floor((nowMs - startedAtMs) * clockRate);
}

/** Returns the time at which a worker's clock shows a value. */
export function workerTimeMs({ startedAtMs, clockRate }: FleetWorker, clockMs: number): number {
  return startedAtMs + (clockMs - CLOCK_START_MS) / clockRate;
}

/** Creates the report in the heartbeat of a worker. */
export function workerReport(worker: FleetWorker, sequence: number): WorkerReport {
  const { site, id, state, isDraining } = worker;
  return {
    id,
    address: `${site}:1`,
    bornAtMs: state.bornAtMs,
    service: 'quoter',
    domain: 'north',
    version: 'v1',
    isDraining,
    capacity: { processorsMilli: 8_000, memoryMb: 8_000, accelerators: 0 },
    labels: ['a', 'r1'],
    rack: 'r1',
    sequence,
  };
}
