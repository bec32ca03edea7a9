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
import type { LeasePhase, TaskPhase } from './chart';

/** Why a task is to stop: with a checkpoint, for good, or at once because the lease is lost. */
export type StopMode = 'evict' | 'cancel' | 'fence';

/** A task at the agent, from its offer until the worker no longer runs it. */
export interface TaskRecord {
  readonly task: TaskSpec;
  readonly epoch: number;
  readonly phase: TaskPhase;
  /** Absent for a task that was adopted. */
  readonly offerId?: string;
  /** The link that made the offer. */
  readonly linkId?: string;
  readonly acceptedAtMs: number;
  /** When the worker was known to run it. */
  readonly runningSinceMs?: number;
  readonly stopMode?: StopMode;
  readonly checkpointRef?: string;
  /** When a checkpoint or a stop that failed is tried again. */
  readonly retryAtMs?: number;
  /** When the worker was found not to run it; its end may still be in a notice. */
  readonly missingSinceMs?: number;
  /** How long the task could wait when it was offered; without, it is not evicted for urgent work. */
  readonly spareMs?: number;
}

/** Room that is kept for urgent work while others are evicted for it. */
export interface CapacityHold {
  readonly reserved: Resources;
  readonly untilMs: number;
}

/** An offer that is over. Copies of its messages may still arrive. */
export interface PastOffer {
  readonly id: TaskId;
  readonly epoch: number;
  /** A claim that arrives after all has to be given back. */
  readonly wasClaimed: boolean;
}

/** A report that no entry has confirmed yet. */
export interface PendingReport {
  readonly id: TaskId;
  readonly epoch: number;
  readonly report: TaskReport;
  readonly sentAtMs: number;
}

/** What a command to the worker was given for. */
export type CallPurpose =
  | { readonly kind: 'attach' }
  | { readonly kind: 'renew' }
  | { readonly kind: 'notices' }
  | { readonly kind: 'start' | 'checkpoint' | 'stop'; readonly key: string };

/** A command to the worker without a reply so far. */
export interface WorkerCall {
  readonly purpose: CallPurpose;
  readonly incarnation: number;
  readonly sentAtMs: number;
}

/** A registration or a renewal without a reply so far. */
export interface LeaseRequest {
  readonly kind: 'register' | 'renew';
  readonly sentAtMs: number;
  readonly incarnation: number;
}

/** The lease of the worker as the agent counts it. */
export interface Lease {
  readonly phase: LeasePhase;
  readonly incarnation: number;
  /** Counted from before the registration or renewal was sent. */
  readonly untilMs: number;
  readonly requests: OrderedMap<string, LeaseRequest>;
  readonly lastSentAtMs: number;
  readonly lastLinkId?: string;
  /** Requests since the last reply. */
  readonly tries: number;
  /** The higher incarnation that somebody registered, and until when ours may turn out to be it. */
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
  readonly records: Map<string, TaskRecord>;
  readonly holds: Map<string, CapacityHold>;
  /** Highest epoch claimed of recent tasks. */
  readonly epochs: OrderedMap<string, number>;
  readonly pastOffers: OrderedMap<string, PastOffer>;
  readonly reports: OrderedMap<string, PendingReport>;
  readonly calls: Map<string, WorkerCall>;
  readonly callCount: number;
  /** The worker has to be asked what it runs. */
  readonly needsListing: boolean;
  readonly noticesAtMs: number;
  /** When the tasks' leases were last given to the worker and confirmed. */
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

/** What happens to batch work at an agent. `tick` is due every `TICK_MS`. */
export type TasksEvent =
  | { readonly kind: 'linkOpened'; readonly linkId: string }
  | { readonly kind: 'linkClosed'; readonly linkId: string }
  | { readonly kind: 'received'; readonly linkId: string; readonly message: TaskMessage }
  | WorkerEvent
  | { readonly kind: 'tick' }
  | { readonly kind: 'drain' }
  | { readonly kind: 'evict'; readonly id: TaskId };

/** What the shell has to do for batch work. `exit` is for an agent that another one replaced. */
export type TasksEffect =
  | { readonly kind: 'send'; readonly linkId: string; readonly message: AgentMessage }
  | WorkerEffect
  | { readonly kind: 'exit'; readonly failure: Failure };

/** A step of batch work. */
export type TasksStep = Step<TasksState, TasksEffect>;

/** What the decision code tells the chart of a task. */
export type TaskEvent =
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
