import { expect } from 'chai';
import fc from 'fast-check';
import { jobKey } from '@bronzeyoke/scheduler';
import { rowId } from '@bronzeyoke/standins';
import { JOB } from './fixture';
import type { Treatment, World } from './world';
import { ENTRIES, performLate, startWorld, step } from './world';

const STEP_MS = 50;

/** A call of a caller, time that passes, or the late work of the store. */
interface Action {
  readonly entry: number;
  readonly kind: 'submit' | 'cancel' | 'tick' | 'late';
  readonly treatment: Treatment;
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
      const start = startWorld();
      const { world, absentAt } = actions.reduce(
        (known, next, index) => {
          const moved = act(known.world, next, index);
          const isAbsent = moved.replies
            .slice(known.world.replies.length)
            .some(({ kind }) => kind === 'absent');
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
