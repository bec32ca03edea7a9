import type { Map } from 'immutable';
import type { StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import type { PairEstimates } from '@bronzeyoke/interference';
import type {
  RowTransaction,
  StoreCall,
  StoreDone,
  StoredRow,
  WorkerReport,
} from '@bronzeyoke/ports';
import type { LogEffect } from '@bronzeyoke/telemetry';
import type { FleetConfig, JobProgress, Stage, WorkflowJob } from '@bronzeyoke/workflow';
import type { LeaderMessage, RunnerMessage, RunRef } from '@bronzeyoke/wire';
import chartFile from '../charts/leadership.json';
import type { RunTable } from './runs';
import type { SchedulerTimes } from './times';

/** Chart of an entry's leadership. */
export const leadershipChart = compileChart(chartFile, {
  states: ['following', 'claiming', 'loading', 'leading', 'stopped'],
  events: ['vacant', 'won', 'lost', 'loaded', 'deposed', 'stop'],
  actions: ['claim', 'load', 'begin', 'reset', 'resign'],
});

/** Whether this entry leads. */
export type LeadershipPhase = StateOf<typeof leadershipChart>;

/** The entry that places tasks, as its row says. The term rises with every change of leader. */
export interface Leader {
  readonly entryId: string;
  readonly host: string;
  readonly port: number;
  readonly term: number;
}

/** What does not change while the process runs. */
export interface SchedulerSettings {
  readonly entryId: string;
  readonly host: string;
  readonly port: number;
  readonly times: SchedulerTimes;
}

/** A job that has not ended, with its progress. */
export interface OpenJob {
  readonly job: WorkflowJob;
  readonly progress: JobProgress;
  readonly isCancelled: boolean;
}

/** What the leader remembers of a run beyond its row. */
export interface RunView {
  readonly jobId: string;
  /** Key of the task within its job. */
  readonly slot: string;
  readonly stage: Stage;
  readonly workerKey: string;
  readonly attempt: number;
  /** Number of the start order on the worker's connection; 0 when it was given elsewhere. */
  readonly order: number;
  readonly isOrdered: boolean;
  readonly claimedAtMs: number;
  readonly percent: number;
  readonly percentAtMs: number;
  readonly load: number;
  readonly isListed: boolean;
  readonly listedAtMs: number;
  /** Since when a serving task has been over the share of its target that counts as harmed. */
  readonly harmedSinceMs?: number;
  /** Placed beside a task that it harms, because there was no other place; works at a low pace. */
  readonly isLastResort: boolean;
  /** Share at which the task may work. */
  readonly pace: number;
  readonly pacedAtMs: number;
  readonly stopSentAtMs?: number;
}

/** A run whose job has ended, until the worker no longer lists it. */
export interface OrphanRun {
  readonly task: string;
  readonly workerKey: string;
  readonly attempt: number;
  readonly order: number;
  readonly stage: Stage;
}

/** A connection of an agent. */
export interface LinkView {
  /** Number of the last order that was sent. */
  readonly lastOrder: number;
  /** Rises with every connection that is opened. */
  readonly number: number;
}

/** One life of a worker, as the leader knows it. */
export interface WorkerView {
  readonly workerKey: string;
  /** Absent until its agent has reported to this leader. */
  readonly report?: WorkerReport;
  readonly linkId?: string;
  /** Number of the newest connection that its agent reported on. */
  readonly linkNumber: number;
  readonly clockMs: number;
  /** After this time nothing can run there any more, unless it reports before. */
  readonly expiresAtMs: number;
  /** Highest listed end that was taken into the jobs' progress. */
  readonly handledSequence: number;
  /** Recent ends as failed without a success in between, by job. */
  readonly failedJobs: readonly string[];
  readonly quarantinedUntilMs: number;
}

/** What is done once the rows of a batch are stored. */
export type PostCommitAction =
  | { readonly kind: 'start'; readonly task: string; readonly attempt: number }
  | { readonly kind: 'acknowledge'; readonly workerKey: string; readonly sequence: number };

/** Rows that wait for a transaction, with what follows. */
export interface PendingWrites {
  readonly jobIds: ReadonlySet<string>;
  readonly postCommit: readonly PostCommitAction[];
}

/** A transaction under way. */
export interface InFlightTransaction {
  readonly callId: string;
  readonly transaction: RowTransaction;
  readonly leaseNumber: number;
  readonly sentAtMs: number;
  readonly firstSentAtMs: number;
  readonly postCommit: readonly PostCommitAction[];
  readonly endedJobs: readonly string[];
  /** Time at which an unsettled transaction is sent again. */
  readonly retryAtMs?: number;
  readonly wasUnknown: boolean;
}

/** What of the store a leader still has to read. */
export interface LoadState {
  readonly progress?: Map<string, JobProgress>;
  readonly jobRows?: readonly StoredRow[];
  readonly pairs?: true;
  /** Workers that agents have named as gone meanwhile. */
  readonly goneWorkerKeys?: readonly string[];
}

/** State of the scheduler in one entry. */
export interface SchedulerState {
  readonly settings: SchedulerSettings;
  readonly phase: LeadershipPhase;
  readonly callCount: number;
  readonly leader?: Leader;
  readonly leaderVersion: number;
  readonly leaseVersion: number;
  readonly leaseNumber: number;
  /** Since when the lease row was seen unchanged, with all reads in between answered. */
  readonly leaseUnchangedSinceMs?: number;
  readonly pollCallId?: string;
  readonly nextReadAtMs: number;
  readonly claimedAtMs: number;
  /** Whether the leader before gave its lease up; it then grants nothing any more. */
  readonly wasLeaseReleased: boolean;
  /** While this time has not passed, agents may be granted leases. */
  readonly mayGrantUntilMs: number;
  readonly loading: LoadState;
  readonly config?: FleetConfig;
  readonly domainsOut: ReadonlySet<string>;
  readonly jobs: Map<string, OpenJob>;
  /** Ended jobs whose outcome is still stored, with the wall-clock time of their end. */
  readonly ended: Map<string, number>;
  readonly workers: Map<string, WorkerView>;
  readonly runs: RunTable;
  readonly orphans: Map<string, OrphanRun>;
  /** Tasks that wait before their next placement, until a time. */
  readonly backOff: Map<string, number>;
  readonly links: Map<string, LinkView>;
  readonly linksOpened: number;
  readonly pairs: PairEstimates;
  readonly pairsSavedAtMs: number;
  readonly arePairsDirty: boolean;
  readonly pendingWrites: PendingWrites;
  readonly inFlight?: InFlightTransaction;
  readonly needsPlacement: boolean;
  readonly writtenCounts: string;
  readonly countsWrittenAtMs: number;
  readonly renewAtMs: number;
}

/** What the scheduler reacts to. */
export type SchedulerEvent =
  | { readonly kind: 'tick'; readonly wallMs: number }
  | { readonly kind: 'configChanged'; readonly config: FleetConfig }
  | { readonly kind: 'timesChanged'; readonly times: SchedulerTimes }
  | { readonly kind: 'domainsOut'; readonly domains: ReadonlySet<string> }
  | { readonly kind: 'leaderRow'; readonly row: StoredRow | undefined }
  | {
      readonly kind: 'jobRows';
      readonly isFull: boolean;
      readonly rows: readonly StoredRow[];
      readonly wallMs: number;
    }
  | StoreDone
  | { readonly kind: 'linkOpened'; readonly linkId: string }
  | {
      readonly kind: 'received';
      readonly linkId: string;
      readonly message: RunnerMessage;
      readonly wallMs: number;
    }
  | { readonly kind: 'linkClosed'; readonly linkId: string }
  | { readonly kind: 'stop' };

/** What the scheduler asks its shell for. */
export type SchedulerEffect =
  | StoreCall
  /** Starts or ends the feed of jobs. */
  | { readonly kind: 'followJobs'; readonly isOn: boolean }
  | { readonly kind: 'send'; readonly linkId: string; readonly message: LeaderMessage }
  /** Tells the entry that led before that it no longer does. */
  | {
      readonly kind: 'notifyEntry';
      readonly host: string;
      readonly port: number;
      readonly leader: Leader;
    }
  | LogEffect;

/** State and effects of a part of a step. */
export interface SchedulerStep {
  readonly state: SchedulerState;
  readonly effects: readonly SchedulerEffect[];
}

/** Names a run for a message. */
export function runRef(task: string, attempt: number): RunRef {
  return { task, attempt };
}
