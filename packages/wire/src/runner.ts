import type { ListedEnd, ListedRun, OrderRefusal, WorkerReport } from '@bronzeyoke/ports';

/** Identifies a run of a task. */
export interface RunRef {
  readonly task: string;
  readonly attempt: number;
}

/** A run that a worker began shortly before its end. */
export interface RecentStart extends RunRef {
  /** Time from the start call to the end of the worker. */
  readonly ageMs: number;
}

/** Why a worker ended. */
export type WorkerEndCause =
  /** It ended by itself, without an announcement. */
  | 'crashed'
  /** It announced its end. */
  | 'left'
  /** It did not answer until its lease ended, and may be up. This accuses no task. */
  | 'unreachable';

/** How an agent learned that a worker has ended. */
export type WorkerEndReason =
  /** Reply of another instance under the same id. */
  | 'restarted'
  /** Reply of an instance under another id. */
  | 'otherWorker'
  /** The lease that the worker held has ended by its clock, so that all its runs have. */
  | 'leaseEnded'
  /** The agent did not tell. */
  | 'unknown';

/** The end of a worker. */
export interface WorkerEnd {
  readonly workerKey: string;
  readonly cause: WorkerEndCause;
  readonly reason: WorkerEndReason;
  /** Runs that may have caused the end. */
  readonly recentStarts: readonly RecentStart[];
}

/** Reason for which an agent does not carry out a start order. Nothing of the order reached a worker. */
export type AgentRefusal =
  | 'noLease'
  | 'draining'
  | 'expired'
  /** Calls to the worker fail. */
  | 'unreachable';

/** Messages from an agent to the leader, and from a new leader to the former one. */
export type RunnerMessage =
  | {
      readonly kind: 'report';
      readonly agentId: string;
      /** Highest leader term that the agent has seen. */
      readonly term: number;
      readonly workerKey: string;
      readonly worker: WorkerReport;
      /** Clock of the worker in its latest reply. */
      readonly clockMs: number;
      readonly running: readonly ListedRun[];
      readonly ended: readonly ListedEnd[];
      /** Highest sequence of an end after which the lease of the worker has ended; absent if none is known. */
      readonly lapsedSequence?: number;
      /** Runs with orders whose effect is not known yet. */
      readonly pending: readonly RunRef[];
      /** Highest order number received on this connection. */
      readonly lastOrder: number;
    }
  | {
      readonly kind: 'refused';
      readonly workerKey: string;
      readonly run: RunRef;
      readonly reason: OrderRefusal | AgentRefusal;
    }
  /** The worker of an earlier report has stopped. A later instance may still begin some of its runs. */
  | ({ readonly kind: 'workerEnded'; readonly openRuns: readonly RunRef[] } & WorkerEnd)
  /** The worker of an earlier report has stopped, and all its runs have ended. */
  | ({ readonly kind: 'workerGone' } & WorkerEnd)
  /** Sent by a new leader to the former one. */
  | {
      readonly kind: 'leaderChanged';
      readonly entryId: string;
      readonly host: string;
      readonly port: number;
      readonly term: number;
    };

/** An agent's report of its worker. */
export type Report = Extract<RunnerMessage, { readonly kind: 'report' }>;

/** An agent's answer to an order that it does not carry out. */
export type Refusal = Extract<RunnerMessage, { readonly kind: 'refused' }>;

/** Messages from an entry to an agent. */
export type LeaderMessage =
  /** Address of the leader that the entry last observed. Any entry sends it. */
  | {
      readonly kind: 'leader';
      readonly term: number;
      readonly host: string;
      readonly port: number;
      /** Entry that sends the message. Older builds neither send nor read it. */
      readonly entryId?: string;
    }
  | {
      readonly kind: 'grant';
      readonly workerKey: string;
      readonly leaseUntilClockMs: number;
      /** Time between two reports that list no new end; absent if every list is to be reported. */
      readonly reportIntervalMs?: number;
    }
  | {
      readonly kind: 'start';
      readonly workerKey: string;
      readonly order: number;
      readonly run: RunRef;
      readonly payload: string;
      readonly checkpoint?: string;
      readonly ticket?: string;
    }
  | { readonly kind: 'stop'; readonly workerKey: string; readonly run: RunRef }
  | {
      readonly kind: 'pace';
      readonly workerKey: string;
      readonly run: RunRef;
      readonly percent: number;
    }
  | {
      readonly kind: 'acknowledge';
      readonly workerKey: string;
      readonly sequence: number;
    }
  /** Confirms `workerGone`: no stored row assigns a task to that worker any more. */
  | { readonly kind: 'goneRecorded'; readonly workerKey: string };
