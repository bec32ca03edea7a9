import type { Map, OrderedMap } from 'immutable';
import type { Ledger } from '@bronzeyoke/ledger';
import type { TaskEnd, WorkerEffect, WorkerEvent } from '@bronzeyoke/ports';
import type {
  AgentProfile,
  Configuration,
  Failure,
  Resources,
  Step,
  TaskId,
  TaskSpec,
} from '@bronzeyoke/types';
import type { AgentMessage, DeclineReason, EntryMessage, TaskReport } from '@bronzeyoke/wire';
import type { LeasePhase, AgentTaskPhase } from './chart';

/** How a task stops: after a checkpoint, for good, or at once because the lease is lost. */
export type StopMode = 'evict' | 'cancel' | 'fence';

/** A task at the agent, from its offer until the worker no longer runs it. */
export interface AgentTaskRecord {
  readonly task: TaskSpec;
  readonly epoch: number;
  readonly phase: AgentTaskPhase;
  /** Absent for a task that was adopted. */
  readonly offerId?: string;
  /** The link that made the offer. */
  readonly linkId?: string;
  readonly acceptedAtMs: number;
  /** When it was first confirmed to run at the worker. */
  readonly runningSinceMs?: number;
  readonly stopMode?: StopMode;
  readonly checkpointRef?: string;
  /** When a failed checkpoint or stop is retried. */
  readonly retryAtMs?: number;
  /** When a listing lacked the task; its end may still arrive in a notice. */
  readonly missingSinceMs?: number;
  /** How long the task could wait when it was offered. If absent, urgent work does not evict it. */
  readonly spareMs?: number;
}

/** Capacity held for urgent work while other tasks are evicted for it. */
export interface CapacityHold {
  readonly reserved: Resources;
  readonly untilMs: number;
}

/** A closed offer, kept because copies of its messages may still arrive. */
export interface PastOffer {
  readonly id: TaskId;
  readonly epoch: number;
  /** If false, a claim that arrives later has to be returned. */
  readonly wasClaimed: boolean;
}

/** A report that no entry has confirmed yet. */
export interface PendingReport {
  readonly id: TaskId;
  readonly epoch: number;
  readonly report: TaskReport;
  readonly sentAtMs: number;
}

/** Purpose of a call to the worker. */
export type WorkerCallPurpose =
  | { readonly kind: 'attach' }
  | { readonly kind: 'renew' }
  | { readonly kind: 'notices' }
  | { readonly kind: 'start' | 'checkpoint' | 'stop'; readonly key: string };

/** A call to the worker that awaits its reply. */
export interface PendingWorkerCall {
  readonly purpose: WorkerCallPurpose;
  readonly incarnation: number;
  readonly sentAtMs: number;
}

/** A registration or renewal that awaits its reply. */
export interface LeaseRequest {
  readonly kind: 'register' | 'renew';
  readonly sentAtMs: number;
  readonly incarnation: number;
}

/** The worker lease as the agent tracks it. */
export interface Lease {
  readonly phase: LeasePhase;
  readonly incarnation: number;
  /** Counted from when the registration or renewal was sent. */
  readonly untilMs: number;
  readonly requests: OrderedMap<string, LeaseRequest>;
  readonly lastSentAtMs: number;
  readonly lastLinkId?: string;
  /** Requests since the last reply. */
  readonly tries: number;
  /** A higher registered incarnation, and until when it may turn out to be the agent's own. */
  readonly dispute?: { readonly incarnation: number; readonly untilMs: number };
}

/** State of batch work at an agent. */
export interface TasksState {
  readonly profile: AgentProfile;
  readonly links: readonly string[];
  readonly configuration: Configuration;
  readonly isDraining: boolean;
  readonly ledger: Ledger;
  readonly lease: Lease;
  readonly records: Map<string, AgentTaskRecord>;
  readonly holds: Map<string, CapacityHold>;
  /** Highest claimed epoch of each recent task. */
  readonly epochs: OrderedMap<string, number>;
  readonly pastOffers: OrderedMap<string, PastOffer>;
  readonly reports: OrderedMap<string, PendingReport>;
  readonly calls: Map<string, PendingWorkerCall>;
  readonly callCount: number;
  /** Whether to request a list of running tasks from the worker. */
  readonly needsListing: boolean;
  readonly noticesAtMs: number;
  /** When the last renewal of task leases that the worker confirmed was sent. */
  readonly renewedAtMs: number;
}

/** Messages of an entry that concern batch work. */
export type TaskMessage = Extract<
  EntryMessage,
  {
    readonly kind:
      | 'offer'
      | 'claimed'
      | 'claimFailed'
      | 'stopTask'
      | 'askTask'
      | 'recorded'
      | 'workerRegistered'
      | 'workerRenewed'
      | 'workerFenced'
      | 'config';
  }
>;

/** Events for batch work at an agent. `tick` is due every `TICK_MS`. */
export type TasksEvent =
  | { readonly kind: 'linkOpened'; readonly linkId: string }
  | { readonly kind: 'linkClosed'; readonly linkId: string }
  | { readonly kind: 'received'; readonly linkId: string; readonly message: TaskMessage }
  | WorkerEvent
  | { readonly kind: 'tick' }
  | { readonly kind: 'drain' }
  | { readonly kind: 'evict'; readonly id: TaskId };

/** Effects that the shell performs for batch work. `exit` ends a replaced agent. */
export type TasksEffect =
  | { readonly kind: 'send'; readonly linkId: string; readonly message: AgentMessage }
  | WorkerEffect
  | { readonly kind: 'exit'; readonly failure: Failure };

/** A step of batch work. */
export type TasksStep = Step<TasksState, TasksEffect>;

/** Events of the task chart, with the data that its actions use. */
export type AgentTaskEvent =
  | {
      readonly kind:
        | 'accept'
        | 'drop'
        | 'claim'
        | 'start'
        | 'started'
        | 'notStarted'
        | 'evict'
        | 'notSaved'
        | 'stop'
        | 'stopped'
        | 'missing';
    }
  | { readonly kind: 'decline'; readonly reason: DeclineReason }
  | { readonly kind: 'saved'; readonly checkpointRef: string }
  | { readonly kind: 'finish' | 'fail' | 'expire'; readonly end: TaskEnd };
