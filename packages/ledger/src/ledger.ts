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

/** What a worker has and what of it is committed. Only the agent beside the worker has one. */
export interface Ledger {
  readonly total: Resources;
  /** What the service is to have; it goes before batch. */
  readonly service: Resources;
  /** What tasks have, by the key of the reservation. */
  readonly tasks: Map<string, Resources>;
  /** Sum of `tasks`. */
  readonly committed: Resources;
}

/** Why the ledger does not commit an amount. */
export type LedgerRefusal =
  | { readonly kind: 'noRoom'; readonly free: Resources }
  | { readonly kind: 'alreadyReserved' }
  | { readonly kind: 'invalidAmount' };

/** A ledger in which nothing is committed. */
export function createLedger(total: Resources): Ledger {
  return { total, service: NO_RESOURCES, tasks: Map(), committed: NO_RESOURCES };
}

function amounts(resources: Resources): readonly number[] {
  return [resources.processorsMilli, resources.memoryMb, resources.accelerators];
}

function pairwise(
  left: Resources,
  right: Resources,
  pick: (one: number, other: number) => number,
): Resources {
  return {
    processorsMilli: pick(left.processorsMilli, right.processorsMilli),
    memoryMb: pick(left.memoryMb, right.memoryMb),
    accelerators: pick(left.accelerators, right.accelerators),
  };
}

/** What the service has now: what it is to have, as far as running tasks leave it. */
export function serviceGrant(ledger: Ledger): Resources {
  return pairwise(ledger.service, subtractResources(ledger.total, ledger.committed), Math.min);
}

/** What the service lacks until tasks release it. */
export function shortfall(ledger: Ledger): Resources {
  return subtractResources(ledger.service, serviceGrant(ledger));
}

/** What a further task can have. */
export function freeResources(ledger: Ledger): Resources {
  const left = subtractResources(subtractResources(ledger.total, ledger.service), ledger.committed);
  return pairwise(left, NO_RESOURCES, Math.max);
}

/** Whether a further task of this size has room. */
export function fits(ledger: Ledger, wanted: Resources): boolean {
  return fitsIn(wanted, freeResources(ledger));
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

/** Commits resources to a task, after the service's part. */
export function reserve(
  ledger: Ledger,
  key: string,
  amount: Resources,
): Result<Ledger, LedgerRefusal> {
  return commit(ledger, key, amount, freeResources(ledger));
}

/**
 * Commits resources to a task that already runs, as a restarted agent finds it. The service's part
 * does not refuse it: the task has the resources, and a shortfall of the service is made up for by
 * eviction.
 */
export function adopt(
  ledger: Ledger,
  key: string,
  amount: Resources,
): Result<Ledger, LedgerRefusal> {
  return commit(ledger, key, amount, subtractResources(ledger.total, ledger.committed));
}

/** Gives back what a reservation has; an unknown key changes nothing. */
export function release(ledger: Ledger, key: string): Ledger {
  if (!ledger.tasks.has(key)) return ledger;
  const tasks = ledger.tasks.delete(key);
  // Summed anew: fractions that are added and subtracted in another order leave a remainder.
  const committed = tasks.valueSeq().reduce(addResources, NO_RESOURCES);
  return { ...ledger, tasks, committed };
}

/** Sets what the service is to have, at most the total. */
export function setService(ledger: Ledger, service: Resources): Ledger {
  return { ...ledger, service: pairwise(service, ledger.total, Math.min) };
}
