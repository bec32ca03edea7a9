import { Map, Set as ImmutableSet } from 'immutable';
import type { WorkerView } from '../views';

/** Keys of worker instances by id and by address. Agents' reports and, until then, claims tell them. */
export interface InstanceIndex {
  readonly byId: Map<string, ImmutableSet<string>>;
  readonly byAddress: Map<string, ImmutableSet<string>>;
}

type KeySets = InstanceIndex['byId'];

const NO_KEYS: ImmutableSet<string> = ImmutableSet();

/** An index without instances. */
export const NO_INSTANCES: InstanceIndex = { byId: Map(), byAddress: Map() };

function idOf({ report, workerKey }: WorkerView): string {
  return report?.id ?? workerKey.slice(0, workerKey.lastIndexOf('@'));
}

/** Returns the address of a worker, which its claim tells until it has reported. */
export function addressOf({ report, claimedAddress }: WorkerView): string | undefined {
  return report?.address ?? claimedAddress;
}

function addKey(sets: KeySets, name: string | undefined, workerKey: string): KeySets {
  if (name === undefined) return sets;
  return sets.set(name, sets.get(name, NO_KEYS).add(workerKey));
}

function dropKey(sets: KeySets, name: string | undefined, workerKey: string): KeySets {
  if (name === undefined) return sets;
  const rest = sets.get(name, NO_KEYS).delete(workerKey);
  return rest.isEmpty() ? sets.delete(name) : sets.set(name, rest);
}

function addInstance({ byId, byAddress }: InstanceIndex, view: WorkerView): InstanceIndex {
  return {
    byId: addKey(byId, idOf(view), view.workerKey),
    byAddress: addKey(byAddress, addressOf(view), view.workerKey),
  };
}

/** Removes an instance. */
export function dropInstance(
  { byId, byAddress }: InstanceIndex,
  view: WorkerView | undefined,
): InstanceIndex {
  if (view === undefined) return { byId, byAddress };
  return {
    byId: dropKey(byId, idOf(view), view.workerKey),
    byAddress: dropKey(byAddress, addressOf(view), view.workerKey),
  };
}

/** Adds an instance, or updates what is known of it. */
export function putInstance(
  index: InstanceIndex,
  known: WorkerView | undefined,
  view: WorkerView,
): InstanceIndex {
  const isSame =
    known !== undefined && idOf(known) === idOf(view) && addressOf(known) === addressOf(view);
  return isSame ? index : addInstance(dropInstance(index, known), view);
}

/** Returns the index of some instances. */
export function indexInstances(workers: Map<string, WorkerView>): InstanceIndex {
  return workers.reduce(addInstance, NO_INSTANCES);
}

/** Returns the keys of the instances with an id or at an address. */
export function instancesWith(
  { byId, byAddress }: InstanceIndex,
  { id, address }: { readonly id: string; readonly address: string },
): readonly string[] {
  return [...byId.get(id, NO_KEYS).union(byAddress.get(address, NO_KEYS))];
}

/** Returns the keys of the instances at an address. */
export function instancesAt({ byAddress }: InstanceIndex, address: string): readonly string[] {
  return [...byAddress.get(address, NO_KEYS)];
}
