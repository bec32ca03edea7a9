/** A run of a task, as its worker saw it. Times are those of one observer. */
export interface RecordedRun {
  readonly task: string;
  readonly attempt: number;
  /** Instance of the worker. */
  readonly worker: string;
  /** The worker carried the order out after its sender had given up on the call. */
  readonly isOrderLate: boolean;
  readonly fromMs: number;
  /** Time of the end; infinite while the run goes on. */
  readonly untilMs: number;
  readonly end: string;
  /** Time at which the worker got the acknowledgement of the end; absent without one. */
  readonly notedAtMs?: number;
}

/** A lease of a worker instance that has ended, with everything that ran there. */
export interface LeaseLapse {
  readonly worker: string;
  readonly atMs: number;
}

/** What a start after a success of its task means. */
export type RepeatKind =
  /** The success counts, so the start breaks the promise that a task runs to its end once. */
  | 'counted'
  /** The lease of the worker ended before the acknowledgement, so the success never counts. */
  | 'lapsed'
  /** The success is not acknowledged yet. It counts once it is, unless the lease ends before. */
  | 'unnoted'
  /** The acknowledgement came just before the start, or before a start from a late order. */
  | 'justNoted';

/** A start of a task after a run of it that has succeeded. */
export interface RepeatedTask<Run extends RecordedRun = RecordedRun> {
  readonly kind: RepeatKind;
  readonly earlier: Run;
  readonly later: Run;
}
