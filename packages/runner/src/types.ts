import type { Map, Set as ImmutableSet } from 'immutable';
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
import type { Address } from '@bronzeyoke/types';
import type {
  LeaderMessage,
  RunnerMessage,
  RunRef,
  RecentStart,
  WorkerEndCause,
  WorkerEndReason,
} from '@bronzeyoke/wire';
import agentChartFile from '../charts/agent.json';
import candidateChartFile from '../charts/candidate.json';
import goneChartFile from '../charts/gone.json';
import lookupChartFile from '../charts/lookup.json';
import orderChartFile from '../charts/order.json';

/** State chart of a start order. A list that the worker makes after the start settles the order. */
export const orderChart = compileChart(orderChartFile, {
  states: ['calling', 'settling', 'lost', 'settled'],
  events: ['done', 'refused', 'lost', 'listed'],
  actions: ['raiseToken'],
});

/**
 * State chart of an agent's process, from its start to the end of a planned stop. Before it exits, it
 * passes the whole lease that the leader granted on to its worker, so that a restart ends no runs.
 */
export const agentChart = compileChart(agentChartFile, {
  states: ['running', 'settling', 'handingOver', 'settled'],
  events: ['stop', 'stopIdle', 'settled', 'passed', 'deadline'],
  actions: ['logSettling', 'logUnsettled', 'report', 'passLease', 'exit'],
});

/**
 * State chart of an instance that has ended, until a leader has recorded it. While a later instance
 * under its id may carry out one of its start orders, the leader must not give its tasks away. Nor may it
 * before it has recorded the ends of the runs that the later instance began from them.
 */
export const goneChart = compileChart(goneChartFile, {
  states: ['uncertain', 'awaitingList', 'awaitingAck', 'ended', 'recorded'],
  events: ['settled', 'successor', 'replaced', 'listed', 'endsListed', 'successorGone', 'recorded'],
  actions: ['report'],
});

/**
 * State chart of an instance whose heartbeat came, until its reply shows that it is there, or another
 * reply or none that it is not.
 */
export const candidateChart = compileChart(candidateChartFile, {
  states: ['heard', 'asked', 'confirmed', 'dropped'],
  events: ['asked', 'replied', 'refuted', 'fenced', 'unclear', 'expired'],
  actions: ['raiseToken'],
});

/**
 * State chart of the lookup of the leader, for which an agent asks a seed while its leader is silent.
 * The connection to the seed stays open until the leader replies: an entry names a later leader on it.
 */
export const lookupChart = compileChart(lookupChartFile, {
  states: ['none', 'asked', 'answered'],
  events: ['silent', 'silentAgain', 'unanswered', 'confirmed', 'replied', 'left'],
  actions: ['askSeed', 'reconnect', 'endLookup'],
});

/** A lookup of the leader; without an address while no seed is asked. */
export interface Lookup {
  readonly phase: StateOf<typeof lookupChart>;
  readonly address?: Address;
  readonly askedAtMs?: number;
}

/** What a planned stop waits for, beside gone workers that no leader has recorded. */
export interface StopState {
  readonly deadlineAtMs: number;
  /** Call that passes the whole lease on. */
  readonly handOverCallId?: string;
  readonly workerKey: string | undefined;
  /** Highest sequence of an end that the worker listed before the stop. */
  readonly endSequence: number;
}

/** A start order that is not settled yet. */
export interface PendingOrder {
  readonly run: RunRef;
  readonly phase: StateOf<typeof orderChart>;
  /** The list that a request with a higher number asks for settles the order. */
  readonly afterList: number;
  readonly calledAtMs: number;
}

/** Returns the key of a run among orders. */
export function orderKey(run: RunRef): string {
  return `${run.task}#${run.attempt}`;
}

/** A start call to the worker. */
export interface StartCall {
  readonly run: RunRef;
  readonly calledAtMs: number;
}

