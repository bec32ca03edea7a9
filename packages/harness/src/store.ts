import type { BudgetEffect, BudgetEvent } from '@bronzeyoke/entry';
import { stepBudget } from '@bronzeyoke/entry';
import type { StoreEffect, StoreEvent } from '@bronzeyoke/ports';
import type { AccessFault } from '@bronzeyoke/standins';
import { accessRows, readRows } from '@bronzeyoke/standins';
import { assertNever } from '@bronzeyoke/types';
import type { EntryProcess, World } from './world';
import { drawStepUniforms, deliver, observe, schedule, updateProcess } from './world';

const TRIP_MS = 2;
const SLOW_MS = 1_500;
// A client detects a lost reply only by its own timeout.
const LOST_AFTER_MS = 1_000;

function deliverToEntry(
  world: World,
  processId: string,
  event: StoreEvent,
  afterMs: number,
): World {
  return deliver(world, processId, { kind: 'entryEvent', event }, afterMs);
}

function performBudget(world: World, processId: string, effect: BudgetEffect): World {
  switch (effect.kind) {
    case 'call': {
      const [jitter = 0] = drawStepUniforms(world, world.sequence, 1);
      const extraMs = world.store.isSlow ? SLOW_MS * jitter : jitter;
      const item = { kind: 'storeCall', processId, access: effect.access } as const;
      return schedule(world, TRIP_MS + extraMs, item);
    }
    case 'refuse': {
      const { event } = accessRows(world.store.rows, effect.access, 'down');
      return deliverToEntry(world, processId, event, 0);
    }
    case 'wake':
      return schedule(world, effect.afterMs, {
        kind: 'budget',
        processId,
        event: { kind: 'refill' },
      });
    default:
      return assertNever(effect);
  }
}

/** Steps an entry's budget of store accesses, which decides when each access is sent. */
export function applyBudgetEvent(world: World, processId: string, event: BudgetEvent): World {
  const process = world.processes.get(processId);
  if (process?.kind !== 'entry') return world;
  const inputs = { nowMs: world.nowMs, random: world.random };
  const step = stepBudget(process.budget, event, inputs);
  const changed: EntryProcess = { ...process, budget: step.state };
  return step.effects.reduce(
    (current, effect) => performBudget(current, processId, effect),
    updateProcess(world, processId, () => changed),
  );
}

function faultOf(world: World): AccessFault {
  if (world.store.isDown) return 'down';
  return world.store.losesReplies ? 'lost' : 'none';
}

/** Performs an access at the table, and reports committed rows to the oracle. */
export function callStore(world: World, processId: string, access: StoreEffect): World {
  const fault = faultOf(world);
  const before = world.store.rows;
  const done = accessRows(before, access, fault);
  const hasCommitted = done.state.lastVersion > before.lastVersion;
  const writes = access.kind === 'commit' && hasCommitted ? access.transaction.writes : [];
  const stored: World = { ...world, store: { ...world.store, rows: done.state } };
  const rows = readRows(
    done.state,
    writes.map(({ key }) => key),
  );
  const observed = rows.length === 0 ? stored : observe(stored, { kind: 'committed', rows });
  const afterMs = fault === 'lost' ? LOST_AFTER_MS : TRIP_MS;
  const notified = deliverToEntry(observed, processId, done.event, afterMs);
  return schedule(notified, afterMs, { kind: 'budget', processId, event: { kind: 'ended' } });
}
