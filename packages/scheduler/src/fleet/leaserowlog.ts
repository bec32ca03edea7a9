import type { EventFields } from '@bronzeyoke/telemetry';
import type { Map } from 'immutable';
import type { Claim, EarlierLeases } from '../types';
import type { LeaseBasis, WorkerView } from '../views';

/** Returns what a lease row says about leases that workers may hold, for a log line. */
function describedFields({ grants }: EarlierLeases): EventFields {
  if (grants === undefined) return { isDescribed: false };
  const { earlierEndMs, lastEndMs, awaitedEndMs, longEndMs = {} } = grants;
  return {
    isDescribed: true,
    earlierEndMs,
    lastEndMs,
    awaited: Object.keys(awaitedEndMs).length,
    long: Object.keys(longEndMs).length,
    longestEndMs: Math.max(
      earlierEndMs,
      lastEndMs,
      ...Object.values(awaitedEndMs),
      ...Object.values(longEndMs),
    ),
  };
}

/**
 * Returns how long a claim took, how long its entry had known the lease row by then, and what the row
 * says. The times in the row count from `rowAgeMs` before the claim was sent.
 */
export function claimFields(claim: Claim, nowMs: number): EventFields {
  const { earlierLeases, sentAtMs, sign, wasUnknown } = claim;
  return {
    settledAfterMs: Math.round(nowMs - sentAtMs),
    wasUnknown,
    ...(sign === 'unknown' ? {} : { sign }),
    // No earlier leader has granted a lease when there is no row.
    ...(earlierLeases.rowSeenAtMs === 0
      ? {}
      : {
          rowAgeMs: Math.round(sentAtMs - earlierLeases.rowSeenAtMs),
          ...describedFields(earlierLeases),
        }),
  };
}

/** Returns the number of workers whose lease end has a basis. */
function countOf(workers: Map<string, WorkerView>, kind: LeaseBasis['kind']): number {
  return workers.count(({ leaseFrom }) => leaseFrom.kind === kind);
}

/** Returns from what the ends of the leases of unheard workers were derived, and when the general one is. */
export function awaitedFields(
  { endAtMs }: EarlierLeases,
  unheard: Map<string, WorkerView>,
  nowMs: number,
): EventFields {
  return {
    rowAwaited: countOf(unheard, 'rowAwaited'),
    rowLong: countOf(unheard, 'rowLong'),
    rowGeneral: countOf(unheard, 'rowGeneral'),
    generalEndMs: Math.max(0, Math.round(endAtMs - nowMs)),
  };
}
