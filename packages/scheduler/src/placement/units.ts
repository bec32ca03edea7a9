import { searchKey } from './candidates';
import type { WaitingTask } from './waits';

/** A task, or all members of a gang, to place in one decision. */
export type PlacementUnit =
  | { readonly kind: 'task'; readonly task: WaitingTask }
  | { readonly kind: 'gang'; readonly members: readonly WaitingTask[] };

/** Groups waiting tasks into units. A gang has the place of its first member in the order. */
export function unitsOf(waiting: readonly WaitingTask[]): readonly PlacementUnit[] {
  return waiting.flatMap((task, index): readonly PlacementUnit[] => {
    const { candidate } = task;
    if (!candidate.ready.stage.isGang) return [{ kind: 'task', task }];
    const key = searchKey(candidate);
    const isMember = (other: WaitingTask): boolean => searchKey(other.candidate) === key;
    const members = waiting.filter(isMember);
    return waiting.findIndex(isMember) === index ? [{ kind: 'gang', members }] : [];
  });
}
