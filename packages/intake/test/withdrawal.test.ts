import { expect } from 'chai';
import fc from 'fast-check';
import type { IntakeEffect, IntakeEvent, IntakeState } from '@bronzeyoke/intake';
import { createIntake, stepIntake } from '@bronzeyoke/intake';
import type { RowTransaction } from '@bronzeyoke/ports';
import { jobKey } from '@bronzeyoke/scheduler';
import type { RowStoreState } from '@bronzeyoke/standins';
import { commitRow, EMPTY_ROW_STORE, readRange, rowId } from '@bronzeyoke/standins';
import { JOB } from './fixture';

const ENTRIES = 2;
const STEP_MS = 50;

/** What the store does with a transaction. */
type Treatment = 'perform' | 'loseReply' | 'performLate' | 'refuse';

/** A call of a caller, time that passes, or the late work of the store. */
interface Action {
  readonly entry: number;
  readonly kind: 'submit' | 'cancel' | 'tick' | 'late';
  readonly treatment: Treatment;
}

/** Two entries with one store, whose late transactions wait until they are performed. */
interface World {
  readonly entries: readonly IntakeState[];
  readonly store: RowStoreState;
  readonly late: readonly RowTransaction[];
  readonly nowMs: number;
  readonly replies: readonly string[];
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
      return { ...world, replies: [...world.replies, effect.reply.kind] };
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

function step(world: World, entry: number, event: IntakeEvent, treatment: Treatment): World {
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

function performLate(world: World): World {
  const store = world.late.reduce(
    (current, transaction) => commitRow(current, transaction).state,
    world.store,
  );
  return { ...world, store, late: [] };
}

const action: fc.Arbitrary<Action> = fc.record<Action>({
  entry: fc.nat(ENTRIES - 1),
  kind: fc.constantFrom('submit', 'cancel', 'tick', 'late'),
  treatment: fc.constantFrom<Treatment>('perform', 'loseReply', 'performLate', 'refuse'),
});

function act(world: World, { entry, kind, treatment }: Action, index: number): World {
  const later = { ...world, nowMs: world.nowMs + STEP_MS };
  const call = { callId: `c${index}`, timeoutMs: 3_000 };
  switch (kind) {
    case 'submit':
      return step(later, entry, { kind, ...call, job: JOB, silentMs: 0 }, treatment);
    case 'cancel':
      return step(later, entry, { kind, ...call, jobId: JOB.jobId }, treatment);
    case 'tick':
      return step(later, entry, { kind }, treatment);
    case 'late':
      return performLate(later);
  }
}

// Guards against any order of submissions, cancellations, lost replies and late transactions after which
// a job is stored although its cancellation was answered with "no such job".
it('intake: no job is stored after "no such job", in whatever order the store performs', () => {
  fc.assert(
    fc.property(fc.array(action, { maxLength: 30 }), (actions) => {
      const start: World = {
        entries: Array.from({ length: ENTRIES }, () => createIntake()),
        store: EMPTY_ROW_STORE,
        late: [],
        nowMs: 0,
        replies: [],
      };
      const { world, absentAt } = actions.reduce(
        (known, next, index) => {
          const moved = act(known.world, next, index);
          const isAbsent = moved.replies.slice(known.world.replies.length).includes('absent');
          return { world: moved, absentAt: known.absentAt || isAbsent };
        },
        { world: start, absentAt: false },
      );
      const isStored = performLate(world).store.rows.has(rowId(jobKey(JOB.jobId)));
      expect(absentAt && isStored).to.equal(false);
    }),
    { seed: 35, numRuns: 500 },
  );
});
