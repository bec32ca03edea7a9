import type { Map, Set as ImmutableSet } from 'immutable';
import type { InfluenceEstimate } from '@bronzeyoke/interference';
import type { JobLatency } from '@bronzeyoke/latency';
import type { TaskGroup, WorkerLoad } from '@bronzeyoke/placement';
import type { WorkerReport } from '@bronzeyoke/ports';
import type { CrashRecord, JobProgress, Stage, WorkflowJob } from '@bronzeyoke/workflow';

/** A job that has not ended, with its progress. */
export interface OpenJob {
  readonly job: WorkflowJob;
  readonly progress: JobProgress;
  readonly isCancelled: boolean;
  /** How often each task was stopped for want of progress, by slot. */
  readonly stalls?: Map<string, number>;
  /** What its tasks have spent their time on. */
  readonly latency: JobLatency;
}

/** What a new leader has read of a job's progress. */
export type StoredProgress =
  | { readonly kind: 'readable'; readonly progress: JobProgress; readonly version: number }
  /** The row of this version could not be decoded. */
  | { readonly kind: 'unreadable'; readonly version: number };

/** A job of which nothing is placed, because its progress cannot be read. */
export interface HeldJob {
  readonly job: WorkflowJob;
  /** Version of the row that could not be decoded. */
  readonly version: number;
}

/** A job whose definition cannot be decoded. */
export interface UndecodedJob {
  readonly isCancelled: boolean;
}

/**
 * Pace orders that remain for a run of the leader before. That leader may have paced it, which
 * neither the rows nor the worker's list of runs shows.
 */
export interface InheritedPace {
  readonly dueAtMs: number;
  readonly ordersLeft: number;
}

/** A task that is taken to crash workers. */
export interface Suspect {
  readonly jobId: string;
  readonly slot: string;
  readonly crashes: CrashRecord;
  /** Time of the last crash, or of the load of a new leader. */
  readonly sinceMs: number;
}

/** A suspect's run on a worker that begins nothing else meanwhile. */
export interface Trial {
  readonly crashes: CrashRecord;
  /** Time for which the worker has to list the run to clear the task. */
  readonly forMs: number;
}

/** The leader's in-memory state of a run. */
export interface RunView {
  readonly jobId: string;
  /** Key of the task within its job. */
  readonly slot: string;
  readonly stage: Stage;
  readonly workerKey: string;
  readonly attempt: number;
  /** Number of the start order on the worker's connection; 0 unless it was sent on this one. */
  readonly order: number;
  readonly isOrdered: boolean;
  /** Agent that got the start order; absent for a run of the leader before. */
  readonly orderedAgentId?: string;
  /** When the start order was last sent; absent like `orderedAgentId`. */
  readonly orderedAtMs?: number;
  readonly claimedAtMs: number;
  /** Time before which it is not released for want of reports; absent for a run that this leader claimed. */
  readonly keptUntilMs?: number;
  readonly percent: number;
  readonly percentAtMs: number;
  readonly load: number;
  readonly isListed: boolean;
  readonly listedAtMs: number;
  /** Time since which the latency of a serving task has counted as harmed. */
  readonly harmedSinceMs?: number;
  /** Estimate of a serving task's own load, without that of the filling tasks beside it. */
  readonly ownLoad?: InfluenceEstimate;
  /** Placed beside a task that it harms, because no other worker fits; runs at a low pace. */
  readonly isLastResort: boolean;
  /** Limit in percent of the processors that the task needs; 0 pauses it. */
  readonly pace: number;
  readonly pacedAtMs: number;
  readonly inheritedPace?: InheritedPace;
  readonly stopSentAtMs?: number;
  readonly trial?: Trial;
}

/** A run that was released without a listed end. */
export interface ReleasedRun {
  readonly workerKey: string;
  readonly reason: string;
  readonly releasedAtMs: number;
  /** What the end of its worker's lease was derived from; absent if the worker was not known. */
  readonly leaseFrom?: LeaseBasis['kind'];
  /** A worker has listed it since. */
  readonly isListed?: boolean;
}

/** A run that no open job wants. It occupies its worker until the worker no longer lists it. */
export interface OrphanRun {
  readonly task: string;
  readonly workerKey: string;
  readonly attempt: number;
  readonly order: number;
  /** Absent when the job is not known any more, so that nothing tells what the run needs. */
  readonly stage?: Stage;
}

/** A connection of an agent. */
export interface LinkView {
  /** Number of the last order that was sent. */
  readonly lastOrder: number;
  /** Rises with every connection that opens. */
  readonly number: number;
  /** Workers that its agent has reported on it, some of which may have ended since. */
  readonly workerKeys: ImmutableSet<string>;
}

