import { expect } from 'chai';
import { jobKey, progressKey } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  dispatch,
  jobOf,
  report,
  sentMessages,
  stageOf,
  submit,
  TASK,
  WALL_MS,
} from './fixture';

const JOB = jobOf('job1', [stageOf(1)]);

/** Longer than outcomes are stored. */
const CLOCK_STEP_MS = 240_000;

/** Returns a leader whose only job has just ended. */
function ended(): Fixture {
  const placed = commitAll(submit(commitAll(report(createLeader(), 'w1')), JOB));
  const end = { sequence: 1, task: TASK, attempt: 1, end: 'done', checkpoint: '' } as const;
  return commitAll(report(placed, 'w1', { ended: [end], lastOrder: 1 }));
}

/** Renews the lease some time later, by a time of day that has stepped. */
function renew(fixture: Fixture, stepMs: number): Fixture {
  const nowMs = fixture.nowMs + 1_000;
  const wallMs = WALL_MS + nowMs + stepMs;
  return commitAll(dispatch({ ...fixture, nowMs }, { kind: 'tick', wallMs }));
}

/** Delivers a full read of the job table that began before the job ended. */
function deliverLate(fixture: Fixture): Fixture {
  const rows = [{ ...jobKey('job1'), version: 8, value: JOB }];
  const wallMs = WALL_MS + fixture.nowMs;
  const read = commitAll(dispatch(fixture, { kind: 'jobRows', isFull: true, rows, wallMs }));
  return commitAll(advance(read, 500));
}

// Guards against an ended job that a full read of the job table, which began before its end, opens again.
it('forgotten: a late row starts no job again that has ended', () => {
  const late = deliverLate(renew(ended(), 0));
  expect(sentMessages(late, 'start')).to.have.length(1);
});

// Guards against the same after a step of the leader's time of day, by which the outcome has expired.
it('forgotten: a late row starts no ended job again after a step of the clock', () => {
  const stepped = renew(ended(), CLOCK_STEP_MS);
  const deleted = stepped.effects.some(
    (effect) =>
      effect.kind === 'commit' &&
      effect.transaction.writes.some(
        (write) => write.kind === 'delete' && write.table === progressKey('job1').table,
      ),
  );
  expect(deleted).to.equal(false);
  expect(sentMessages(deliverLate(stepped), 'start')).to.have.length(1);
});

// Guards against outcomes that stay in the store for good.
it('forgotten: the outcome of a job is removed once it was stored for long enough', () => {
  const old = renew(renew({ ...ended(), nowMs: CLOCK_STEP_MS }, 0), 0);
  expect(old.state.ended.size).to.equal(0);
  expect(old.state.endStoredAtMs.size).to.equal(0);
});
