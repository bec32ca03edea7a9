import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, dispatchAfter, spawnCore } from '@bronzeyoke/actors';
import type { StoreEffect, StoreEvent, TablePort } from '@bronzeyoke/ports';
import { assertNever } from '@bronzeyoke/types';
import type { BudgetEffect, BudgetEvent } from './budget';
import { INITIAL_BUDGET, stepBudget } from './budget';

/** Table that is never available, for an entry that only routes requests. */
export const NO_TABLE: TablePort = {
  read: async () => ({ kind: 'unavailable' }),
  scan: async () => ({ kind: 'unavailable' }),
  commit: async () => ({ kind: 'unavailable' }),
};

/** Carries out one access through a table port. */
async function callTable(table: TablePort, access: StoreEffect): Promise<StoreEvent> {
  const { origin, callId } = access;
  switch (access.kind) {
    case 'commit': {
      const result = await table.commit(access.transaction);
      return { kind: 'commitDone', origin, callId, result };
    }
    case 'read': {
      const result = await table.read(access.keys);
      return { kind: 'readDone', origin, callId, result };
    }
    case 'scan': {
      const result = await table.scan(access.prefix, access.afterKey, access.limit);
      return { kind: 'readDone', origin, callId, result };
    }
    default:
      return assertNever(access);
  }
}

/** Returns the event for an access that was not sent. */
function unavailableEvent(access: StoreEffect): StoreEvent {
  const { origin, callId } = access;
  const result = { kind: 'unavailable' } as const;
  return access.kind === 'commit'
    ? { kind: 'commitDone', origin, callId, result }
    : { kind: 'readDone', origin, callId, result };
}

/** Returns the event for an access that failed; a commit may have taken effect. */
function failureEvent(access: StoreEffect): StoreEvent {
  const { origin, callId } = access;
  return access.kind === 'commit'
    ? { kind: 'commitDone', origin, callId, result: { kind: 'unknown' } }
    : unavailableEvent(access);
}

/** Starts the actor that owns the accesses of an entry to the table service. */
export function spawnStore(
  system: ActorSystemRef,
  table: TablePort,
  report: (event: StoreEvent) => void,
  onError: (error: unknown) => void,
): Ref<BudgetEvent> {
  const call = async (access: StoreEffect, self: Ref<BudgetEvent>): Promise<void> => {
    try {
      report(await callTable(table, access));
    } catch (error) {
      onError(error);
      report(failureEvent(access));
    }
    dispatch(self, { kind: 'ended' });
  };

  const perform = (effect: BudgetEffect, self: Ref<BudgetEvent>): void => {
    switch (effect.kind) {
      case 'call':
        call(effect.access, self).catch(onError);
        return;
      case 'refuse':
        report(unavailableEvent(effect.access));
        return;
      case 'wake':
        dispatchAfter(self, { kind: 'refill' }, effect.afterMs);
        return;
      default:
        assertNever(effect);
    }
  };

  return spawnCore(system, {
    name: 'store',
    initial: INITIAL_BUDGET,
    decide: stepBudget,
    perform,
    onError,
  });
}
