import type { Map, Set as ImmutableSet } from 'immutable';
import type { StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import type { PairEstimates } from '@bronzeyoke/interference';
import type { RowTransaction, RowStoreCall, RowStoreEvent, StoredRow } from '@bronzeyoke/ports';
import type { RunTimes } from '@bronzeyoke/runtimes';
import type { LogEffect } from '@bronzeyoke/telemetry';
import type { Step } from '@bronzeyoke/types';
import type { FleetConfig } from '@bronzeyoke/workflow';
import type { LeaderMessage, RunnerMessage, RunRef, WorkerEnd } from '@bronzeyoke/wire';
import chartFile from '../charts/leadership.json';
import type { AdmissionView } from './admission/view';
import type { InstanceIndex } from './fleet/identities';
import type { Handover, LastOffer } from './leadership/handoverstate';
import type { HolderAnswer, HolderProbe, HolderSign } from './leadership/holderanswer';
import type { SlowPasses } from './leadership/slowpasses';
import type { Evacuations } from './placement/domains';
import type { PassPace } from './placement/passbudget';
import type { PendingWrites, PostCommitAction } from './leadership/pending';
import type { Recovery } from './leadership/recoverychart';
import type { SeenVersion } from './leadership/rowages';
import type { PlaceWait } from './placement/placewait';
import type { Leader, LeaseGrants, LeaseValue } from './leadership/rows';
import type { OrphanTable, RunTable, TaskTable } from './runs';
import type { SchedulingPolicy } from './policy';
import type { EntryCapacity, SchedulerTimes } from './times';
import type {
  Absence,
  FailedSearch,
  HeldJob,
  HeldStart,
  KnownLoads,
  LinkView,
  OpenJob,
  ReleasedRun,
  RunningSizes,
  StoredProgress,
  Suspect,
  UndecodedJob,
  WorkerView,
} from './views';

/** Chart of an entry's leadership. */
export const leadershipChart = compileChart(chartFile, {
  states: [
    'following',
    'claiming',
    'withdrawing',
    'loading',
    'leading',
    'steppingDown',
    'releasing',
    'stopped',
  ],
  events: [
    'leaseFree',
    'claimWon',
    'claimLost',
    'loaded',
    'isolated',
    'deposed',
    'stop',
    'released',
  ],
  actions: ['claim', 'load', 'begin', 'reset', 'resign'],
});

/** State of the leadership chart. */
export type LeadershipPhase = StateOf<typeof leadershipChart>;

/** Address and capacity of this entry, and the times and policy of its scheduler. */
export interface SchedulerSettings {
  readonly entryId: string;
  readonly host: string;
  readonly port: number;
  readonly capacity: EntryCapacity;
  readonly times: SchedulerTimes;
  /** `DEFAULT_POLICY` if absent. */
  readonly policy?: SchedulingPolicy;
  /**
   * Longest time since the evacuated domains were last confirmed at which tasks still start. If absent, tasks
   * start whether or not they were ever read.
   */
  readonly maxEvacuationAgeMs?: number;
}

/** The lease row as this entry last read it. */
export interface SeenLease {
  readonly version: number;
  /** Absent when there is no row. */
  readonly value?: LeaseValue;
  readonly firstSeenAtMs: number;
  /** Time since which polls without a long gap have found this version. */
  readonly sinceMs: number;
  readonly polledAtMs: number;
}

/** Ends of the leases that earlier leaders may have granted. */
export interface EarlierLeases {
  /** When this entry first read the lease row that tells of them; they count from then. */
  readonly rowSeenAtMs: number;
  /** What that row says; absent without a row, or when it describes no leases. */
  readonly grants?: LeaseGrants;
  /** End for every worker that is not in `awaited`. */
  readonly endAtMs: number;
  readonly awaited: Map<string, number>;
}

/** A claim of the lease that was sent and is not settled. */
export interface Claim {
  readonly leader: Leader;
  /** Leader before the claim. */
  readonly previous?: Leader;
  readonly transaction: RowTransaction;
  readonly earlierLeases: EarlierLeases;
  /** What told that the holder had ended. */
  readonly sign: HolderSign['kind'];
  readonly sentAtMs: number;
  /** How long events of an overloaded holder waited that offered the lease. */
  readonly offeredWaitMs?: number;
  /** An attempt without a reply may have taken effect. */
  readonly wasUnknown: boolean;
  readonly retryAtMs?: number;
}

/** A transaction that was sent and is not settled. */
export interface InFlightTransaction {
  readonly callId: string;
  readonly transaction: RowTransaction;
  readonly lease: LeaseValue;
  /** Times that the lease row states; absent if it says that no lease is granted. */
  readonly times?: SchedulerTimes;
  readonly sentAtMs: number;
  readonly firstSentAtMs: number;
  readonly postCommit: readonly PostCommitAction[];
  readonly endedJobs: readonly string[];
  /** Time at which an unsettled transaction is sent again. */
  readonly retryAtMs?: number;
  readonly wasUnknown: boolean;
}

/** Read of a table by a new leader, page by page. `fromKey` is empty on the first page. */
export type TableRead =
  | { readonly kind: 'running'; readonly callId: string; readonly fromKey: string }
  | { readonly kind: 'failed'; readonly retryAtMs: number; readonly fromKey: string }
  | { readonly kind: 'done' };

/** An agent's message that a worker has ended. */
export interface GoneReport extends WorkerEnd {
  readonly linkId: string;
  /** Runs that a later instance may still begin. The worker is gone when there are none. */
  readonly openRuns: readonly RunRef[];
}

/** Number of runs of a lasting task that ended soon after their starts, one after the other. */
export interface QuickEnds {
  readonly count: number;
  readonly lastAtMs: number;
}

/** A withdrawal row as this leader first read its version. */
export interface SeenWithdrawal {
  readonly version: number;
  readonly seenAtMs: number;
}

/** The leader's reads and removals of withdrawal rows. */
export interface WithdrawalState {
  readonly seen: Map<string, SeenWithdrawal>;
  /** When the last read was sent. */
  readonly sentAtMs: number;
  /** Call without a result. */
  readonly callId?: string;
  /** More rows are old enough than a transaction removes, or pages are left to read. */
  readonly isBehind?: boolean;
  /** First key of the next page; absent at the beginning of the table. */
  readonly fromKey?: string;
}

/** Held jobs, and the leader's reads of their progress. */
export interface HeldState {
  readonly jobs: Map<string, HeldJob>;
  /** First job of the next read. */
  readonly fromKey: string;
  readonly isReading: boolean;
  /** When the last read was sent. */
  readonly sentAtMs: number;
}

/** Parts of the store that a new leader has read so far. */
export interface LoadState {
  readonly reads?: Map<string, TableRead>;
  /** Progress on the pages read so far. */
  readonly progress?: Map<string, StoredProgress>;
  readonly jobRows?: readonly StoredRow[];
  /** Messages during the reads that workers are gone. They are confirmed after the load. */
  readonly goneReports?: readonly GoneReport[];
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
  readonly seenLease?: SeenLease;
  /** The last question to the address of the holder. */
  readonly holderProbe?: HolderProbe;
  /** Versions of the lease row that polls have found, the earliest first. */
  readonly seenVersions: readonly SeenVersion[];
  readonly pollCallId?: string;
  readonly pollSentAtMs: number;
  readonly nextReadAtMs: number;
  readonly claim?: Claim;
  readonly claimedAtMs: number;
  /** Time before which this entry leaves a free lease to others. */
  readonly claimPausedUntilMs: number;
  /** Time at which the lease of the last known worker ended; absent once an agent has sent a message. */
  readonly isolatedSinceMs?: number;
  /** Longest wait of events lately, from their arrival until they were handled; 0 without the policy. */
  readonly eventWaitMs: number;
  readonly handover: Handover;
  readonly slowPasses: SlowPasses;
  /** Absent before the first offer. Outlasts the lead. */
  readonly lastOffer?: LastOffer;
  readonly earlierLeases: EarlierLeases;
  /** Workers whose last report has not been answered with a grant. */
  readonly dueGrants: ImmutableSet<string>;
  /** Workers that have not reported to this leader, with the end of their leases. */
  readonly awaited: Map<string, number>;
  /** Awaited workers in the stored lease row. Leases are granted only to others. */
  readonly storedAwaited: ReadonlySet<string>;
  /** Times that the stored lease row states; absent while it says that no lease is granted. */
  readonly storedTimes?: SchedulerTimes;
  /** Time until which leases last that were granted by times that have changed since. */
  readonly formerLeasesEndAtMs: number;
  /** Time until which agents may be granted leases. */
  readonly mayGrantUntilMs: number;
  readonly loading: LoadState;
  readonly config?: FleetConfig;
  readonly evacuations: Evacuations;
  /** Since when placement has waited for the evacuated domains; absent while it does not. */
  readonly placementHeldSinceMs?: number;
  readonly jobs: Map<string, OpenJob>;
  readonly held: HeldState;
  /** Jobs whose definitions cannot be decoded. */
  readonly undecoded: Map<string, UndecodedJob>;
  /** Progress that this leader has read of jobs that it has not opened. Nobody else writes any. */
  readonly unopened: Map<string, StoredProgress>;
  /** Ended jobs whose outcome is still stored, with the wall-clock time of their end. */
  readonly ended: Map<string, number>;
  /** When this leader stored the ends of those jobs that ended under it, on its steady clock. */
  readonly endStoredAtMs: Map<string, number>;
  readonly workers: Map<string, WorkerView>;
  /** The same instances by id and address. */
  readonly instances: InstanceIndex;
  /** Instances that have reported to this leader, those that have ended included. */
  readonly instanceCount: number;
  readonly runs: RunTable;
  /** Learned by this leader, if its policy says so. */
  readonly runTimes: RunTimes;
  readonly orphans: OrphanTable;
  /** Runs that were released lately, by task and attempt. */
  readonly released: Map<string, ReleasedRun>;
  /** When the late ends of runs were logged, by task and attempt. */
  readonly lateEnds: Map<string, number>;
  /** Loads of the usable workers, as of the last placement. */
  readonly loads: KnownLoads;
  /** Sizes of the running tasks, if the policy looks ahead. */
  readonly runningSizes?: RunningSizes;
  readonly passCount: number;
  /** Claims of lasting tasks at their former addresses. */
  readonly restoredCount: number;
  readonly lastPassAtMs: number;
  /** Time before which no pass begins, so that other events are handled after a long one. */
  readonly passPausedUntilMs: number;
  /** Work of the last pass, and the pace of the passes so far. */
  readonly passWork: number;
  readonly passPace: PassPace;
  /** Since when passes have left all others to later ones for lasting tasks; infinite if they do not. */
  readonly othersHeldSinceMs: number;
  /** Pass that first left a stage to a later one, by `searchKey`. */
  readonly leftOut: Map<string, number>;
  /** Filling stages that found too few workers, by `searchKey`. */
  readonly failedSearches: Map<string, FailedSearch>;
  /** Time before which a task is not placed again, by task. */
  readonly backOff: Map<string, number>;
  /** Ends of lasting tasks soon after their starts, one after the other, by task. */
  readonly quickEnds: Map<string, QuickEnds>;
  /** Since when a stage without filling tasks has found too few workers, by `searchKey`. */
  readonly unplacedSince: Map<string, number>;
  /** Last pass in which no worker could keep room for such a stage in its turn, by `searchKey`. */
  readonly missedTurns: Map<string, number>;
  /** Tasks that are taken to crash workers, by task; those of ended jobs until the next placement. */
  readonly suspects: Map<string, Suspect>;
  /** Waits of tasks for which room is kept, by task. */
  readonly waits: Map<string, PlaceWait>;
  /** Lasting tasks that do not work, as of the last look at them. */
  readonly absences: Map<string, Absence>;
  /** Time of the last line about each worker that gets no tasks because a run ignores its stop orders. */
  readonly blockedLoggedAtMs: Map<string, number>;
  /** Time of the last look at absences and blocked workers. */
  readonly lookedAtMs: number;
  /** Time of the next placement without another cause. */
  readonly placeAgainAtMs: number;
  /** Stored claims whose agents had no connection. */
  readonly heldStarts: TaskTable<HeldStart>;
  readonly links: Map<string, LinkView>;
  readonly linksOpened: number;
  readonly pairs: PairEstimates;
  readonly pairsSavedAtMs: number;
  readonly arePairsDirty: boolean;
  readonly pendingWrites: PendingWrites;
  readonly inFlight?: InFlightTransaction;
  readonly needsPlacement: boolean;
  /** How far a new leader has come on its way to normal service. */
  readonly recovery: Recovery;
  readonly writtenCounts: string;
  readonly countsWrittenAtMs: number;
  readonly renewAtMs: number;
  readonly withdrawals: WithdrawalState;
  /** What the leader has seen of the room and decided on queues. */
  readonly admission: AdmissionView;
}

/** Inputs of the scheduler. */
export type SchedulerEvent =
  | { readonly kind: 'tick'; readonly wallMs: number }
  /** Tells how long the last placement pass took. */
  | { readonly kind: 'passTook'; readonly durationMs: number }
  /** Tells how long events have waited at most in a short window. */
  | { readonly kind: 'loadMeasured'; readonly waitMs: number }
  /** The time of day and the steady clock have advanced by different amounts since the last event. */
  | { readonly kind: 'clockGap'; readonly gapMs: number }
  | { readonly kind: 'configChanged'; readonly config: FleetConfig }
  | { readonly kind: 'timesChanged'; readonly times: SchedulerTimes }
  /** The failure domains that operators evacuate, as the store held them `ageMs` ago. */
  | {
      readonly kind: 'domainsOut';
      readonly domains: ReadonlySet<string>;
      readonly ageMs: number;
    }
  | { readonly kind: 'leaderRow'; readonly row: StoredRow | undefined }
  | {
      readonly kind: 'holderAnswered';
      readonly version: number;
      readonly answer: HolderAnswer;
    }
  | {
      readonly kind: 'jobRows';
      readonly isFull: boolean;
      readonly rows: readonly StoredRow[];
      readonly wallMs: number;
    }
  | RowStoreEvent
  | { readonly kind: 'linkOpened'; readonly linkId: string }
  | {
      readonly kind: 'received';
      readonly linkId: string;
      readonly message: RunnerMessage;
      readonly wallMs: number;
    }
  | { readonly kind: 'linkClosed'; readonly linkId: string }
  | { readonly kind: 'stop' };

/** Actions that the scheduler requests from its shell. */
export type SchedulerEffect =
  | RowStoreCall
  /** Starts or ends the feed of jobs. */
  | { readonly kind: 'followJobs'; readonly isOn: boolean }
  | { readonly kind: 'send'; readonly linkId: string; readonly message: LeaderMessage }
  /** Connects to the address of the holder of a version of the lease row, to learn whether it listens. */
  | {
      readonly kind: 'askHolder';
      readonly host: string;
      readonly port: number;
      readonly version: number;
    }
  /** Notifies the previous leader that another entry leads. */
  | {
      readonly kind: 'notifyEntry';
      readonly host: string;
      readonly port: number;
      readonly leader: Leader;
    }
  | LogEffect;

/** State and effects of a part of a step. */
export type SchedulerStep = Step<SchedulerState, SchedulerEffect>;

/** Returns the reference to a run that messages carry. */
export function runRef(task: string, attempt: number): RunRef {
  return { task, attempt };
}
