import { expect } from 'chai';
import { cancelKey } from '@bronzeyoke/scheduler';
import { stopRun } from '../src/placement/runorders';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  dispatch,
  listedRun,
  loggedFields,
  report,
  running,
  TASK,
  WALL_MS,
  workerKeyFor,
} from './fixture';

/** Returns the marks of the logged lines of an event. */
function marksOf(fixture: Fixture, event: string): readonly unknown[] {
  return loggedFields(fixture, event).map(({ isLasting }) => isLasting);
}

function endRun(fixture: Fixture): Fixture {
  const end = { sequence: 7, task: TASK, attempt: 1, end: 'failed', checkpoint: '' } as const;
  return report(fixture, 'w1', { ended: [end], lastOrder: 1 });
}

function refuse(fixture: Fixture): Fixture {
  return dispatch(fixture, {
    kind: 'received',
    linkId: 'link-w1',
    message: {
      kind: 'refused',
      workerKey: workerKeyFor('w1'),
      run: { task: TASK, attempt: 1 },
      reason: 'noRoom',
    },
    wallMs: WALL_MS + fixture.nowMs,
  });
}

function cancel(fixture: Fixture): Fixture {
  const row = { ...cancelKey('job1'), version: fixture.version, value: {} };
  const wallMs = WALL_MS + fixture.nowMs;
  return commitAll(dispatch(fixture, { kind: 'jobRows', isFull: false, rows: [row], wallMs }));
}

// Guards against lines of a lasting task that are dropped like those of quick ones.
it('tasklog: the lines of a lasting task are marked from its place to its end', () => {
  const ended = endRun(running({ isLasting: true }));
  const marks = ['taskPlaced', 'taskStarted', 'taskEnded'].map((event) => marksOf(ended, event));
  expect(marks).to.deep.equal([[true], [true], [true]]);
});

// Guards against marks on all lines, which would make the reserve useless.
it('tasklog: the lines of a quick task are not marked', () => {
  const ended = endRun(running());
  const marks = ['taskPlaced', 'taskStarted', 'taskEnded'].map((event) => marksOf(ended, event));
  expect(marks).to.deep.equal([[undefined], [undefined], [undefined]]);
});

// Guards against a refused start of a lasting task that the log leaves out.
it('tasklog: a refusal and the release that follows are marked', () => {
  const refused = refuse(running({ isLasting: true }));
  expect(marksOf(refused, 'orderRefused')).to.deep.equal([true]);
  expect(marksOf(refused, 'taskReleased')).to.deep.equal([true]);
});

// Guards against stops without a mark, when the task goes elsewhere and when its job has ended.
it('tasklog: stops of a lasting task are marked', () => {
  const before = running({ isLasting: true });
  const { effects } = stopRun(before.state, TASK, 'harm', before.nowMs);
  expect(marksOf({ ...before, effects }, 'taskStopped')).to.deep.equal([true]);
  const listed = { running: [listedRun(TASK, 1)], lastOrder: 1 };
  const orphaned = report(advance(cancel(before), 1_000), 'w1', listed);
  expect(marksOf(orphaned, 'taskStopped')).to.deep.equal([true]);
});
