import { expect } from 'chai';
import type { ListedEnd } from '@bronzeyoke/ports';
import type { Stage } from '@bronzeyoke/workflow';
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
  submit,
  TASK,
} from './fixture';

const SUCCESS: ListedEnd = { sequence: 4, task: TASK, attempt: 1, end: 'done', checkpoint: '' };

/** Returns a leader that has released the task of the silent worker w1, and has one more task waiting. */
function createReleased(stage: Partial<Stage> = {}): Fixture {
  const placed = place(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1, stage)]));
  const released = advance(settle(placed, 'w1', progressing(TASK)), 6_000);
  expect(loggedFields(released, 'taskReleased')).to.have.length(1);
  return commitAll(released);
}

/** Returns a leader that has started the task again on w2. */
function createRestarted(stage: Partial<Stage> = {}): Fixture {
  const restarted = commitAll(report(createReleased(stage), 'w2'));
  expect(sentMessages(restarted, 'start')).to.have.length(2);
  return restarted;
}

/** Lets w1 list the success of its run once more, some time later. */
function listSuccess(fixture: Fixture, fields: Parameters<typeof report>[2] = {}): Fixture {
  const link = 'link-again';
  return commitAll(
    report(advance(fixture, 100), 'w1', { ended: [SUCCESS], link, lastOrder: 1, ...fields }),
  );
}

function acknowledged(fixture: Fixture): readonly number[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'acknowledge'
      ? [effect.message.sequence]
      : [],
  );
}

function grantsTo(fixture: Fixture, workerKey: string): number {
  return fixture.effects.filter(
    (effect) =>
      effect.kind === 'send' &&
      effect.message.kind === 'grant' &&
      effect.message.workerKey === workerKey,
  ).length;
}

// Guards against two runs of a task of which both count: the lease of the first worker was longer than the
// leader knew, and the success is acknowledged while it lasts.
it('unsettled ends: a success of a task that was started again waits for the end of the lease', () => {
  const restarted = createRestarted();
  const grants = grantsTo(restarted, 'w1@5');
  const listed = listSuccess(restarted);
  expect(loggedFields(listed, 'jobEnded')[0]).to.include({ outcome: 'complete' });
  const again = listSuccess(listSuccess(listed));
  expect(acknowledged(again)).to.deep.equal([]);
  expect(grantsTo(again, 'w1@5')).to.equal(grants);
  expect(loggedFields(again, 'lapseAwaited')).to.have.length(1);
});

// Guards against a worker that gets no lease for good, and an end that stays listed for good.
it('unsettled ends: a success is acknowledged once the lease has ended', () => {
  const restarted = createRestarted();
  const grants = grantsTo(restarted, 'w1@5');
  const lapsed = listSuccess(listSuccess(restarted), { lapsedSequence: SUCCESS.sequence });
  expect(acknowledged(lapsed)).to.deep.equal([4]);
  expect(grantsTo(lapsed, 'w1@5')).to.be.greaterThan(grants);
});

// Guards against a wait for a lease that has ended for certain, with a run that the worker lists as expired.
it('unsettled ends: a run that expired after the success proves the end of the lease', () => {
  const expired = { sequence: 5, task: 'job9.0.0.0', attempt: 1, end: 'expired', checkpoint: '' };
  const listed = listSuccess(createRestarted(), { ended: [SUCCESS, expired as ListedEnd] });
  expect(acknowledged(listed)).to.deep.equal([5]);
});

// Guards against an end that comes before the lease lapsed for another reason, and proves nothing.
it('unsettled ends: a run that expired before the success proves nothing', () => {
  const expired = { sequence: 3, task: 'job9.0.0.0', attempt: 1, end: 'expired', checkpoint: '' };
  const listed = listSuccess(createRestarted(), { ended: [expired as ListedEnd, SUCCESS] });
  expect(acknowledged(listed)).to.deep.equal([3]);
});

// Guards against tasks that begin on a worker whose lease is about to end.
it('unsettled ends: nothing is placed on a worker whose lease has to end', () => {
  const listed = listSuccess(createRestarted());
  const filled = jobOf('job2', [
    stageOf(8, { needs: { processorsMilli: 1_000, memoryMb: 1, accelerators: 0 } }),
  ]);
  const placed = commitAll(submit(listed, filled));
  const sites = Array.from({ length: 8 }, (_, index) => siteOf(placed, `job2.0.0.${index}`));
  expect(sites).to.not.include('w1');
  expect(sites).to.include('w2');
});

// Guards against leases that are withheld though nothing has run twice.
it('unsettled ends: a success of a task that waits or is only claimed is acknowledged at once', () => {
  expect(acknowledged(listSuccess(createReleased()))).to.deep.equal([4]);
  const claimed = report(createReleased(), 'w2');
  expect(claimed.state.runs.byTask.get(TASK)?.isOrdered).to.equal(false);
  const listed = report(advance(claimed, 10), 'w1', { ended: [SUCCESS], link: 'link-again' });
  expect(acknowledged(commitAll(listed))).to.deep.equal([4]);
});

// Guards against leases that are withheld for tasks that may run more than once.
it('unsettled ends: lasting tasks, and tasks with copies, are acknowledged at once', () => {
  expect(acknowledged(listSuccess(createRestarted({ isLasting: true })))).to.deep.equal([4]);
  expect(acknowledged(listSuccess(createRestarted({ allowsCopies: true })))).to.deep.equal([4]);
});
