import type { Map, Set } from 'immutable';
import type { GroupState } from '@bronzeyoke/commits';
import type { Row, StoreEffect, StoreEvent } from '@bronzeyoke/ports';
import type {
  AdminCommand,
  AdminReply,
  AgentProfile,
  Configuration,
  Job,
  ParkReason,
  Resources,
  Result,
  SlowDown,
  Step,
  TaskId,
} from '@bronzeyoke/types';
import type { DeclineReason, EntryMessage, TaskReport } from '@bronzeyoke/wire';
import type { WorkerRow } from '@bronzeyoke/workers';
import type { ShardPhase, TaskPhase } from './chart';
import type { LearnState } from './learn';
import type { HealthState } from './quarantine';

/** What decisions about batch work read from the rest of the entry. */
export interface BatchInputs {
  readonly configuration: Configuration;
  /** Versions of the configuration rows. */
  readonly versions: Map<string, number>;
  readonly workers: Map<string, WorkerRow>;
}

/** An attempt to place a task. The offer id is the claim token in the row. */
export interface Claim {
  readonly offerId: string;
  readonly worker: string;
  readonly domain: string;
  readonly reserved: Resources;
  readonly offeredAtMs: number;
  readonly acceptedAtMs: number;
  /** When the claim was known to be in the table. */
  readonly committedAtMs: number;
}

/** A task of a shard that this entry owns. */
export interface TaskRecord {
  readonly key: string;
  readonly id: TaskId;
  readonly shard: number;
  readonly phase: TaskPhase;
  readonly phaseSinceMs: number;
  readonly epoch: number;
  readonly rowVersion: number;
  readonly claim?: Claim;
  /** The part of a transaction that the phase waits for. */
  readonly partId?: string;
  readonly checkpointRef?: string;
  readonly resultRef?: string;
  readonly parkReason?: ParkReason;
  readonly reportedBy?: string;
  /** Workers on which the task failed. */
  readonly failedOn: readonly string[];
  readonly failures: number;
  /** At least this much is reserved, after the task used more than it had. */
  readonly floor?: Resources;
  readonly notBeforeMs: number;
  readonly evictedAtMs?: number;
  /** The agent that makes room for the task, and how long it keeps it. */
  readonly roomHold?: { readonly agentId: string; readonly untilMs: number };
}

/** A job of a shard that this entry owns. */
export interface JobRecord {
  readonly job: Job;
  readonly shard: number;
  /** The row that claims are conditional on: the job, or the watcher of the configuration. */
  readonly conditionKey: string;
  readonly version: number;
  /** Tasks with records; more than the job has after a watcher lost instances. */
  readonly taskTotal: number;
  readonly pending: Set<number>;
  readonly endedCount: number;
  readonly endedAtMs?: number;
  /** Since when none of its tasks was placed. */
  readonly waitingSinceMs: number;
}

/** A version of a row, and since when it is unchanged on the clock of this entry. */
export interface ObservedVersion {
  readonly version: number;
  readonly sinceMs: number;
}

/** An entry that announced itself in the table, and the ticket number in force there. */
export interface ObservedEntry extends ObservedVersion {
  readonly domain: string;
  readonly number: number;
}

/** Progress of loading a shard. */
export interface LoadProgress {
  readonly stage: 'jobs' | 'tasks';
  readonly afterKey: string;
  readonly jobs: readonly Row[];
  readonly tasks: readonly Row[];
  readonly isReading: boolean;
}

/** A shard as this entry sees it. */
export interface ShardView {
  readonly shard: number;
  readonly phase: ShardPhase;
  readonly ownerEntryId: string;
  readonly ownerEpoch: number;
  readonly version: number;
  readonly lease: ObservedVersion;
  readonly partId?: string;
  readonly load?: LoadProgress;
  readonly isReadingInbox: boolean;
}

/** An agent that may be offered tasks. */
export interface Candidate {
  readonly agentId: string;
  readonly profile: AgentProfile;
  readonly free: Resources;
  readonly slowDowns: readonly SlowDown[];
  readonly isLeaving: boolean;
  /** No offers before this time, after the agent declined for a reason that lasts. */
  readonly noOffersUntilMs: number;
  /** Not asked to make room again before this time. */
  readonly noRoomRequestsUntilMs: number;
}

/** What a part of a transaction is for. */
export type PartPurpose =
  | {
      readonly kind: 'task';
      readonly key: string;
      readonly change: 'claim' | 'release' | 'finish' | 'cancel' | 'park';
    }
  | { readonly kind: 'take'; readonly shard: number }
  | { readonly kind: 'release'; readonly shard: number }
  | { readonly kind: 'fence'; readonly worker: string; readonly offerIds: readonly string[] }
  | { readonly kind: 'submit'; readonly callId: string; readonly job: Job }
  | { readonly kind: 'cancel'; readonly callId: string; readonly job: Job }
  /** Deletes that nothing waits for. */
  | { readonly kind: 'cleanUp' };

