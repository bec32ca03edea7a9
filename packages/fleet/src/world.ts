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

/** A scheduler process. A restart makes a new life with another id. */
export interface EntryProcess {
  readonly site: string;
  readonly life: number;
  readonly state: SchedulerState;
  readonly followsJobs: boolean;
  readonly jobsVersion?: number;
  readonly leaderVersion?: number;
}

/** An agent process beside a worker. */
export interface AgentProcess {
  readonly site: string;
  readonly life: number;
  readonly state: RunnerState;
  readonly leaderVersion?: number;
  readonly linkId?: string;
}

/** A connection between an agent and an entry. */
export interface FleetLink {
  readonly agent: string;
  readonly agentLife: number;
  readonly entry: string;
  readonly entryLife: number;
}

/** A worker with its current life. */
export interface FleetWorker {
  readonly site: string;
  readonly life: number;
  readonly state: TaskWorkerState;
  readonly isDraining: boolean;
}

/** What can happen in a fleet. */
export type FleetHappening =
  | {
      readonly kind: 'entryEvent';
      readonly site: string;
      readonly life: number;
      readonly event: SchedulerEvent;
    }
  | {
      readonly kind: 'agentEvent';
      readonly site: string;
      readonly life: number;
      readonly event: RunnerEvent;
    }
  | { readonly kind: 'entryTick'; readonly site: string; readonly life: number }
  | { readonly kind: 'agentTick'; readonly site: string; readonly life: number }
  | {
      readonly kind: 'storeCall';
      readonly site: string;
      readonly life: number;
      readonly call: RowStoreCall;
      readonly isLate: boolean;
    }
  | {
      readonly kind: 'workerCall';
      readonly site: string;
      readonly agentLife: number;
      readonly workerKey: string;
      readonly callId: string;
      readonly call: WorkerCall;
      readonly isLate: boolean;
    }
  | { readonly kind: 'toEntry'; readonly linkId: string; readonly message: RunnerMessage }
  | { readonly kind: 'toAgent'; readonly linkId: string; readonly message: LeaderMessage }
  | { readonly kind: 'dial'; readonly site: string; readonly life: number; readonly host: string }
  | { readonly kind: 'heartbeat'; readonly site: string }
  | { readonly kind: 'bootEntry'; readonly site: string }
  | { readonly kind: 'bootAgent'; readonly site: string }
  | { readonly kind: 'submit'; readonly jobId: string }
  | { readonly kind: 'cancel'; readonly jobId: string }
  | { readonly kind: 'fault'; readonly fault: FleetFault }
  | { readonly kind: 'heal'; readonly fault: FleetFault };

/** What goes wrong, and for how long. */
export type FleetFault =
  | {
      readonly kind: 'killEntry' | 'killAgent' | 'crashWorker';
      readonly site: string;
      readonly forMs: number;
    }
  | { readonly kind: 'freeze'; readonly site: string; readonly forMs: number }
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
  | { readonly kind: 'storeForgets'; readonly forMs: number }
  | { readonly kind: 'ordersLate'; readonly forMs: number };

/** What the workers saw that must not be. */
export interface Breach {
  readonly rule: 'twice' | 'afterDone' | 'afterEnd';
  readonly task: string;
  readonly atMs: number;
}

/** State of a fleet in virtual time. */
export interface Fleet {
  readonly seed: number;
  /** Times of the schedulers. */
  readonly times: SchedulerTimes;
  readonly nowMs: number;
  readonly sequence: number;
  readonly agenda: Heap<FleetHappening>;
  readonly entries: Map<string, EntryProcess>;
  readonly agents: Map<string, AgentProcess>;
  readonly workers: Map<string, FleetWorker>;
  readonly links: Map<string, FleetLink>;
  readonly lives: number;
  readonly store: RowStoreState;
  readonly active: Set<FleetFault>;
  readonly frozenUntilMs: Map<string, number>;
  /** Tasks whose success was acknowledged to a worker. */
  readonly acknowledged: Set<string>;
  readonly breaches: readonly Breach[];
  readonly starts: number;
  readonly steps: number;
}

/** Start of the virtual wall clock. */
export const WALL_START_MS = 1_800_000_000_000;

/** Outputs to skip: generators with neighbouring seeds begin alike. */
const SKIPPED = 24;
const SALT_STEP = 104_729;
const SEED_STEP = 1_299_709;

/** A number in [0, 1) that depends on the seed and on how much has happened. */
export function chance(fleet: Fleet, salt = 0): number {
  const seed = fleet.seed * SEED_STEP + fleet.sequence * 31 + salt * SALT_STEP;
  const generator = xoroshiro128plus(seed % 0x7fff_ffff);
  return Array.from({ length: SKIPPED }, () => uniformFloat64(generator)).at(-1) ?? 0;
}

/** Adds something that happens after a delay. */
export function plan(fleet: Fleet, delayMs: number, item: FleetHappening): Fleet {
  const { nowMs, sequence } = fleet;
  return {
    ...fleet,
    sequence: sequence + 1,
    agenda: push(fleet.agenda, { atMs: nowMs + delayMs, sequence, item }),
  };
}

/** Whether a fault of a kind is active for which a test holds. */
export function isActive(fleet: Fleet, test: (fault: FleetFault) => boolean): boolean {
  return fleet.active.some(test);
}

/** What a worker says of itself. */
export function reportOf(worker: FleetWorker, sequence: number): WorkerReport {
  const { site, life, state, isDraining } = worker;
  return {
    id: `${site}-${life}`,
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
