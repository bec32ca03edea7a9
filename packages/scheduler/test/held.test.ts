import { expect } from 'chai';
import { jobKey, progressKey } from '@bronzeyoke/scheduler';
import type { TaskProgress } from '@bronzeyoke/workflow';
import { encodeProgress } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
import {
  acknowledgedEnds,
  advance,
  cancelHeld,
  commitAll,
  createLeader,
  dispatch,
  doneEnd,
  jobOf,
  lastWritten,
  listedRun,
  loadWithProgress,
  loggedFields,
  phaseOf,
  report,
  sentMessages,
  siteOf,
  stageOf,
  submit,
  TASK,
  UNREADABLE,
  WALL_MS,
  workerKeyFor,
} from './fixture';

const JOB = jobOf('job1', [stageOf(2)]);
const OTHER = 'job1.0.0.1';

/** Time after which the progress of held jobs is read again. */
const READ_INTERVAL_MS = 5_000;

/** Returns a new leader that has read a row of job1's progress, with w1 and w2 in reach. */
function loadedWith(value: unknown): Fixture {
  const loaded = loadWithProgress(JOB, value);
  return commitAll(report(commitAll(report(loaded, 'w2')), 'w1'));
}

function runningOn(site: string): TaskProgress {
  return { phase: 'running', attempt: 3, failures: 0, workerKey: workerKeyFor(site) };
}

function progressValue(tasks: Readonly<Record<string, TaskProgress>>): unknown {
  return encodeProgress({ tasks: new Map(Object.entries(tasks)) });
}

/** Delivers the reply to the next read of the progress of held jobs. */
function reread(fixture: Fixture, value: unknown, version = 12): Fixture {
  const due = advance(fixture, READ_INTERVAL_MS);
  const row = { ...progressKey('job1'), version, value };
  const result = { kind: 'rows', rows: [row], version } as const;
  const event = { kind: 'rangeDone', callId: 'held-jobs', result, wallMs: WALL_MS } as const;
  return commitAll(dispatch(due, event));
}

// Guards against second runs of all tasks of a job whose progress this build cannot read, also of those
// that are done.
it('held: a job whose progress cannot be read is neither placed nor written', () => {
  const held = commitAll(advance(commitAll(advance(loadedWith(UNREADABLE), 500)), 3_000));
  expect(sentMessages(held, 'start')).to.deep.equal([]);
  expect(lastWritten(held, progressKey('job1'))).to.equal(undefined);
  expect(held.state.jobs.has('job1')).to.equal(false);
  const lines = loggedFields(held, 'jobHeld');
  expect(lines).to.deep.equal([{ job: 'job1', version: 9, queue: 'quick' }]);
});

// Guards against a stop of runs that only this leader does not know, and against tasks beside them.
it('held: runs of a held job that workers list go on and occupy their workers', () => {
  const listing = { running: [listedRun(TASK, 3)] };
  const listed = commitAll(report(loadedWith(UNREADABLE), 'w1', listing));
  const again = commitAll(report(advance(listed, 1_000), 'w1', listing));
  expect(sentMessages(again, 'stop')).to.deep.equal([]);
  const wide = jobOf('job2', [stageOf(8)]);
  const placed = commitAll(submit(again, wide));
  const onFirst = [...placed.state.runs.byTask.values()].filter(
    ({ workerKey }) => workerKey === workerKeyFor('w1'),
  );
  expect(onFirst).to.have.length(3);
});

// Guards against an end that a worker forgets although no row tells of it: its task would run again.
it('held: the end of a run of a held job is not acknowledged', () => {
  const ended = [doneEnd('job9.0.0.0', 1), doneEnd(TASK, 2), doneEnd('job9.0.0.1', 3)];
  const listed = commitAll(report(loadedWith(UNREADABLE), 'w1', { ended }));
  expect(acknowledgedEnds(listed)).to.deep.equal([1]);
  const progress = progressValue({ '0.0.0': runningOn('w1'), '0.0.1': runningOn('w1') });
  const opened = commitAll(report(reread(listed, progress), 'w1', { ended: ended.slice(1) }));
  expect(opened.state.jobs.get('job1')?.progress.tasks.get('0.0.0')?.phase).to.equal('done');
  expect(acknowledgedEnds(opened)).to.deep.equal([1, 3]);
});

