import { List } from 'immutable';
import { without } from '@bronzeyoke/types';
import { taskProgress } from '@bronzeyoke/workflow';
import { instancesAt } from '../fleet/identities';
import { isSuspect } from '../jobs/suspects';
import { claimPlace, MAX_DRAIN_MS } from './keptplace';
import type { PlacementPass } from './pass';
import { isSpent, spend } from './pass';
import { VACANCY_WORK } from './passbudget';
import type { WaitingTask } from './waits';
import { reachedTask } from './waits';

/** A pass with the waiting tasks that it has not placed. */
export interface Restored {
  readonly pass: PlacementPass;
  readonly rest: readonly WaitingTask[];
}

/** Returns the usable worker that reports at the former address of a waiting task. */
function formerWorkerKey(
  { state, loads }: PlacementPass,
  { wait, candidate, slot }: WaitingTask,
): string | undefined {
  const { formerAddress } = wait;
  if (formerAddress === undefined || wait.isMoved || candidate.ready.stage.isGang) return undefined;
  const open = state.jobs.get(candidate.jobId);
  // A suspect is tried apart from the tasks that it was with when their worker crashed.
  if (open === undefined || isSuspect(taskProgress(open.progress, slot).crashes)) return undefined;
  return instancesAt(state.instances, formerAddress).find((workerKey) => loads.has(workerKey));
}

/** Returns a task whose former place cannot be had. From now on it counts as one that has to search. */
function withoutFormer(waiting: WaitingTask): WaitingTask {
  return { ...waiting, wait: without(waiting.wait, 'formerAddress') };
}

/** Claims the worker at the former address of a waiting task, at the cost of one look. */
function claimFormer(
  pass: PlacementPass,
  waiting: WaitingTask,
  workerKey: string,
  nowMs: number,
): PlacementPass | undefined {
  const claimed = claimPlace(pass, reachedTask(waiting), workerKey, nowMs);
  if (claimed === undefined) return undefined;
  const { state } = claimed;
  return { ...claimed, state: { ...state, restoredCount: state.restoredCount + 1 } };
}

/**
 * Returns lasting tasks to the workers at their former addresses, before any search: they had room there
 * together. Room that another wait keeps is left to it, and once another lasting task has waited for long,
 * only the order of the waits counts. What the pass has no work left for is left to the searches, which
 * leave it to the next pass.
 */
export function restorePlaces(
  pass: PlacementPass,
  waiting: readonly WaitingTask[],
  nowMs: number,
): Restored {
  const kept = new Set(waiting.flatMap(({ wait }) => wait.workerKey ?? []));
  const places = waiting.map((task) => {
    const workerKey = formerWorkerKey(pass, task);
    return { task, workerKey: kept.has(workerKey ?? '') ? undefined : workerKey };
  });
  const isOverdue = places.some(
    ({ task: { wait }, workerKey }) =>
      workerKey === undefined && wait.cause === 'returning' && nowMs - wait.sinceMs >= MAX_DRAIN_MS,
  );
  if (isOverdue || places.every(({ workerKey }) => workerKey === undefined)) {
    return { pass, rest: waiting };
  }
  const restored = places.reduce(
    (current, { task, workerKey }) => {
      const isReached = workerKey !== undefined && !isSpent(current.pass, 'returning');
      const rest = current.rest.push(task);
      if (!isReached) return { ...current, rest };
      const looked = spend(current.pass, VACANCY_WORK);
      const claimed = claimFormer(looked, task, workerKey, nowMs);
      return claimed === undefined
        ? { pass: looked, rest: current.rest.push(withoutFormer(task)) }
        : { pass: claimed, rest: current.rest };
    },
    { pass, rest: List<WaitingTask>() },
  );
  return { pass: restored.pass, rest: restored.rest.toArray() };
}
