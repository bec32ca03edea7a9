const FAILURES_TO_QUARANTINE = 3;
const FIRST_PROBE_DELAY_MS = 30_000;
const MAX_PROBE_DELAY_MS = 1_800_000;

/** A failure of a task on a worker. */
export interface TaskFailure {
  readonly workKind: string;
  /** Whether work of this kind has succeeded on some worker. */
  readonly succeedsElsewhere: boolean;
}

/** Health of a worker, as recorded by the owner of a shard. */
export interface WorkerHealth {
  /** Failures since the last success. */
  readonly failures: readonly TaskFailure[];
  /** Set while the worker is quarantined. */
  readonly quarantine?: {
    readonly probeAtMs: number;
    readonly delayMs: number;
    readonly isProbing: boolean;
  };
}

/** Health of a worker without recorded failures. */
export const HEALTHY: WorkerHealth = { failures: [] };

/** Returns whether the worker is at fault: it fails what succeeds elsewhere, or several kinds. */
function isWorkerAtFault(failures: readonly TaskFailure[]): boolean {
  const kinds = new Set(failures.map((failure) => failure.workKind));
  return (
    failures.length >= FAILURES_TO_QUARANTINE &&
    (kinds.size > 1 || failures.every((failure) => failure.succeedsElsewhere))
  );
}

/** Records a failure, and starts or extends the quarantine of the worker. */
export function countFailure(
  health: WorkerHealth,
  failed: TaskFailure,
  nowMs: number,
): WorkerHealth {
  const failures = [...health.failures, failed].slice(-FAILURES_TO_QUARANTINE);
  const { quarantine } = health;
  if (quarantine !== undefined) {
    const delayMs = Math.min(MAX_PROBE_DELAY_MS, quarantine.delayMs * 2);
    return { failures, quarantine: { probeAtMs: nowMs + delayMs, delayMs, isProbing: false } };
  }
  if (!isWorkerAtFault(failures)) return { failures };
  const delayMs = FIRST_PROBE_DELAY_MS;
  return { failures, quarantine: { probeAtMs: nowMs + delayMs, delayMs, isProbing: false } };
}

/** Returns whether the worker may get an offer; in quarantine it gets one probe task at a time. */
export function mayOffer(health: WorkerHealth, nowMs: number): boolean {
  const { quarantine } = health;
  return quarantine === undefined || (!quarantine.isProbing && nowMs >= quarantine.probeAtMs);
}

/** Marks the worker as probed, so that it gets no other task meanwhile. */
export function startProbe(health: WorkerHealth): WorkerHealth {
  return health.quarantine === undefined
    ? health
    : { ...health, quarantine: { ...health.quarantine, isProbing: true } };
}

/** Clears the mark of a probe that did not run. */
export function endProbe(health: WorkerHealth): WorkerHealth {
  return health.quarantine === undefined
    ? health
    : { ...health, quarantine: { ...health.quarantine, isProbing: false } };
}