/** Returns whether an order is settled by the next list that the worker makes. */
export function awaitsList(phase: PendingOrder['phase']): boolean {
  return phase === 'settling' || phase === 'lost';
}

/** A call to the worker without a result. */
export interface PendingCall {
  readonly workerKey: string;
  readonly call: WorkerCall;
  readonly sentAtMs: number;
}

/** An instance that has ended, until a leader has stored the release of its tasks. */
export interface GoneWorker {
  readonly workerKey: string;
  readonly id: string;
  readonly address: string;
  readonly reason: WorkerEndReason;
  readonly phase: StateOf<typeof goneChart>;
  /** Start calls that a later instance may carry out, by run. */
  readonly openStarts: Map<string, StartCall>;
  readonly cause: WorkerEndCause;
  readonly recentStarts: readonly RecentStart[];
}

/** An instance that is not the present worker and whose heartbeat came. */
export interface Candidate {
  readonly report: WorkerReport;
  readonly phase: StateOf<typeof candidateChart>;
  readonly heardAtMs: number;
  /** When it may be asked for its list. */
  readonly askAtMs: number;
  /** Call that asks for the list. */
  readonly callId?: string;
  /** Number of the last request for a list. */
  readonly listNumber: number;
  /** Token of the last call. */
  readonly askedToken: number;
}

/** Settings that stay fixed while the process runs. */
export interface RunnerSettings {
  readonly agentId: string;
  /** First fencing token; later ones are higher. */
  readonly firstToken: number;
  /** Entries to query for the leader when no other source names it. */
  readonly seeds: readonly Address[];
  /** Longest lease that a worker accepts. */
  readonly maxLeaseMs: number;
}

/** What an agent knows of the lease that its worker holds, on the worker's clock. */
export interface HeldLease {
  /** Highest clock value in a reply. */
  readonly clockMs: number;
  /** When that reply came, on the agent's clock. */
  readonly repliedAtMs: number;
  /** Latest end of a lease that a call may have set. */
  readonly latestEndClockMs: number;
}

/** Numbers of failed calls by result. */
export interface FailureCounts {
  readonly refused: number;
  readonly lost: number;
}

/** Calls to the worker that have failed since its last reply. */
export interface CallFailures {
  /** When the first one failed. */
  readonly sinceMs: number;
  readonly all: FailureCounts;
  /** Those that were sent after the first one had failed. */
  readonly retries: FailureCounts;
}

/** Heartbeats of the worker whose sequences are lower than one that was heard. */
export interface LowerSequences {
  /** Number of heartbeats, each with a higher sequence than the one before. */
  readonly count: number;
  readonly last: number;
}

/** State of the worker beside the agent, from its heartbeats and its replies. */
export interface WorkerState {
  readonly workerKey: string;
  readonly report: WorkerReport;
  /** Absent while the heartbeats of the worker follow each other. */
  readonly lowerSequences?: LowerSequences;
  /** Highest clock value in a list that may be reported. */
  readonly clockMs?: number;
  /** End of the lease that the leader has granted. */
  readonly leaseUntilClockMs?: number;
  readonly heldLease: HeldLease;
  /** When its last heartbeat came. */
  readonly heartbeatAtMs: number;
  readonly ackSequence: number;
  /** Number of the request that the last list answered. */
  readonly listNumber: number;
  readonly running: readonly ListedRun[];
  readonly ended: readonly ListedEnd[];
  /** Highest sequence of an end after which the lease of the worker has ended; 0 if there is none. */
  readonly lapsedSequence: number;
  readonly pending: Map<string, PendingOrder>;
  /** Recent start calls that the worker may have carried out, by run. */
  readonly startCalls: Map<string, StartCall>;
  /** Absent while the worker replies. */
  readonly failures?: CallFailures;
  /**
   * Number of the last request for a list before its message that it leaves. The reply to a later
   * request refutes the message, which may come from another writer.
   */
  readonly leftAtList?: number;
}

