/** Treatment of the bytes that go through a proxy. */
export type LinkMode =
  | { readonly kind: 'pass' }
  | { readonly kind: 'delay'; readonly byMs: number }
  /** Bytes arrive in neither direction, and connections are not reset. */
  | { readonly kind: 'silent' }
  /** Bytes arrive in one direction only. */
  | { readonly kind: 'oneWay'; readonly lost: 'requests' | 'answers' }
  /** Connections are reset, new ones too. */
  | { readonly kind: 'reset' }
  /** Connections are reset, and nothing listens, so that new ones are refused. */
  | { readonly kind: 'refuse' };

/** Hops between programs, callers, workers and the store, named by who connects to whom. */
export const HOPS = [
  'callerEntry',
  'entryEntry',
  'agentEntry',
  'agentWorker',
  'workerAgent',
  'entryStore',
  'agentStore',
] as const;

/** A hop on which a proxy sits. */
export type Hop = (typeof HOPS)[number];

/** What a fault strikes: one part by index, modulo their number; those of a failure domain, by index; all. */
export type Scope =
  | { readonly kind: 'one'; readonly index: number }
  | { readonly kind: 'domain'; readonly index: number }
  | { readonly kind: 'all' };

/** What another writer says of a live worker. */
export type OddMessages = 'draining' | 'leave' | 'announcedLeave';

/** A fault that the soak injects. Programs and workers are chosen by index, modulo their number. */
export type Fault =
  | { readonly kind: 'kill'; readonly program: number; readonly forMs: number }
  | { readonly kind: 'killAll'; readonly forMs: number }
  | { readonly kind: 'terminate'; readonly program: number; readonly forMs: number }
  | { readonly kind: 'pause'; readonly program: number; readonly forMs: number }
  | { readonly kind: 'reload'; readonly program: number }
  /** Programs get a share of a processor: they are stopped and continued by turns. */
  | {
      readonly kind: 'slowProcessor';
      readonly scope: Scope;
      readonly percent: number;
      readonly forMs: number;
    }
  | {
      readonly kind: 'link';
      readonly hop: Hop;
      readonly scope: Scope;
      readonly mode: LinkMode;
      readonly forMs: number;
    }
  | { readonly kind: 'storeDown'; readonly forMs: number }
  | { readonly kind: 'storeSlow'; readonly byMs: number; readonly forMs: number }
  | { readonly kind: 'storeLosesAnswers'; readonly forMs: number }
  | { readonly kind: 'storeWritesLate'; readonly byMs: number; readonly forMs: number }
  | { readonly kind: 'storeForgets' }
  | { readonly kind: 'workerCrash'; readonly worker: number }
  | { readonly kind: 'ordersLate'; readonly worker: number; readonly forMs: number }
  | {
      readonly kind: 'oddMessages';
      readonly worker: number;
      readonly messages: OddMessages;
      readonly forMs: number;
    }
  | { readonly kind: 'configure' };

/** A fault and its time, counted from the start of the faults. */
export interface PlannedFault {
  readonly atMs: number;
  readonly fault: Fault;
}

/** An observation of a caller, a worker or a program. Times are in ms of one clock. */
export type SoakObservation =
  /** A program ended although nobody had stopped it. `output` is the end of what it printed. */
  | {
      readonly kind: 'exited';
      readonly atMs: number;
      readonly program: string;
      readonly output: string;
    }
  | {
      readonly kind: 'submitted';
      readonly atMs: number;
      readonly job: string;
      /** Number of tasks of each stage; a stage depends on the one before. */
      readonly stages: readonly number[];
    }
  | { readonly kind: 'accepted'; readonly atMs: number; readonly job: string }
  | { readonly kind: 'refused'; readonly atMs: number; readonly job: string }
  | { readonly kind: 'unknown'; readonly atMs: number; readonly job: string }
  | { readonly kind: 'cancelSent'; readonly atMs: number; readonly job: string }
  /** The cancellation was answered with "no such job". */
  | { readonly kind: 'withdrawn'; readonly atMs: number; readonly job: string }
  | {
      readonly kind: 'shown';
      readonly atMs: number;
      readonly job: string;
      /** State in the answer; `gone` when the entry does not know the job. */
      readonly status: string;
    }
  /** The lease of a worker has ended, with everything that ran there. */
  | { readonly kind: 'leaseLapsed'; readonly atMs: number; readonly worker: string }
  | RunObservation;

/** An observation of one run on a worker. */
export type RunObservation = {
  readonly atMs: number;
  readonly worker: string;
  readonly task: string;
  readonly attempt: number;
} & (
  | {
      readonly kind: 'started';
      /** Time from the arrival of the order to the start; 0 unless the order was carried out late. */
      readonly orderDelayMs: number;
    }
  | { readonly kind: 'stopOrdered' }
  | { readonly kind: 'ended'; readonly end: string }
  /** The agent has acknowledged the end. */
  | { readonly kind: 'endNoted' }
);

/** A violation of a promise to callers. */
export interface PromiseViolation {
  readonly promise:
    'LOST' | 'TWICE' | 'ORDER' | 'REFUSED' | 'MIXED' | 'UNASKED' | 'ENDED' | 'BUDGET';
  readonly atMs: number;
  readonly what: string;
}
