import { expect } from 'chai';
import type { ListedRun } from '@bronzeyoke/ports';
import type { TaskProgress } from '@bronzeyoke/workflow';
import type { Fixture, ReportFields } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  createSuccessor,
  dispatch,
  goneMessage,
  jobOf,
  listedRun,
  load,
  report,
  sentMessages,
  sized,
  stageOf,
  submit,
  TIMES,
  WALL_MS,
  workerKeyFor,
} from './fixture';

/** A task that fills a worker. */
const WHOLE_MILLI = 4_000;

const END = { sequence: 1, attempt: 1, checkpoint: '' } as const;

function assigned(site: string): TaskProgress {
  return { phase: 'running', attempt: 1, failures: 0, workerKey: workerKeyFor(site) };
}

/** Returns a new leader; a job on w1 and w2 was cancelled while no entry led. */
function takenOver(): Fixture {
  const job = jobOf('job1', [sized(WHOLE_MILLI, 2)]);
  const tasks = { '0.0.0': assigned('w1'), '0.0.1': assigned('w2') };
  return commitAll(load(createSuccessor(), [job], { job1: tasks }, ['job1']));
}

/** Returns a leader with an idle worker. */
function idle(): Fixture {
  return commitAll(report(createLeader(), 'w1'));
}

/** Delivers a report of w1, and what the leader does after its next transaction. */
function reportAgain(fixture: Fixture, fields: ReportFields = {}, site = 'w1'): Fixture {
  return commitAll(report(advance(fixture, 300), site, { lastOrder: 99, ...fields }));
}

/** Hands in a job with a task that fills a worker. */
function submitNext(fixture: Fixture, jobId = 'next'): Fixture {
  return commitAll(submit(fixture, jobOf(jobId, [sized(WHOLE_MILLI)])));
}

/** Returns the tasks whose start the leader has ordered, in the last steps. */
function startedTasks(fixture: Fixture): readonly string[] {
  return fixture.state.runs.byTask
    .filter(({ isOrdered }) => isOrdered)
    .keySeq()
    .toArray();
}

function listing(...tasks: readonly string[]): { readonly running: readonly ListedRun[] } {
  return { running: tasks.map((task) => listedRun(task, 1)) };
}

// Guards against capacity that is lost for good when jobs are cancelled while no leader is at work.
it('orphans: a job cancelled during a takeover frees its workers once they have stopped', () => {
  const ends = { ended: [{ ...END, task: 'job1.0.0.0', end: 'stopped' as const }] };
  const reported = reportAgain(takenOver(), ends);
  expect(startedTasks(submitNext(reported))).to.deep.equal(['next.0.0.0']);
});

// Guards against a start beside a run that still stops.
it('orphans: runs of a job cancelled during a takeover occupy their workers until then', () => {
  const reported = submitNext(reportAgain(takenOver(), listing('job1.0.0.0')));
  expect(startedTasks(reported)).to.deep.equal([]);
  expect(startedTasks(reportAgain(reported))).to.deep.equal(['next.0.0.0']);
});

// Guards against runs of an ended job that are kept after the lease of their silent worker has ended.
it('orphans: a silent worker takes the runs of ended jobs with it', () => {
  const waited = advance(takenOver(), 2 * TIMES.agentLeaseMs + TIMES.marginMs + 10_000);
  expect(waited.state.orphans.byTask.size).to.equal(0);
  expect(waited.state.runs.byTask.size).to.equal(0);
});

// Guards against runs of an ended job that are kept when the worker was lost during the load.
it('orphans: a gone worker takes the runs of ended jobs with it', () => {
  const opened = dispatch(takenOver(), { kind: 'linkOpened', linkId: 'link-w1' });
  const gone = dispatch(opened, {
    kind: 'received',
    linkId: 'link-w1',
    message: goneMessage(workerKeyFor('w1')),
    wallMs: WALL_MS + opened.nowMs,
  });
  expect(gone.state.orphans.byTask.map(({ workerKey }) => workerKey).toArray()).to.deep.equal([
    ['job1.0.0.1#1', workerKeyFor('w2')],
  ]);
});

