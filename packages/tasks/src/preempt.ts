import { freeResources } from '@bronzeyoke/ledger';
import type { Resources } from '@bronzeyoke/types';
import { NO_RESOURCES, addResources, fitsIn, taskKey, unchanged } from '@bronzeyoke/types';
import { chainEach } from './call';
import { stopTask } from './task';
import { CAPACITY_HOLD_MS } from './limits';
import type { TaskRecord, TasksState, TasksStep } from './types';

function heldForOtherTasks(state: TasksState, key: string, nowMs: number): Resources {
  return state.holds
    .filter((hold, other) => other !== key && hold.untilMs > nowMs)
    .reduce((sum, hold) => addResources(sum, hold.reserved), NO_RESOURCES);
}

/** Whether a task has room beside what is kept for urgent work. */
export function hasRoom(state: TasksState, key: string, wanted: Resources, nowMs: number): boolean {
  const needed = addResources(wanted, heldForOtherTasks(state, key, nowMs));
  return fitsIn(needed, freeResources(state.ledger));
}

function isStopping({ phase }: TaskRecord): boolean {
  return phase === 'checkpointing' || phase === 'stopping';
}

interface Selection {
  readonly available: Resources;
  readonly keys: readonly string[];
}

/**
 * Evicts the tasks that can wait longest until urgent work has room, and keeps the room for it.
 * Nothing is evicted when that would not be enough, or when it was done for this task already.
 */
export function preemptFor(
  state: TasksState,
  key: string,
  wanted: Resources,
  nowMs: number,
): TasksStep | undefined {
  const known = state.holds.get(key);
  if (known !== undefined && known.untilMs > nowMs) return unchanged(state);
  const needed = addResources(wanted, heldForOtherTasks(state, key, nowMs));
  const records = [...state.records.values()];
  const coming = records
    .filter(isStopping)
    .reduce((sum, { task }) => addResources(sum, task.reserved), freeResources(state.ledger));
  const chosen = records
    .filter(({ phase, spareMs }) => phase === 'running' && spareMs !== undefined)
    .sort((left, right) => (right.spareMs ?? 0) - (left.spareMs ?? 0))
    .reduce<Selection>(
      ({ available, keys }, { task }) =>
        fitsIn(needed, available)
          ? { available, keys }
          : {
              available: addResources(available, task.reserved),
              keys: [...keys, taskKey(task.id)],
            },
      { available: coming, keys: [] },
    );
  if (!fitsIn(needed, chosen.available)) return undefined;
  const holds = state.holds
    .filter((hold) => hold.untilMs > nowMs)
    .set(key, { reserved: wanted, untilMs: nowMs + CAPACITY_HOLD_MS });
  return chainEach(unchanged({ ...state, holds }), chosen.keys, (current, victim) =>
    stopTask(current, victim, 'evict', 'tooLate', nowMs),
  );
}
