import { Map } from 'immutable';
import type { Resources, Result } from '@bronzeyoke/types';
import {
  NO_RESOURCES,
  addResources,
  fail,
  fitsIn,
  subtractResources,
  succeed,
} from '@bronzeyoke/types';

/** Total and committed resources of a worker. Only the agent of the worker keeps a ledger. */
export interface Ledger {
  readonly total: Resources;
  /** Resources reserved for the service, with priority over batch work. */
  readonly service: Resources;
  /** Resources of tasks, by reservation key. */
  readonly tasks: Map<string, Resources>;
  /** Sum of `tasks`. */
  readonly committed: Resources;
}

/** Reason for which the ledger refuses to commit an amount. */
export type LedgerRefusal =
  | { readonly kind: 'noRoom'; readonly free: Resources }
  | { readonly kind: 'alreadyReserved' }
  | { readonly kind: 'invalidAmount' };

/** Creates a ledger without commitments. */
export function createLedger(total: Resources): Ledger {
  return { total, service: NO_RESOURCES, tasks: Map(), committed: NO_RESOURCES };
}

function amounts(resources: Resources): readonly number[] {
  return [resources.processorsMilli, resources.memoryMb, resources.accelerators];
}

function pairwise(
  left: Resources,
  right: Resources,
  combine: (leftAmount: number, rightAmount: number) => number,
): Resources {
  return {
    processorsMilli: combine(left.processorsMilli, right.processorsMilli),
    memoryMb: combine(left.memoryMb, right.memoryMb),
    accelerators: combine(left.accelerators, right.accelerators),
  };
}

/** Returns the resources that the service has now: its reservation, limited by what tasks leave. */
export function serviceGrant(ledger: Ledger): Resources {
  return pairwise(ledger.service, subtractResources(ledger.total, ledger.committed), Math.min);
}

/** Returns the part of the service's reservation that running tasks still occupy. */
export function shortfall(ledger: Ledger): Resources {
  return subtractResources(ledger.service, serviceGrant(ledger));
}

/** Returns the resources available to a further task. */
export function freeResources(ledger: Ledger): Resources {
  const left = subtractResources(subtractResources(ledger.total, ledger.service), ledger.committed);
  return pairwise(left, NO_RESOURCES, Math.max);
}

/** Returns whether a further task of this size fits. */
export function fits(ledger: Ledger, amount: Resources): boolean {
  return fitsIn(amount, freeResources(ledger));
}

function commit(
  ledger: Ledger,
  key: string,
  amount: Resources,
  available: Resources,
): Result<Ledger, LedgerRefusal> {
  if (!amounts(amount).every((part) => Number.isFinite(part) && part >= 0)) {
    return fail({ kind: 'invalidAmount' });
  }
  if (ledger.tasks.has(key)) return fail({ kind: 'alreadyReserved' });
  if (!fitsIn(amount, available)) return fail({ kind: 'noRoom', free: freeResources(ledger) });
  return succeed({
    ...ledger,
    tasks: ledger.tasks.set(key, amount),
    committed: addResources(ledger.committed, amount),
  });
}

/** Commits resources to a task; the service's reservation is not available to it. */
export function reserve(
  ledger: Ledger,
  key: string,
  amount: Resources,
): Result<Ledger, LedgerRefusal> {
  return commit(ledger, key, amount, freeResources(ledger));
}

/**
 * Commits resources to a task that already runs when an agent restarts. The service's reservation is
 * ignored because the task already uses the resources; a shortfall of the service is resolved by
 * eviction.
 */
export function adopt(
  ledger: Ledger,
  key: string,
  amount: Resources,
): Result<Ledger, LedgerRefusal> {
  return commit(ledger, key, amount, subtractResources(ledger.total, ledger.committed));
}

/** Releases a reservation; ignores an unknown key. */
export function release(ledger: Ledger, key: string): Ledger {
  if (!ledger.tasks.has(key)) return ledger;
  const tasks = ledger.tasks.delete(key);
  // Recomputes the sum: adding and subtracting fractions in another order leaves a remainder.
  const committed = tasks.valueSeq().reduce(addResources, NO_RESOURCES);
  return { ...ledger, tasks, committed };
}

/** Sets the reservation of the service, limited to the total. */
export function setService(ledger: Ledger, service: Resources): Ledger {
  return { ...ledger, service: pairwise(service, ledger.total, Math.min) };
}
