import type { Map } from 'immutable';
import type { StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import type { Resources } from '@bronzeyoke/types';
import chartFile from '../charts/verdict.json';

/** Chart of what a queue may submit. */
export const verdictChart = compileChart(chartFile, {
  states: ['open', 'limited', 'closed'],
  events: ['ample', 'scarce', 'exhausted'],
  actions: [],
});

/** State of the verdict chart. */
export type VerdictPhase = StateOf<typeof verdictChart>;

/** What a job takes: a place for good, reserved room for a time, or what other tasks leave idle. */
export type JobKind = 'lasting' | 'reserving' | 'filling';

/** Kinds of jobs that end by themselves. */
export type WorkKind = Exclude<JobKind, 'lasting'>;

/** The jobs of one queue that end, as a competitor for the work that its pool does. */
export interface WorkDemand {
  readonly queue: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly weight: number;
  /** Declared work of its open jobs that is not done, in core-milliseconds. */
  readonly backlogCoreMs: number;
  /** Declared work that arrives, in core-milliseconds a millisecond. */
  readonly arrivalCores: number;
  /** Time from its acceptance within which a job of this queue has to start to be worth anything. */
  readonly horizonMs: number;
}

/** The lasting jobs of one queue. */
export interface LastingDemand {
  readonly queue: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly weight: number;
  /** Needs of all tasks of its open jobs, placed or not. */
  readonly reserved: Resources;
}

/** The jobs of one kind in one service, which compete for the same room. */
export type PoolOutlook =
  | {
      readonly kind: WorkKind;
      readonly service: string;
      /** Work that is done, in core-milliseconds a millisecond; absent while it is not known. */
      readonly rateCores?: number;
      readonly queues: readonly WorkDemand[];
    }
  | {
      readonly kind: 'lasting';
      readonly service: string;
      readonly room: Resources;
      /** Room without the failure domain that holds most; absent with a single domain. */
      readonly roomAfterLoss?: Resources;
      readonly queues: readonly LastingDemand[];
    };

/** The room of all services and who competes for it. */
export type RoomOutlook = readonly PoolOutlook[];

/** What a queue's jobs of one kind may take beyond what is accepted. */
export type Allowance =
  | { readonly kind: 'work'; readonly coreMs: number }
  | { readonly kind: 'room'; readonly resources: Resources };

/** What is to be done with the submissions of one kind to one queue. */
export type Verdict =
  | { readonly kind: 'acceptAll' }
  | { readonly kind: 'limit'; readonly allowance: Allowance; readonly retryAfterMs: number }
  | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** The verdict on one kind of job of a queue. */
export interface QueueVerdict {
  readonly queue: string;
  readonly jobKind: JobKind;
  readonly verdict: Verdict;
}

/** What the leader knows of one kind of job of a queue from one look to the next. */
export interface QueuePhase {
  readonly phase: VerdictPhase;
  /** Since when it is not open. */
  readonly sinceMs: number;
}

/** State of the leader's decisions, by `verdictKey`. */
export interface AdmissionState {
  readonly phases: Map<string, QueuePhase>;
}

/** Returns the key of the verdict on one kind of job of a queue. */
export function verdictKey(queue: string, jobKind: JobKind): string {
  return `${jobKind} ${queue}`;
}
