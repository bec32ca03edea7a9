import { expect } from 'chai';
import {
  advance,
  commitAll,
  createLeader,
  jobOf,
  join,
  list,
  loggedFields,
  place,
  report,
  sentMessages,
  siteOf,
  sized,
  submit,
} from './fixture';

const TASK = 'job1.0.0.0';
const OTHER = 'job2.0.0.0';

// Guards against a worker that checks nothing and is given more than its room, which has shrunk.
it('capacity: nothing is placed beyond a room that has shrunk', () => {
  const running = list(place(join(createLeader(), 'w1'), jobOf('job1', [sized(2_000)])), 'w1');
  const shrunk = report(running, 'w1', { processorsMilli: 2_500 });
  expect(siteOf(place(shrunk, jobOf('job2', [sized(1_000)])), OTHER)).to.equal(undefined);
});

// Guards against a play whose logs do not tell whether a room has changed at all.
it('capacity: a room that changes is logged, and one that stays the same is not', () => {
  const joined = join(createLeader(), 'w1');
  const shrunk = report(report(joined, 'w1'), 'w1', { processorsMilli: 2_500 });
  const resized = loggedFields(shrunk, 'workerResized');
  expect(resized).to.have.length(1);
  expect(resized[0]).to.include({ processorsMilli: 2_500, beforeMilli: 4_000 });
});

// Guards against a start order that was decided for the room before and leaves when it has shrunk.
it('capacity: a claim made for a larger room is not ordered', () => {
  const claimed = submit(join(createLeader(), 'w1'), jobOf('job1', [sized(3_000)]));
  expect(siteOf(claimed, TASK)).to.equal('w1');
  const shrunk = report(claimed, 'w1', { processorsMilli: 2_000 });
  const stored = commitAll(shrunk);
  expect(sentMessages(stored, 'start')).to.deep.equal([]);
  expect(loggedFields(stored, 'taskReleased')[0]).to.include({ reason: 'roomShrunk' });
  expect(siteOf(join(stored, 'w2'), TASK)).to.equal('w2');
});

// Guards against orders that are held back although the task fits beside what is left.
it('capacity: a claim that still fits a smaller room is ordered', () => {
  const claimed = submit(join(createLeader(), 'w1'), jobOf('job1', [sized(1_000)]));
  const stored = commitAll(report(claimed, 'w1', { processorsMilli: 2_000 }));
  expect(sentMessages(stored, 'start')).to.have.length(1);
});

// Guards against tasks that wait although the room for them is back.
it('capacity: a waiting task is placed at once when a room grows', () => {
  const small = report(createLeader(), 'w1', { processorsMilli: 1_000 });
  const waiting = advance(commitAll(submit(small, jobOf('job1', [sized(2_000)]))), 50);
  expect(siteOf(waiting, TASK)).to.equal(undefined);
  expect(siteOf(commitAll(report(waiting, 'w1')), TASK)).to.equal('w1');
});

// Guards against claims for filling tasks that are given back each time, because the runs there reserve
// more than a room that has shrunk.
it('capacity: no filling task is claimed beside reservations beyond a shrunk room', () => {
  const running = list(place(join(createLeader(), 'w1'), jobOf('job1', [sized(2_000)])), 'w1');
  const shrunk = report(running, 'w1', { processorsMilli: 1_500 });
  const waiting = submit(shrunk, jobOf('job2', [sized(500, 1, { fillsIdle: true })]));
  expect(siteOf(waiting, OTHER)).to.equal(undefined);
  expect(siteOf(join(waiting, 'w2'), OTHER)).to.equal('w2');
});