// Guards against a start beyond the capacity of a worker that runs what the leader before has ended.
it('orphans: a worker with runs of forgotten jobs gets nothing until these are gone', () => {
  const busy = submitNext(reportAgain(idle(), listing('old.0.0.0')));
  expect(startedTasks(busy)).to.deep.equal([]);
  expect(sentMessages(reportAgain(idle(), listing('old.0.0.0')), 'stop')).to.have.length(1);
  expect(startedTasks(reportAgain(busy))).to.deep.equal(['next.0.0.0']);
});

// Guards against a start beside one of the leader before that is still on its way.
it('orphans: a start on its way for a forgotten job keeps its worker', () => {
  const pending = [{ task: 'old.0.0.0', attempt: 1 }];
  const busy = submitNext(reportAgain(idle(), { pending }));
  expect(startedTasks(busy)).to.deep.equal([]);
  expect(startedTasks(reportAgain(busy))).to.deep.equal(['next.0.0.0']);
});

// Guards against a claim whose order follows although a run of unknown size has appeared meanwhile.
it('orphans: a claim is not ordered once its worker lists an unknown run', () => {
  const claimed = submit(idle(), jobOf('next', [sized(WHOLE_MILLI)]));
  const listed = commitAll(report(claimed, 'w1', listing('old.0.0.0')));
  expect(sentMessages(listed, 'start')).to.deep.equal([]);
});

// Guards against a worker that waits for the acknowledgement of an end before it is used again.
it('orphans: an end that is listed frees its worker', () => {
  const started = reportAgain(submitNext(idle(), 'job1'), listing('job1.0.0.0'));
  const row = { table: 'job', partition: 'main', key: 'job1/cancel', version: 40, value: {} };
  const wallMs = WALL_MS + started.nowMs;
  const event = { kind: 'jobRows', isFull: false, rows: [row], wallMs } as const;
  const waiting = submitNext(commitAll(dispatch(started, event)));
  expect(startedTasks(waiting)).to.deep.equal([]);
  const ends = { ended: [{ ...END, task: 'job1.0.0.0', end: 'stopped' as const }] };
  expect(startedTasks(reportAgain(waiting, ends))).to.deep.equal(['next.0.0.0']);
});

// Guards against a run of one attempt that hides the run of another attempt of its task.
it('orphans: two runs of one task occupy two workers', () => {
  const two = commitAll(report(idle(), 'w2'));
  const first = reportAgain(two, { running: [listedRun('old.0.0.0', 1)] });
  const both = reportAgain(first, { running: [listedRun('old.0.0.0', 2)] }, 'w2');
  expect(startedTasks(submitNext(both))).to.deep.equal([]);
});

// Guards against a start beside members of a gang that their worker still lists.
it('orphans: the members of a gang occupy their workers until each has ended there', () => {
  const gang = jobOf('job1', [stageOf(2, { ...sized(WHOLE_MILLI), taskCount: 2, isGang: true })]);
  const placed = commitAll(submit(commitAll(report(idle(), 'w2')), gang));
  const site = placed.state.runs.byTask.get('job1.0.0.0')?.workerKey.split('@')[0] ?? '';
  const other = site === 'w1' ? 'w2' : 'w1';
  const running = reportAgain(
    reportAgain(placed, listing('job1.0.0.0'), site),
    listing('job1.0.0.1'),
    other,
  );
  const ends = { ended: [{ ...END, task: 'job1.0.0.0', end: 'done' as const }] };
  const ended = reportAgain(running, ends, site);
  const next = submitNext(submitNext(ended), 'next2');
  expect(startedTasks(next)).to.have.length(1);
  expect(startedTasks(reportAgain(next, {}, other))).to.have.length(2);
});
