import { expect } from 'chai';
import type { ListedEnd, StoredRow } from '@bronzeyoke/ports';
import { jobKey, progressKey } from '@bronzeyoke/scheduler';
import type { TaskProgress } from '@bronzeyoke/workflow';
import { encodeProgress } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  advance,
  answerReads,
  commitAll,
  createLeader,
  createSuccessor,
  dispatch,
  jobOf,
  lastWritten,
  listedRun,
  loggedFields,
  phaseOf,
  report,
  sentMessages,
  siteOf,
  stageOf,
  submit,
  TASK,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const JOB = jobOf('job1', [stageOf(2)]);
const OTHER = 'job1.0.0.1';

/** A definition of another build. */
const UNREADABLE = { ...JOB, stages: 'later' };

const DONE: TaskProgress = { phase: 'done', attempt: 1, failures: 0 };

function runningOn(site: string): TaskProgress {
  return { phase: 'running', attempt: 3, failures: 0, workerKey: workerKeyFor(site) };
}

function definition(value: unknown, version = 8): StoredRow {
  return { ...jobKey('job1'), version, value };
}

function deliver(fixture: Fixture, rows: readonly StoredRow[], isFull = false): Fixture {
  const wallMs = WALL_MS + fixture.nowMs;
  return commitAll(dispatch(fixture, { kind: 'jobRows', isFull, rows, wallMs }));
}

function cancel(fixture: Fixture): Fixture {
  const key = { table: 'job', partition: 'main', key: 'job1/cancel' };
  return deliver(fixture, [{ ...key, version: 13, value: {} }]);
}

/** Returns a new leader that has read the progress of job1's tasks and some rows of the job table. */
function loadedWith(
  tasks: Readonly<Record<string, TaskProgress>>,
  rows: readonly StoredRow[],
): Fixture {
  const value = encodeProgress({ tasks: new Map(Object.entries(tasks)) });
  const row = { ...progressKey('job1'), version: 9, value };
  const loaded = deliver(answerReads(createSuccessor(), [row], WALL_MS), rows, true);
  return commitAll(report(commitAll(report(loaded, 'w2')), 'w1'));
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

function startedTasks(fixture: Fixture): readonly string[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'start' ? [effect.message.run.task] : [],
  );
}

// Guards against second runs of all tasks of a job whose definition could not be decoded by its leader.
it('undecoded: a job keeps its progress when its definition can be decoded', () => {
  const held = loadedWith({ '0.0.0': DONE }, [definition(UNREADABLE)]);
  const opened = commitAll(advance(deliver(held, [definition(JOB, 12)]), 500));
  expect(phaseOf(opened)).to.equal('done');
  expect(startedTasks(opened)).to.deep.equal([OTHER]);
});

// Guards against a job that starts from nothing because its definition was missing when its leader loaded.
it('undecoded: a definition that comes after the load gets the progress that was read', () => {
  const loaded = loadedWith({ '0.0.0': DONE }, []);
  const opened = commitAll(advance(deliver(loaded, [definition(JOB, 12)]), 500));
  expect(startedTasks(opened)).to.deep.equal([OTHER]);
});

// Guards against a leader that drops the rows that come while it still reads the progress.
it('undecoded: a definition that comes between the pages of a load gets its progress', () => {
  const first = deliver(createSuccessor(), [], true);
  const second = deliver(first, [definition(JOB)]);
  const value = encodeProgress({ tasks: new Map([['0.0.0', DONE]]) });
  const row = { ...progressKey('job1'), version: 9, value };
  const loaded = commitAll(answerReads(second, [row], WALL_MS));
  const placed = commitAll(advance(commitAll(report(loaded, 'w1')), 500));
  expect(startedTasks(placed)).to.deep.equal([OTHER]);
});

// Guards against runs that are stopped, or placed a second time, because only their leader can't decode them.
it('undecoded: listed runs go on, and belong to their job once it is opened', () => {
  const held = loadedWith({ '0.0.0': runningOn('w1') }, [definition(UNREADABLE)]);
  const listing = { running: [listedRun(TASK, 3)] };
  const listed = commitAll(
    report(advance(commitAll(report(held, 'w1', listing)), 1_000), 'w1', listing),
  );
  expect(sentMessages(listed, 'stop')).to.deep.equal([]);
  const opened = commitAll(report(deliver(listed, [definition(JOB, 12)]), 'w1', listing));
  expect(siteOf(opened, TASK)).to.equal('w1');
  expect(startedTasks(commitAll(advance(opened, 500)))).to.deep.equal([OTHER]);
});