/** A report that was sent. */
export interface SentReport {
  readonly workerKey: string;
  readonly atMs: number;
  /** Highest sequence of an end that it listed; 0 if there was none. */
  readonly lastSequence: number;
}

/** State of an agent. */
export interface RunnerState {
  readonly settings: RunnerSettings;
  readonly phase: StateOf<typeof agentChart>;
  /** Present after the request to stop. */
  readonly stopping?: StopState;
  readonly token: number;
  readonly callCount: number;
  readonly worker?: WorkerState;
  /** Instances that have sent a heartbeat and no list yet, by key and address. */
  readonly candidates: Map<string, Candidate>;
  /** When the agent began. */
  readonly startedAtMs?: number;
  /** Ids of the instances that were the worker. */
  readonly workerIds: ImmutableSet<string>;
  /** Latest birth of an instance that was the worker. */
  readonly lastBornAtMs: number;
  /** Gone workers that no leader has recorded. */
  readonly goneWorkers: readonly GoneWorker[];
  readonly goneSentAtMs: number;
  /** Number of requests for a list until now. */
  readonly listCount: number;
  /** Number of the last hold among the requests for a list. */
  readonly holdNumber: number;
  /** Token of the last hold. */
  readonly holdToken: number;
  readonly holdCallId?: string;
  readonly holdSentAtMs: number;
  readonly holdAtMs: number;
  readonly term: number;
  readonly leader?: Address;
  readonly target?: Address;
  readonly connectCount: number;
  readonly lookup: Lookup;
  /** Times, one after the other, in which the leader has not replied. */
  readonly silentCount: number;
  /** Random share from 0 to 1 of the time that the peer has for a reply on this connection. */
  readonly timeoutJitter: number;
  readonly isLinked: boolean;
  readonly lastOrder: number;
  /** Time between two reports without an end of a run; 0 to report every list. */
  readonly reportIntervalMs: number;
  /** Last report of a list on this connection. */
  readonly lastReport?: SentReport;
  /** When the leader last replied, its silence was last noticed, or a connection was last attempted. */
  readonly progressAtMs: number;
  /** Calls in progress, by id. */
  readonly pendingCalls: Map<string, PendingCall>;
}

/** Events that an agent handles. */
export type RunnerEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'heartbeat'; readonly report: WorkerReport }
  | { readonly kind: 'workerLeft'; readonly id: string }
  | { readonly kind: 'leader'; readonly term: number; readonly address: Address }
  /** The seed that was asked names the leader. */
  | { readonly kind: 'leaderNamed'; readonly term: number; readonly address: Address }
  | { readonly kind: 'linkOpened' }
  | { readonly kind: 'linkClosed' }
  | { readonly kind: 'received'; readonly message: LeaderMessage }
  | { readonly kind: 'callDone'; readonly callId: string; readonly result: WorkerCallResult }
  /** Requests a planned stop, which ends after `withinMs` at the latest. */
  | { readonly kind: 'stop'; readonly withinMs: number };

/** Effects that the shell of an agent performs. */
export type RunnerEffect =
  /** Replaces the connection on which the agent reports. */
  | { readonly kind: 'connect'; readonly address: Address }
  /** Opens another connection, on which the agent only learns who leads; replaces one of its kind. */
  | { readonly kind: 'askSeed'; readonly address: Address }
  | { readonly kind: 'endLookup' }
  | { readonly kind: 'send'; readonly message: RunnerMessage }
  | {
      readonly kind: 'call';
      readonly callId: string;
      readonly worker: WorkerReport;
      readonly call: WorkerCall;
      readonly timeoutMs: number;
    }
  /** A planned stop is done. */
  | { readonly kind: 'settled' }
  | LogEffect;

/** State and effects after a step or a part of it. */
export interface RunnerStep {
  readonly state: RunnerState;
  readonly effects: readonly RunnerEffect[];
}
