const FAILURES_TO_QUARANTINE = 3;
const FIRST_PROBE_DELAY_MS = 30_000;
const MAX_PROBE_DELAY_MS = 1_800_000;

/** A failure of a task on a worker. */
export interface TaskFailure {
  readonly workKind: string;
  /** Whether work of this kind has succeeded on some worker. */
  readonly succeedsElsewhere: boolean;
}

/** What an owner knows of the health of a worker. */
export interface HealthState {
  /** Failures since the last success. */
  readonly failures: readonly TaskFailure[];
  /** Set while the worker is quarantined. */
  readonly quarantine?: {
    readonly probeAtMs: number;
    readonly delayMs: number;
    readonly isProbing: boolean;
  };
}

/** A worker of which nothing bad is known. */
export const HEALTHY: HealthState = { failures: [] };

/** Whether the worker is to blame: it fails what succeeds elsewhere, or work of several kinds. */
function isWorkerAtFault(failures: readonly TaskFailure[]): boolean {
  const kinds = new Set(failures.map((failure) => failure.workKind));
  return (
    failures.length >= FAILURES_TO_QUARANTINE &&
    (kinds.size > 1 || failures.every((failure) => failure.succeedsElsewhere))
  );
}

/** Takes a failure into account. */
export function countFailure(health: HealthState, failed: TaskFailure, nowMs: number): HealthState {
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

/** Whether a task may be offered to the worker. A quarantined one gets one task at a time as a probe. */
export function mayOffer(health: HealthState, nowMs: number): boolean {
  const { quarantine } = health;
  return quarantine === undefined || (!quarantine.isProbing && nowMs >= quarantine.probeAtMs);
}

/** Marks the probe that is on its way. */
export function startProbe(health: HealthState): HealthState {
  return health.quarantine === undefined
    ? health
    : { ...health, quarantine: { ...health.quarantine, isProbing: true } };
}

/** Takes back a probe that did not run. */
export function endProbe(health: HealthState): HealthState {
  return health.quarantine === undefined
    ? health
    : { ...health, quarantine: { ...health.quarantine, isProbing: false } };
}
