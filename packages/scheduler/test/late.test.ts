import { expect } from 'chai';
import { MAX_LISTED_ENDS } from '@bronzeyoke/ports';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  jobOf,
  loggedFields,
  place,
  progressing,
  report,
  sentMessages,
  settle,
  siteOf,
  stageOf,
  TASK,
} from './fixture';

/** Returns a leader that has given the task of a silent worker to another one. */
function claimedAgain(): Fixture {
  const placed = place(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const lapsed = commitAll(advance(settle(placed, 'w1', progressing(TASK)), 6_000));
  const again = commitAll(report(lapsed, 'w2'));
  expect(siteOf(again, TASK)).to.equal('w2');
  return again;
}

function successOnFirst(fixture: Fixture): Fixture {
  const ended = [{ sequence: 1, task: TASK, attempt: 1, end: 'done', checkpoint: '' }] as const;
  return commitAll(report(fixture, 'w1', { ended, link: 'link-later' }));
}

// Guards against a task that runs again after a success that its first worker reported late.
it('late: a success of an earlier attempt completes the task and stops the later run', () => {
  const completed = successOnFirst(claimedAgain());
  expect(loggedFields(completed, 'jobEnded')[0]).to.include({ outcome: 'complete' });
  expect(sentMessages(completed, 'stop')).to.have.length(1);
  expect(siteOf(completed, TASK)).to.equal(undefined);
  const later = commitAll(advance(completed, 1_000));
  expect(sentMessages(later, 'start')).to.have.length(2);
});

// Guards against a failure of an earlier attempt that ends or counts against the later one.
it('late: a failure of an earlier attempt changes nothing', () => {
  const ended = [{ sequence: 1, task: TASK, attempt: 1, end: 'failed', checkpoint: '' }] as const;
  const failed = commitAll(report(claimedAgain(), 'w1', { ended, link: 'link-later' }));
  expect(siteOf(failed, TASK)).to.equal('w2');
  expect(loggedFields(failed, 'taskEnded')).to.have.length(0);
});

// Guards against a second run of a task whose end is beyond those that its worker lists at a time.
it('late: a run is not released while its worker has more ends than a list holds', () => {
  const placed = place(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const others = Array.from({ length: MAX_LISTED_ENDS }, (_, index) => ({
    ...{ sequence: index + 1, task: `old.0.0.${index}`, attempt: 1 },
    ...{ end: 'done' as const, checkpoint: '' },
  }));
  const full = commitAll(report(advance(placed, 300), 'w1', { ended: others, lastOrder: 1 }));
  expect(siteOf(full, TASK)).to.equal('w1');
  const end = { sequence: 501, task: TASK, attempt: 1, end: 'done', checkpoint: '' } as const;
  const rest = commitAll(report(advance(full, 300), 'w1', { ended: [end], lastOrder: 1 }));
  expect(rest.state.ended.has('job1')).to.equal(true);
  expect(sentMessages(rest, 'start')).to.have.length(1);
});
