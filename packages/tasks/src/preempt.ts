import { freeResources } from '@bronzeyoke/ledger';
import type { Resources } from '@bronzeyoke/types';
import {
  NO_RESOURCES,
  addResources,
  fitsIn,
  taskKey,
  unchanged,
  chainEach,
} from '@bronzeyoke/types';
import { stopTask } from './task';
import { CAPACITY_HOLD_MS } from './limits';
import type { AgentTaskRecord, TasksState, TasksStep } from './types';

function sumOtherHolds(state: TasksState, key: string, nowMs: number): Resources {
  return state.holds
    .filter((hold, other) => other !== key && hold.untilMs > nowMs)
    .reduce((sum, hold) => addResources(sum, hold.reserved), NO_RESOURCES);
}

/** Returns whether a task fits beside the capacity held for urgent work. */
export function fitsBesideHolds(
  state: TasksState,
  key: string,
  requested: Resources,
  nowMs: number,
): boolean {
  const needed = addResources(requested, sumOtherHolds(state, key, nowMs));
  return fitsIn(needed, freeResources(state.ledger));
}

function isStopping({ phase }: AgentTaskRecord): boolean {
  return phase === 'checkpointing' || phase === 'stopping';
}

interface Selection {
  readonly available: Resources;
  readonly keys: readonly string[];
}

/**
 * Evicts the tasks that can wait longest until urgent work fits, and holds the capacity for it.
 * Evicts nothing if the freed capacity would not suffice, or if this task already has a hold.
 */
export function preemptFor(
  state: TasksState,
  key: string,
  requested: Resources,
  nowMs: number,
): TasksStep | undefined {
  const existing = state.holds.get(key);
  if (existing !== undefined && existing.untilMs > nowMs) return unchanged(state);
  const needed = addResources(requested, sumOtherHolds(state, key, nowMs));
  const records = [...state.records.values()];
  const expected = records
    .filter(isStopping)
    .reduce((sum, { task }) => addResources(sum, task.reserved), freeResources(state.ledger));
  const selection = records
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
      { available: expected, keys: [] },
    );
  if (!fitsIn(needed, selection.available)) return undefined;
  const holds = state.holds
    .filter((hold) => hold.untilMs > nowMs)
    .set(key, { reserved: requested, untilMs: nowMs + CAPACITY_HOLD_MS });
  return chainEach(unchanged({ ...state, holds }), selection.keys, (current, victim) =>
    stopTask(current, victim, 'evict', 'tooLate', nowMs),
  );
}
