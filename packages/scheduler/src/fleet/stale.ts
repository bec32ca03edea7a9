import type { Report } from '@bronzeyoke/wire';
import { isHeard } from './leases';
import type { SchedulerState } from '../types';

/** Why a report tells nothing. */
export type StaleReason =
  /** Its agent has reported on a newer connection. */
  | 'overtaken'
  /** The worker made its list before one that was handled. */
  | 'olderList';

/**
 * Returns whether an agent has reported on a newer connection. After a partition the network may
 * deliver delayed reports of the old one, which lack the orders and runs since then.
 */
function isFromOldLink(state: SchedulerState, workerKey: string, linkId: string): boolean {
  const newest = state.workers.get(workerKey)?.linkNumber ?? -1;
  return (state.links.get(linkId)?.number ?? -1) < newest;
}

/**
 * Returns whether the worker made the list of a report before one that was handled. Two agents may call
 * one worker for a while, and the older list lacks the runs that began since.
 */
function isOlderList({ workers }: SchedulerState, { workerKey, clockMs }: Report): boolean {
  return clockMs < (workers.get(workerKey)?.clockMs ?? -1);
}

/** Returns why a report tells nothing; undefined if it does. */
export function staleReason(
  state: SchedulerState,
  linkId: string,
  report: Report,
): StaleReason | undefined {
  if (isFromOldLink(state, report.workerKey, linkId)) return 'overtaken';
  return isOlderList(state, report) ? 'olderList' : undefined;
}

/**
 * Returns whether a worker has just been reported on another open connection than a message about its end.
 * An agent that has lost its way to a worker which another one serves counts the end of a lease that the
 * other one goes on renewing. A message on an earlier connection of the same agent may be older than the
 * report on its newer one.
 */
export function isServedElsewhere(
  { workers }: SchedulerState,
  { linkId, workerKey }: { readonly linkId: string; readonly workerKey: string },
  nowMs: number,
): boolean {
  const view = workers.get(workerKey);
  return view?.linkId !== linkId && isHeard(view, nowMs);
}
