import { chainAll, unchanged } from '@bronzeyoke/types';
import { isLeaseWithheld } from './blocked';
import { reportIntervalMs } from '../leadership/budget';
import { isBusy } from '../leadership/handover';
import { isAwaited, leaseEndMs } from './leases';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import type { WorkerView } from '../views';

/** Share of a lease that is granted on the worker's clock, which may be 2% slow. */
const CLOCK_SHARE = 0.98;

/**
 * Grants the lease for the last clock value that a worker has reported, unless the store does not know
 * yet that this leader may grant it. The lease counts from the arrival of the value, which is later
 * than the moment at which the worker read it.
 */
export function grantIfAllowed(
  state: SchedulerState,
  workerKey: string,
  nowMs: number,
): SchedulerStep {
  const view = state.workers.get(workerKey);
  const isDue = state.dueGrants.has(workerKey);
  const mayGrant =
    isDue &&
    nowMs < state.mayGrantUntilMs &&
    !isAwaited(state, workerKey) &&
    !isLeaseWithheld(state, workerKey, nowMs);
  if (view?.reportedAtMs === undefined || view.linkId === undefined || !mayGrant) {
    return unchanged(state);
  }
  const times = state.storedTimes ?? state.settings.times;
  const grantEndAtMs = view.reportedAtMs + leaseEndMs(times);
  const grant = {
    expiresAtMs: grantEndAtMs,
    leaseFrom: { kind: 'grant', baseAtMs: view.reportedAtMs },
  } as const;
  const granted: WorkerView = { ...view, ...(grantEndAtMs > view.expiresAtMs ? grant : {}) };
  const message = {
    kind: 'grant',
    workerKey,
    leaseUntilClockMs: Math.floor(view.clockMs + times.agentLeaseMs * CLOCK_SHARE),
    reportIntervalMs: reportIntervalMs(state.settings.capacity, state.workers.size, isBusy(state)),
  } as const;
  return withEffects(
    {
      ...state,
      workers: state.workers.set(workerKey, granted),
      dueGrants: state.dueGrants.delete(workerKey),
    },
    [{ kind: 'send', linkId: view.linkId, message }],
  );
}

/** Grants the leases that waited for a row of the lease to be stored. */
export function grantDueLeases(state: SchedulerState, nowMs: number): SchedulerStep {
  return chainAll(
    state,
    [...state.dueGrants].map(
      (workerKey) => (current: SchedulerState) => grantIfAllowed(current, workerKey, nowMs),
    ),
  );
}
