import { expect } from 'chai';
import { MAX_LISTED_ENDS } from '@bronzeyoke/ports';
import {
  acknowledgedEnds,
  advance,
  cancelHeld,
  commitAll,
  doneEnd,
  jobOf,
  loadWithProgress,
  report,
  stageOf,
  TASK,
  UNREADABLE,
} from './fixture';

const JOB = jobOf('job1', [stageOf(2)]);

// Guards against a worker that lists no further ends for good: it lists 500 at most, until the first of them
// are acknowledged, and those of a held job are not until the job is cancelled.
it('held: the ends after that of a held job are acknowledged once it is cancelled', () => {
  const ended = Array.from({ length: MAX_LISTED_ENDS }, (_, index) =>
    index === 0 ? doneEnd(TASK, 1) : doneEnd(`job9.0.0.${index}`, index + 1),
  );
  const listed = commitAll(report(loadWithProgress(JOB, UNREADABLE), 'w1', { ended }));
  expect(acknowledgedEnds(listed)).to.deep.equal([]);
  const cancelled = commitAll(report(advance(cancelHeld(listed), 100), 'w1', { ended }));
  expect(acknowledgedEnds(cancelled)).to.deep.equal([MAX_LISTED_ENDS]);
});
