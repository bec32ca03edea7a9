import { expect } from 'chai';
import { lastingTasks, whereaboutsOf } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  dispatch,
  jobOf,
  loggedFields,
  report,
  sentMessages,
  stageOf,
  submit,
  WALL_MS,
} from './fixture';

/** Returns a leader that has stored a claim whose agent lost its connection before. */
function disconnected(stage = stageOf(1)): Fixture {
  const claimed = submit(report(createLeader(), 'w1'), jobOf('job1', [stage]));
  return commitAll(dispatch(claimed, { kind: 'linkClosed', linkId: 'link-w1' }));
}

/** Returns the reasons of the logged releases. */
function releaseReasons(fixture: Fixture): readonly unknown[] {
  return loggedFields(fixture, 'taskReleased').map(({ reason }) => reason);
}

// Guards against a connection that is replaced and undoes all claims that wait for the store, each of
// which then costs two more rows and a placement.
it('held start: a claim waits for the next connection of its agent', () => {
  const before = disconnected();
  expect(sentMessages(before, 'start')).to.have.length(0);
  const back = report(advance(before, 500), 'w1', { link: 'link-new' });
  expect(releaseReasons(back)).to.deep.equal([]);
  expect(sentMessages(back, 'start')).to.have.length(1);
  const again = report(advance(commitAll(back), 300), 'w1', { link: 'link-new', lastOrder: 0 });
  expect(sentMessages(again, 'start')).to.have.length(1);
});

// Guards against a task that waits for an agent that does not come back.
it('held start: a claim is given back when its agent stays away', () => {
  const before = disconnected();
  expect(releaseReasons(advance(before, 900))).to.deep.equal([]);
  const late = advance(before, 1_100);
  expect(releaseReasons(late)).to.deep.equal(['notConnected']);
  const back = report(advance(commitAll(late), 100), 'w1', { link: 'link-new' });
  expect(sentMessages(commitAll(back), 'start')).to.have.length(1);
});

// Guards against an order for a run that another instance has replaced meanwhile.
it('held start: a claim for an earlier instance is not ordered', () => {
  const back = report(advance(disconnected(), 500), 'w1', { link: 'link-new', bornAtMs: 9 });
  expect(releaseReasons(back)).to.deep.equal(['workerGone']);
  const later = advance(commitAll(back), 1_100);
  expect(releaseReasons(later)).to.deep.equal(['workerGone']);
  expect(sentMessages(later, 'start')).to.have.length(1);
});

// Guards against an order to an agent that was started anew and has no lease yet, which refuses it.
it('held start: a claim is ordered once the worker has its lease', () => {
  const claimed = submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)]));
  const closed = dispatch(claimed, { kind: 'linkClosed', linkId: 'link-w1' });
  const named = commitAll(advance(commitAll(closed), 900));
  const back = report(named, 'w1', { link: 'link-new' });
  expect(sentMessages(back, 'start')).to.have.length(0);
  const granted = commitAll(back);
  expect(sentMessages(granted, 'start')).to.have.length(1);
  expect(releaseReasons(granted)).to.deep.equal([]);
});

// Guards against a line that says a task waits for an agent although another claim has followed.
it('held start: an earlier claim does not tell where a task is', () => {
  const held = disconnected(stageOf(1, { isLasting: true }));
  const kindsOf = ({ state, nowMs }: Fixture): readonly string[] =>
    lastingTasks(state, WALL_MS + nowMs).map((task) => whereaboutsOf(state, task, nowMs).kind);
  expect(kindsOf(held)).to.deep.equal(['awaitingAgent']);
  const back = report(advance(held, 500), 'w1', { link: 'link-new', bornAtMs: 9 });
  expect(kindsOf(commitAll(back))).to.deep.equal(['starting']);
});