/** Stop orders of a run that no open job wants. */
export interface UnwantedStop {
  /** Time of the first one. */
  readonly sinceMs: number;
  /** Time of the last one. */
  readonly sentAtMs: number;
}

/** What the leader derives the end of a worker's lease from, with the time that the lease counts from. */
export type LeaseBasis =
  /** A lease that this leader has granted, from the report that it answers. */
  | { readonly kind: 'grant'; readonly baseAtMs: number }
  /** The first report of an instance of some age, which has no lease but those of its leader. */
  | { readonly kind: 'report'; readonly baseAtMs: number }
  /** The first report of an instance that may have got the longest lease from a late call. */
  | { readonly kind: 'youngInstance'; readonly baseAtMs: number }
  /** The lease row of the leader before names the worker as awaited. */
  | { readonly kind: 'rowAwaited'; readonly baseAtMs: number }
  /** That row gives the worker a longer lease than the others. */
  | { readonly kind: 'rowLong'; readonly baseAtMs: number }
  /** That row does not name the worker, so that its general end counts. */
  | { readonly kind: 'rowGeneral'; readonly baseAtMs: number }
  /** An agent told a loading leader that the worker is gone. */
  | { readonly kind: 'reportedGone'; readonly baseAtMs: number }
  /** A run of the worker in a job that was opened while this entry leads. */
  | { readonly kind: 'adopted'; readonly baseAtMs: number }
  /** The lease is over; the worker is kept for start orders that may come late. */
  | { readonly kind: 'lateStart'; readonly baseAtMs: number };

/** The leader's state of one worker instance. */
export interface WorkerView {
  readonly workerKey: string;
  /** Absent until its agent has reported to this leader. */
  readonly report?: WorkerReport;
  /** Address in the claims of the leader before, until the agent has reported. */
  readonly claimedAddress?: string;
  readonly reportedAtMs?: number;
  /** Process that reported last. */
  readonly agentId?: string;
  readonly linkId?: string;
  /** Number of the newest connection that its agent reported on. */
  readonly linkNumber: number;
  /** Highest value of the worker's clock that its agent has reported. */
  readonly clockMs: number;
  /** Time after which no task can still run there, unless a report extends the lease. */
  readonly expiresAtMs: number;
  /** What `expiresAtMs` was derived from. */
  readonly leaseFrom: LeaseBasis;
  /** Highest sequence of a listed end that was applied to the jobs' progress. */
  readonly handledSequence: number;
  /** Jobs that failed here since the last success. */
  readonly failedJobs: readonly string[];
  readonly quarantinedUntilMs: number;
  /** Its agent has refused an order since its last report, because calls to it fail. */
  readonly isUnreachable?: boolean;
  /**
   * It lists a success of a task that was started again, and gets no lease until its present one has ended.
   */
  readonly awaitsLapse?: boolean;
  /** Its process has ended, but some of its runs may still begin. */
  readonly hasEnded?: boolean;
  /** Value of `instanceCount` when other instances at its address and under its id were looked for. */
  readonly comparedCount?: number;
  /** Stop orders of the unwanted runs that the worker lists, by run. */
  readonly unwantedStops?: Map<string, UnwantedStop>;
}

/** Sizes of the running tasks, as of some time. */
export interface RunningSizes {
  readonly groups: readonly TaskGroup[];
  readonly atMs: number;
}

/** The load of a worker, with what it was computed from. */
export interface KnownLoad {
  readonly report: WorkerReport;
  readonly runs: Map<string, RunView>;
  readonly orphans: Map<string, OrphanRun>;
  readonly load: WorkerLoad;
  /** A suspect is tried here, so nothing else may begin. */
  readonly hasTrial: boolean;
  /** Number of the first placement pass with this load. */
  readonly sincePass: number;
}

/** Loads of the usable workers by key, as of the last placement. */
export type KnownLoads = Map<string, KnownLoad>;

/** A stored claim that waits for the next connection of its agent. */
export interface HeldStart {
  readonly workerKey: string;
  readonly attempt: number;
  /** Time at which the claim is given back. */
  readonly untilMs: number;
}

/** A lasting task that does not work. */
export interface Absence {
  readonly sinceMs: number;
  readonly loggedAtMs?: number;
}

/** The last search for a filling stage that found too few workers. */
export interface FailedSearch {
  readonly passNumber: number;
  /** When the first of the searches failed since which none has found enough. */
  readonly sinceMs: number;
  /** When all workers were looked at. */
  readonly fullAtMs: number;
}