// Guards against a job that stays held when its row can be read again, and against second runs then.
it('held: a job is opened with its runs once its progress can be read', () => {
  const listing = { running: [listedRun(TASK, 3)] };
  const listed = commitAll(report(loadedWith(UNREADABLE), 'w1', listing));
  const progress = progressValue({ '0.0.0': runningOn('w1') });
  const opened = commitAll(report(reread(listed, progress), 'w1', listing));
  expect(siteOf(opened, TASK)).to.equal('w1');
  expect(phaseOf(opened)).to.equal('running');
  expect(sentMessages(opened, 'stop')).to.deep.equal([]);
  expect(opened.state.orphans.byTask.size).to.equal(0);
  const later = commitAll(advance(opened, 500));
  expect(siteOf(later, OTHER)).to.not.equal(undefined);
  expect(sentMessages(later, 'start')).to.have.length(1);
});

// Guards against a task that waits for good for the end of a run that its worker does not have.
it('held: a run that its worker does not list is placed again after the job was opened', () => {
  const opened = reread(loadedWith(UNREADABLE), progressValue({ '0.0.0': runningOn('w1') }));
  const missing = commitAll(report(advance(opened, 100), 'w1'));
  expect(loggedFields(missing, 'taskReleased')[0]).to.include({ reason: 'neverStarted' });
});

// Guards against lines about one row again and again.
it('held: a row is logged once a version', () => {
  const same = reread(reread(loadedWith(UNREADABLE), UNREADABLE, 9), UNREADABLE, 9);
  expect(loggedFields(same, 'jobHeld')).to.have.length(1);
  const other = reread(same, UNREADABLE, 14);
  expect(loggedFields(other, 'jobHeld').map(({ version }) => version)).to.deep.equal([9, 14]);
});

// Guards against a caller who can't get rid of a held job, and against its runs that go on for good.
it('held: a held job can be cancelled, and its runs are stopped', () => {
  const listing = { running: [listedRun(TASK, 3)] };
  const listed = commitAll(report(loadedWith(UNREADABLE), 'w1', listing));
  const cancelled = commitAll(report(advance(cancelHeld(listed), 100), 'w1', listing));
  expect(lastWritten(cancelled, progressKey('job1'))).to.include({ outcome: 'cancelled' });
  expect(sentMessages(cancelled, 'stop')).to.have.length(1);
  expect(cancelled.state.ended.has('job1')).to.equal(true);
  const again = reread(cancelled, progressValue({}));
  expect(again.state.jobs.has('job1')).to.equal(false);
});

// Guards against ends that a worker keeps for good after their job was cancelled, and all later ones with them.
it('held: the ends of a held job are acknowledged once it is cancelled', () => {
  const ended = [doneEnd(TASK, 1), doneEnd('job9.0.0.0', 2)];
  const listed = commitAll(report(loadedWith(UNREADABLE), 'w1', { ended }));
  expect(acknowledgedEnds(listed)).to.deep.equal([]);
  const cancelled = commitAll(report(advance(cancelHeld(listed), 100), 'w1', { ended }));
  expect(acknowledgedEnds(cancelled)).to.deep.equal([2]);
});

// Guards against jobs that are held although nothing is wrong with their rows.
it('held: a job without a row, or with one of an earlier build, is not held', () => {
  const fresh = commitAll(submit(report(createLeader(), 'w1'), JOB));
  const former = loadedWith({ tasks: { '0.0.0': { phase: 'waiting', attempt: 1, failures: 0 } } });
  const all = [fresh, commitAll(advance(former, 500))];
  expect(all.map((fixture) => sentMessages(fixture, 'start').length)).to.deep.equal([2, 2]);
  expect(all.flatMap((fixture) => loggedFields(fixture, 'jobHeld'))).to.deep.equal([]);
});

// Guards against a full read of the jobs that opens a held one from nothing.
it('held: a job stays held when its definition is delivered again', () => {
  const rows = [{ ...jobKey('job1'), version: 8, value: JOB }];
  const again = dispatch(loadedWith(UNREADABLE), {
    kind: 'jobRows',
    isFull: true,
    rows,
    wallMs: WALL_MS,
  });
  expect(commitAll(advance(commitAll(again), 500)).state.jobs.has('job1')).to.equal(false);
});
