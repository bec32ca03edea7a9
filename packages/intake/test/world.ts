import type { IntakeEffect, IntakeEvent, IntakeReply, IntakeState } from '@bronzeyoke/intake';
import { createIntake, stepIntake } from '@bronzeyoke/intake';
import type { RowTransaction } from '@bronzeyoke/ports';
import type { RowStoreState } from '@bronzeyoke/standins';
import { commitRow, EMPTY_ROW_STORE, readRange } from '@bronzeyoke/standins';

/** Entries of a world. */
export const ENTRIES = 2;

/** What the store does with a transaction. */
export type Treatment = 'perform' | 'loseReply' | 'performLate' | 'refuse';

/** Two entries with one store, whose late transactions wait until they are performed. */
export interface World {
  readonly entries: readonly IntakeState[];
  readonly store: RowStoreState;
  readonly late: readonly RowTransaction[];
  readonly nowMs: number;
  readonly replies: readonly IntakeReply[];
}

function treatTransaction(
  world: World,
  transaction: RowTransaction,
  treatment: Treatment,
): {
  readonly world: World;
  readonly result: Extract<IntakeEvent, { kind: 'commitDone' }>['result'];
} {
  switch (treatment) {
    case 'refuse':
      return { world, result: { kind: 'unavailable' } };
    case 'performLate':
      return {
        world: { ...world, late: [...world.late, transaction] },
        result: { kind: 'unknown' },
      };
    case 'perform':
    case 'loseReply': {
      const { state, result } = commitRow(world.store, transaction);
      const seen = treatment === 'perform' ? result : ({ kind: 'unknown' } as const);
      return { world: { ...world, store: state }, result: seen };
    }
  }
}

function perform(world: World, entry: number, effect: IntakeEffect, treatment: Treatment): World {
  const wallMs = world.nowMs;
  switch (effect.kind) {
    case 'reply':
      return { ...world, replies: [...world.replies, effect.reply] };
    case 'range': {
      const result = readRange(world.store, effect.range);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call each other
      return step(
        world,
        entry,
        { kind: 'rangeDone', callId: effect.callId, result, wallMs },
        treatment,
      );
    }
    case 'commit': {
      const treated = treatTransaction(world, effect.transaction, treatment);
      const { result } = treated;
      const event = { kind: 'commitDone', callId: effect.callId, result, wallMs } as const;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- events and effects call each other
      return step(treated.world, entry, event, treatment);
    }
    case 'log':
      return world;
  }
}

/** Applies an event to an entry, and performs what follows with the store. */
export function step(world: World, entry: number, event: IntakeEvent, treatment: Treatment): World {
  const state = world.entries[entry];
  if (state === undefined) return world;
  const next = stepIntake(state, event, { nowMs: world.nowMs, random: 0 });
  const entries = world.entries.with(entry, next.state);
  const stepped: World = { ...world, entries };
  return next.effects.reduce(
    (current, effect) => perform(current, entry, effect, treatment),
    stepped,
  );
}

/** Performs the transactions that the store has put off. */
export function performLate(world: World): World {
  const store = world.late.reduce(
    (current, transaction) => commitRow(current, transaction).state,
    world.store,
  );
  return { ...world, store, late: [] };
}

/** Returns entries that have started, with an empty store. */
export function startWorld(): World {
  return {
    entries: Array.from({ length: ENTRIES }, () => createIntake()),
    store: EMPTY_ROW_STORE,
    late: [],
    nowMs: 0,
    replies: [],
  };
}
