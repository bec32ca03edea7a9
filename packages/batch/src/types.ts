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
import type { WorkerHealth } from './quarantine';

/** State of the rest of the entry that decisions about batch work read. */
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
  /** Time at which the commit of the claim was confirmed. */
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
  /** Minimum reservation, set after the task exceeded its reservation. */
  readonly floor?: Resources;
  readonly notBeforeMs: number;
  readonly evictedAtMs?: number;
  /** Agent that holds capacity for the task, and until when. */
  readonly capacityHold?: { readonly agentId: string; readonly untilMs: number };
}

/** A job of a shard that this entry owns. */
export interface JobRecord {
  readonly job: Job;
  readonly shard: number;
  /** Key of the row on which claims are conditional: a job, or a watcher of the configuration. */
  readonly conditionKey: string;
  readonly version: number;
  /** Number of task records; exceeds the task count after a watcher was scaled down. */
  readonly taskTotal: number;
  readonly pending: Set<number>;
  readonly endedCount: number;
  readonly endedAtMs?: number;
  /** Time since which none of its tasks has been placed. */
  readonly waitingSinceMs: number;
}

/** Version of a row, and the time on the clock of this entry since which it is unchanged. */
export interface ObservedVersion {
  readonly version: number;
  readonly sinceMs: number;
}

/** Row of an entry in the table, and the ticket number in force at that entry. */
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

/** State of a shard at this entry. */
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
  /** Earliest time of the next offer, after the agent declined for a lasting reason. */
  readonly noOffersUntilMs: number;
  /** Earliest time of the next offer that preempts other tasks. */
  readonly noPreemptionUntilMs: number;
}

/** Purpose of a part of a transaction. */
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
  /** Deletes rows; nothing depends on the outcome. */
  | { readonly kind: 'cleanUp' };

/** Purpose of a table access outside of the group commit. */
export type BatchPurpose =
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
  readonly calls: Map<string, BatchPurpose>;
  readonly shards: Map<number, ShardView>;
  readonly entryRows: Map<string, ObservedEntry>;
  readonly areEntriesKnown: boolean;
  readonly jobs: Map<string, JobRecord>;
  readonly tasks: Map<string, TaskRecord>;
  /** Task keys by id of the open offer. */
  readonly offers: Map<string, string>;
  /** Reserved resources by team. */
  readonly usage: Map<string, Resources>;
  /** Keys of the tasks whose rows assign them to a worker, by worker. */
  readonly byWorker: Map<string, Set<string>>;
  readonly candidates: Map<string, Candidate>;
  readonly agentByWorker: Map<string, string>;
  readonly learned: LearnState;
  readonly health: Map<string, WorkerHealth>;
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

/** Events that batch work handles. */
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

/** Effects that the entry carries out for batch work. */
export type BatchEffect =
  | StoreEffect
  | { readonly kind: 'send'; readonly agentId: string; readonly message: EntryMessage }
  | { readonly kind: 'adminReply'; readonly callId: string; readonly result: Result<AdminReply> }
  | { readonly kind: 'workerRows'; readonly rows: readonly Row[] }
  | { readonly kind: 'wake'; readonly timer: BatchTimer; readonly afterMs: number };

/** State and effects that result from an event of batch work. */
export type BatchStep = Step<BatchState, BatchEffect>;

/** Inputs of a decision besides the state. */
export interface BatchContext {
  readonly inputs: BatchInputs;
  readonly nowMs: number;
  readonly random: number;
}
