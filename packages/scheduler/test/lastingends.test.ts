import { expect } from 'chai';
import type { RunEnd, Stage } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  createSuccessor,
  dispatch,
  jobOf,
  lasting,
  listedRun,
  load,
  place,
  report,
  sized,
  stageOf,
  submit,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const TASK = 'job1.0.0.0';
const SLOT = '0.0.0';

function list(fixture: Fixture, attempt: number): Fixture {
  return commitAll(
    report(advance(fixture, 100), 'w1', {
      running: [listedRun(TASK, attempt, { percent: 100 })],
      lastOrder: 99,
    }),
  );
}

/** Returns a leader with a worker that runs the lasting task of job1. */
function running(changes: Partial<Stage> = {}): Fixture {
  const placed = place(report(createLeader(), 'w1'), lasting('job1', 1_000, 1, changes));
  return list(placed, 1);
}

/** Delivers the end of a run, and what the leader stores of it. */
function end(
  fixture: Fixture,
  attempt: number,
  how: RunEnd = 'done',
  checkpoint = '',
  task = TASK,
): Fixture {
  const ended = [{ sequence: 100 + attempt, task, attempt, end: how, checkpoint }];
  return commitAll(report(advance(fixture, 10), 'w1', { ended, lastOrder: 99 }));
}

function taskOf(fixture: Fixture, slot = SLOT) {
  return fixture.state.jobs.get('job1')?.progress.tasks.get(slot);
}

/** Returns the time from now on until the task has its next attempt. */
function restartDelayMs(fixture: Fixture, attempt: number): number {
  const steps = Array.from({ length: 400 }, (_, index) => (index + 1) * 10);
  const found = steps.reduce<{ fixture: Fixture; atMs: number | undefined }>(
    (known, atMs) => {
      if (known.atMs !== undefined) return known;
      const next = commitAll(advance(known.fixture, 10));
      return { fixture: next, atMs: taskOf(next)?.attempt === attempt ? atMs : undefined };
    },
    { fixture, atMs: undefined },
  );
  return found.atMs ?? Infinity;
}

// Guards against a lasting task that is never started again because its run ended as done.
it('lasting: a task that ends as done is started again', () => {
  const ended = end(running(), 1);
  expect(taskOf(ended)?.phase).to.equal('waiting');
  expect(ended.state.jobs.get('job1')?.progress.outcome).to.equal(undefined);
  expect(restartDelayMs(ended, 2)).to.be.at.most(500);
});

// Guards against a start every few milliseconds for a task that ends at once each time.
it('lasting: a task that ends at once again and again waits longer each time', () => {
  const ends: readonly RunEnd[] = ['done', 'failed', 'done', 'done', 'done', 'failed'];
  const { delaysMs } = ends.reduce(
    (known, how, index) => {
      const ended = end(known.fixture, index + 1, how);
      const delayMs = restartDelayMs(ended, index + 2);
      const placed = commitAll(advance(ended, delayMs));
      return { fixture: list(placed, index + 2), delaysMs: [...known.delaysMs, delayMs] };
    },
    { fixture: running(), delaysMs: [] as readonly number[] },
  );
  delaysMs.slice(1).forEach((delayMs, index) => {
    expect(delayMs).to.be.at.least(delaysMs[index] ?? 0);
  });
  expect(delaysMs.at(-1)).to.be.within(1_500, 2_000);
});

// Guards against a long delay after an end that follows hours of work.
it('lasting: an end after long work does not count as one of a crash loop', () => {
  const twice = list(commitAll(advance(end(list(running(), 1), 1), 400)), 2);
  const long = Array.from({ length: 60 }).reduce<Fixture>((current) => list(current, 2), twice);
  expect(restartDelayMs(end(long, 2), 3)).to.be.at.most(500);
});

// Guards against a task that counts as done after a late end of an earlier attempt.
it('lasting: a late end as done of an earlier attempt changes nothing', () => {
  const second = list(commitAll(advance(end(running(), 1, 'failed'), 500)), 2);
  expect(taskOf(second)?.attempt).to.equal(2);
  const late = commitAll(
    report(advance(second, 100), 'w1', {
      running: [listedRun(TASK, 2, { percent: 100 })],
      ended: [{ sequence: 300, task: TASK, attempt: 1, end: 'done', checkpoint: '' }],
      lastOrder: 99,
    }),
  );
  expect(taskOf(late)).to.include({ phase: 'running', attempt: 2 });
  expect(late.state.runs.byTask.get(TASK)?.attempt).to.equal(2);
});

// Guards against a restart of a cancelled job, and against one without the work that was saved.
it('lasting: a cancelled job is not started again, and a checkpoint is kept', () => {
  const saved = end(running({ savesCheckpoints: true }), 1, 'done', 'c7');
  expect(taskOf(saved)?.checkpoint).to.equal('c7');
  const row = { table: 'job', partition: 'main', key: 'job1/cancel', version: 40, value: {} };
  const started = running();
  const wallMs = WALL_MS + started.nowMs;
  const event = { kind: 'jobRows', isFull: false, rows: [row], wallMs } as const;
  const cancelled = end(dispatch(started, event), 1);
  expect(cancelled.state.ended.has('job1')).to.equal(true);
  expect(commitAll(advance(cancelled, 3_000)).state.runs.byTask.size).to.equal(0);
});

// Guards against members of a lasting gang that are left alone or counted as done.
it('lasting: a gang whose member ends as done is started again whole', () => {
  const gang = lasting('job1', 1_000, 2, { isGang: true });
  const placed = place(report(createLeader(), 'w1'), gang);
  const both = [TASK, 'job1.0.0.1'].map((task) => listedRun(task, 1, { percent: 100 }));
  const listed = commitAll(report(advance(placed, 100), 'w1', { running: both, lastOrder: 99 }));
  const ended = end(listed, 1);
  const again = commitAll(advance(commitAll(report(advance(ended, 500), 'w1', {})), 500));
  expect([SLOT, '0.0.1'].map((slot) => taskOf(again, slot)?.attempt)).to.deep.equal([2, 2]);
});

// Guards against a job that is complete although its lasting tasks have to go on.
it('lasting: a job with lasting and other stages is complete by none of its ends', () => {
  const mixed = jobOf('job1', [sized(1_000, 1, { isLasting: true }), sized(1_000, 1)]);
  const placed = place(report(createLeader(), 'w1'), mixed);
  const other = end(list(placed, 1), 1, 'done', '', 'job1.0.1.0');
  const ended = end(other, 1);
  expect(taskOf(ended, '0.1.0')?.phase).to.equal('done');
  expect(ended.state.jobs.get('job1')?.progress.outcome).to.equal(undefined);
});

// Guards against a lasting task that a new leader takes for done from a row of an earlier build.
it('lasting: a new leader starts a task again that its row counts as done', () => {
  const job = jobOf('job1', [sized(1_000, 1, { isLasting: true })]);
  const done = { phase: 'done', attempt: 1, failures: 0, workerKey: workerKeyFor('w1') } as const;
  const loaded = commitAll(load(createSuccessor(), [job], { job1: { [SLOT]: done } }));
  const started = commitAll(advance(commitAll(report(advance(loaded, 300), 'w1')), 500));
  expect(taskOf(started)?.attempt).to.equal(2);
});

// Guards against a stage that is not done because its other tasks end as done.
it('lasting: tasks that do not last still end as done', () => {
  const placed = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [stageOf(1)])));
  expect(end(list(placed, 1), 1).state.ended.has('job1')).to.equal(true);
});
