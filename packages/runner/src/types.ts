import type { Map } from 'immutable';
import type { StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import type {
  ListedEnd,
  ListedRun,
  WorkerCall,
  WorkerCallResult,
  WorkerReport,
} from '@bronzeyoke/ports';
import type { LogEffect } from '@bronzeyoke/telemetry';
import type { LeaderMessage, RunnerMessage, RunRef } from '@bronzeyoke/wire';
import chartFile from '../charts/order.json';

/** Chart of a start order: it is settled by a list that the worker made after it. */
export const orderChart = compileChart(chartFile, {
  states: ['calling', 'settling', 'settled'],
  events: ['done', 'refused', 'lost', 'listed'],
  actions: ['raiseToken'],
});

/** A start order that is not settled yet. */
export interface PendingOrder {
  readonly run: RunRef;
  readonly phase: StateOf<typeof orderChart>;
  /** Holds sent after this number settle the order. */
  readonly afterHold: number;
}

/** Where an entry accepts agents. */
export interface EntryAddress {
  readonly host: string;
  readonly port: number;
}

/** What does not change while the process runs. */
export interface RunnerSettings {
  readonly agentId: string;
  /** First fencing token; later ones are higher. */
  readonly firstToken: number;
  /** Entries to ask who leads when nobody else says so. */
  readonly seeds: readonly EntryAddress[];
}

/** The worker beside the agent, from its own words and its answers. */
export interface WorkerState {
  readonly workerKey: string;
  readonly report: WorkerReport;
  /** Highest clock value in an answer. */
  readonly clockMs?: number;
  readonly leaseUntilClockMs?: number;
  readonly ackSequence: number;
  readonly running: readonly ListedRun[];
  readonly ended: readonly ListedEnd[];
  readonly pending: Map<string, PendingOrder>;
  /** Calls in a row at which nothing listened. */
  readonly refusedConnections: number;
}

/** State of an agent. */
export interface RunnerState {
  readonly settings: RunnerSettings;
  readonly token: number;
  readonly callCount: number;
  readonly worker?: WorkerState;
  /** Lives that are over; a late heartbeat does not bring them back. */
  readonly lastBornAtMs: number;
  readonly goneKeys: readonly string[];
  readonly holdCount: number;
  readonly holdCallId?: string;
  readonly holdAtMs: number;
  readonly term: number;
  readonly leader?: EntryAddress;
  readonly target?: EntryAddress;
  readonly connectCount: number;
  readonly isLinked: boolean;
  readonly lastOrder: number;
  /** When the leader last answered, or a connection was last tried. */
  readonly progressAtMs: number;
  /** Calls under way, by id. */
  readonly pendingCalls: Map<string, { readonly workerKey: string; readonly call: WorkerCall }>;
}

/** What an agent reacts to. */
export type RunnerEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'heartbeat'; readonly report: WorkerReport }
  | { readonly kind: 'workerLeft'; readonly id: string }
  | { readonly kind: 'leader'; readonly term: number; readonly address: EntryAddress }
  | { readonly kind: 'linkOpened' }
  | { readonly kind: 'linkClosed' }
  | { readonly kind: 'received'; readonly message: LeaderMessage }
  | { readonly kind: 'callDone'; readonly callId: string; readonly result: WorkerCallResult };

/** What an agent asks its shell for. */
export type RunnerEffect =
  | { readonly kind: 'connect'; readonly address: EntryAddress }
  | { readonly kind: 'send'; readonly message: RunnerMessage }
  | {
      readonly kind: 'call';
      readonly callId: string;
      readonly worker: WorkerReport;
      readonly call: WorkerCall;
      readonly timeoutMs: number;
    }
  | LogEffect;

/** State and effects of a part of a step. */
export interface RunnerStep {
  readonly state: RunnerState;
  readonly effects: readonly RunnerEffect[];
}
