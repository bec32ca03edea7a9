import { expect } from 'chai';
import type { ListedEnd } from '@bronzeyoke/ports';
import { MAX_LISTED_ENDS } from '@bronzeyoke/ports';
import { jobKey, progressKey } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  answerReads,
  commitAll,
  createSuccessor,
  dispatch,
  jobOf,
  report,
  stageOf,
  TASK,
  WALL_MS,
} from './fixture';

const JOB = jobOf('job1', [stageOf(2)]);

/** A row of a later build, which stores tasks in a phase that this one does not know. */
const UNREADABLE = { workers: [], stages: { '0.0': { done: [], tasks: [[0, 9, 1, 0, -1]] } } };

function createHolding(): Fixture {
  const row = { ...progressKey('job1'), version: 9, value: UNREADABLE };
  const read = answerReads(createSuccessor(), [row], WALL_MS);
  const rows = [{ ...jobKey('job1'), version: 8, value: JOB }];
  return commitAll(dispatch(read, { kind: 'jobRows', isFull: true, rows, wallMs: WALL_MS }));
}

function cancel(fixture: Fixture): Fixture {
  const key = { table: 'job', partition: 'main', key: 'job1/cancel' };
  const rows = [{ ...key, version: 13, value: {} }];
  return commitAll(dispatch(fixture, { kind: 'jobRows', isFull: false, rows, wallMs: WALL_MS }));
}

function endOf(task: string, sequence: number): ListedEnd {
  return { sequence, task, attempt: 3, end: 'done', checkpoint: '' };
}

function acknowledged(fixture: Fixture): readonly number[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'acknowledge'
      ? [effect.message.sequence]
      : [],
  );
}

// Guards against a worker that lists no further ends for good: it lists 500 at most, until the first of them
// are acknowledged, and those of a held job are not until the job is cancelled.
it('held: the ends after that of a held job are acknowledged once it is cancelled', () => {
  const ended = Array.from({ length: MAX_LISTED_ENDS }, (_, index) =>
    index === 0 ? endOf(TASK, 1) : endOf(`job9.0.0.${index}`, index + 1),
  );
  const listed = commitAll(report(createHolding(), 'w1', { ended }));
  expect(acknowledged(listed)).to.deep.equal([]);
  const cancelled = commitAll(report(advance(cancel(listed), 100), 'w1', { ended }));
  expect(acknowledged(cancelled)).to.deep.equal([MAX_LISTED_ENDS]);
});
