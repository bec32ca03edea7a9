import type { EventFields } from '@bronzeyoke/telemetry';
import { isYoungInstance } from './leases';
import type { SchedulerTimes } from '../times';
import type { EarlierLeases } from '../types';
import type { LeaseBasis } from '../views';

/** Returns the basis of the lease of a worker that no report has told of. */
export function rowLeaseBasis(
  { grants, rowSeenAtMs: baseAtMs }: EarlierLeases,
  workerKey: string,
): LeaseBasis {
  if (grants?.longEndMs?.[workerKey] !== undefined) return { kind: 'rowLong', baseAtMs };
  if (grants?.awaitedEndMs[workerKey] !== undefined) return { kind: 'rowAwaited', baseAtMs };
  return { kind: 'rowGeneral', baseAtMs };
}

/** Returns the basis of the lease of a worker that reports for the first time. */
export function firstLeaseBasis(
  times: SchedulerTimes,
  bornAtMs: number,
  nowMs: number,
  wallMs: number,
): LeaseBasis {
  const isYoung = isYoungInstance(times, bornAtMs, wallMs);
  return { kind: isYoung ? 'youngInstance' : 'report', baseAtMs: nowMs };
}

/** Returns what the end of a lease was derived from, and how long ago that was, for a log line. */
export function leaseBasisFields({ kind, baseAtMs }: LeaseBasis, nowMs: number): EventFields {
  return { leaseFrom: kind, leaseBaseAgoMs: Math.round(nowMs - baseAtMs) };
}