// Guards against an end that a worker forgets although no row tells of it: its task would run again.
it('undecoded: an end is not acknowledged before it can be stored', () => {
  const held = loadedWith({ '0.0.0': runningOn('w1') }, [definition(UNREADABLE)]);
  const ended = [endOf('job9.0.0.0', 1), endOf(TASK, 2)];
  const listed = commitAll(report(held, 'w1', { ended }));
  expect(acknowledged(listed)).to.deep.equal([1]);
  const opened = deliver(listed, [definition(JOB, 12)]);
  const stored = commitAll(report(opened, 'w1', { ended: ended.slice(1) }));
  expect(phaseOf(stored)).to.equal('done');
  expect(acknowledged(stored)).to.deep.equal([1, 2]);
});

// Guards against ends that a worker keeps for good, and against a cancelled job that runs in the end.
it('undecoded: a cancelled job keeps no ends, and ends when its definition can be decoded', () => {
  const held = loadedWith({ '0.0.0': runningOn('w1') }, [definition(UNREADABLE)]);
  const ended = [endOf(OTHER, 1)];
  const running = [listedRun(TASK, 3)];
  const listed = commitAll(report(held, 'w1', { ended, running }));
  expect(acknowledged(listed)).to.deep.equal([]);
  const cancelled = commitAll(report(advance(cancel(listed), 100), 'w1', { ended, running }));
  expect(acknowledged(cancelled)).to.deep.equal([1]);
  expect(sentMessages(cancelled, 'stop')).to.have.length(1);
  const decoded = commitAll(advance(deliver(cancelled, [definition(JOB, 14)]), 500));
  expect(startedTasks(decoded)).to.deep.equal([]);
  expect(lastWritten(decoded, progressKey('job1'))).to.include({ outcome: 'cancelled' });
});

// Guards against ends that a worker keeps for good after somebody has removed the row of their job.
it('undecoded: the ends of a job whose definition was removed are acknowledged', () => {
  const held = loadedWith({ '0.0.0': runningOn('w1') }, [definition(UNREADABLE)]);
  const ended = [endOf(TASK, 1)];
  const listed = commitAll(report(held, 'w1', { ended }));
  const removed = commitAll(report(deliver(listed, [], true), 'w1', { ended }));
  expect([acknowledged(listed), acknowledged(removed)]).to.deep.equal([[], [1]]);
});

// Guards against an open job that is taken for one that cannot be decoded.
it('undecoded: a later definition that cannot be decoded leaves an open job as it is', () => {
  const placed = commitAll(submit(commitAll(report(createLeader(), 'w1')), JOB));
  const spoiled = deliver(placed, [definition(UNREADABLE, 15)]);
  const ended = [{ ...endOf(TASK, 1), attempt: 1 }];
  const stored = commitAll(report(spoiled, 'w1', { ended, lastOrder: 2 }));
  expect(acknowledged(stored)).to.deep.equal([1]);
  expect(loggedFields(spoiled, 'malformed')).to.have.length(1);
});

// Guards against a feed that lost its history and delivers all rows again: no job may start from nothing.
it('undecoded: a full read while leading opens neither open nor ended jobs again', () => {
  const one = jobOf('job1', [stageOf(1)]);
  const placed = commitAll(submit(commitAll(report(createLeader(), 'w1')), one));
  const again = deliver(placed, [definition(one)], true);
  const ended = [{ ...endOf(TASK, 1), attempt: 1 }];
  const complete = commitAll(report(again, 'w1', { ended, lastOrder: 1 }));
  const late = commitAll(advance(deliver(complete, [definition(one)], true), 500));
  expect(startedTasks(late)).to.deep.equal([TASK]);
  expect([late.state.jobs.size, late.state.ended.size]).to.deep.equal([0, 1]);
});