/** What an access to the table outside of the group commit is for. */
export type CallPurpose =
  | { readonly kind: 'entries' }
  | { readonly kind: 'shards' }
  | { readonly kind: 'renew'; readonly shards: readonly number[] }
  | { readonly kind: 'load'; readonly shard: number; readonly version: number }
  | { readonly kind: 'inbox'; readonly shard: number }
  | { readonly kind: 'inboxJobs'; readonly shard: number; readonly inbox: readonly Row[] }
  | { readonly kind: 'leases'; readonly workers: readonly string[]; readonly sentAtMs: number }
  | { readonly kind: 'existingJob'; readonly callId: string; readonly team: string }
  | { readonly kind: 'cancelRead'; readonly callId: string; readonly jobId: string }
  | { readonly kind: 'showRead'; readonly callId: string; readonly jobId: string }
  | {
      readonly kind: 'showTasks';
      readonly callId: string;
      readonly job: Job;
      readonly rows: readonly Row[];
    }
  | {
      readonly kind: 'list';
      readonly callId: string;
      readonly team: string;
      readonly limit: number;
      readonly jobs: readonly Job[];
    };

/** State of batch work at an entry. */
export interface BatchState {
  readonly entryId: string;
  readonly domain: string;
  readonly wallOffsetMs: number;
  readonly startedAtMs: number;
  readonly isDraining: boolean;
  readonly idCount: number;
  readonly pollCount: number;
  readonly group: GroupState;
  readonly parts: Map<string, PartPurpose>;
  readonly calls: Map<string, CallPurpose>;
  readonly shards: Map<number, ShardView>;
  readonly entryRows: Map<string, ObservedEntry>;
  readonly areEntriesKnown: boolean;
  readonly jobs: Map<string, JobRecord>;
  readonly tasks: Map<string, TaskRecord>;
  readonly offers: Map<string, string>;
  /** What each team has reserved. */
  readonly usage: Map<string, Resources>;
  /** Tasks that a row claims for a worker. */
  readonly byWorker: Map<string, Set<string>>;
  readonly candidates: Map<string, Candidate>;
  readonly agentByWorker: Map<string, string>;
  readonly learned: LearnState;
  readonly health: Map<string, HealthState>;
  readonly leases: Map<string, ObservedVersion>;
  readonly needsScheduling: boolean;
  readonly scheduledAtMs: number;
}

/** Commands about jobs. */
export type JobCommand = Extract<
  AdminCommand,
  { readonly kind: 'submitJob' | 'showJob' | 'cancelJob' | 'listJobs' }
>;

/** Timers of batch work: `tick` for offers and group commit, `poll` for everything slower. */
export type BatchTimer = { readonly kind: 'tick' } | { readonly kind: 'poll' };

/** What happens to batch work. */
export type BatchEvent =
  | { readonly kind: 'started'; readonly wallOffsetMs: number }
  | { readonly kind: 'timer'; readonly timer: BatchTimer }
  | { readonly kind: 'agentUp'; readonly agentId: string; readonly profile: AgentProfile }
  | { readonly kind: 'agentLeaving'; readonly agentId: string }
  | { readonly kind: 'agentDown'; readonly agentId: string }
  | {
      readonly kind: 'beat';
      readonly agentId: string;
      readonly free: Resources;
      readonly slowDowns: readonly SlowDown[];
    }
  | {
      readonly kind: 'accepted';
      readonly agentId: string;
      readonly offerId: string;
      readonly free: Resources;
    }
  | {
      readonly kind: 'declined';
      readonly agentId: string;
      readonly offerId: string;
      readonly reason: DeclineReason;
      readonly free: Resources;
    }
  | {
      readonly kind: 'report';
      readonly agentId: string;
      readonly id: TaskId;
      readonly epoch: number;
      readonly report: TaskReport;
    }
  | { readonly kind: 'configured' }
  | { readonly kind: 'command'; readonly callId: string; readonly command: JobCommand }
  | { readonly kind: 'drain' }
  | StoreEvent;

/** What the entry has to do for batch work. */
export type BatchEffect =
  | StoreEffect
  | { readonly kind: 'send'; readonly agentId: string; readonly message: EntryMessage }
  | { readonly kind: 'adminReply'; readonly callId: string; readonly result: Result<AdminReply> }
  | { readonly kind: 'workerRows'; readonly rows: readonly Row[] }
  | { readonly kind: 'wake'; readonly timer: BatchTimer; readonly afterMs: number };

/** A step of batch work. */
export type BatchStep = Step<BatchState, BatchEffect>;

/** What a decision may read beside the state. */
export interface Context {
  readonly inputs: BatchInputs;
  readonly nowMs: number;
  readonly random: number;
}
