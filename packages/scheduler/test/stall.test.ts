import { expect } from 'chai';
import type { Stage } from '@bronzeyoke/workflow';
import type { Fixture, ReportFields } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  jobOf,
  listedRun,
  report,
  sentMessages,
  stageOf,
  submit,
} from './fixture';

const TASK = 'job1.0.0.0';
const LIST_MS = 500;

/** Returns a leader with two workers, one of which runs the only task of job1. */
function running(changes: Partial<Stage>): Fixture {
  const idle = commitAll(report(report(createLeader(), 'w1'), 'w2'));
  return commitAll(submit(idle, jobOf('job1', [stageOf(1, changes)])));
}

function siteOf(fixture: Fixture): string {
  return fixture.state.runs.byTask.get(TASK)?.workerKey.split('@')[0] ?? 'none';
}

function attemptOf(fixture: Fixture): number {
  return fixture.state.jobs.get('job1')?.progress.tasks.get('0.0.0')?.attempt ?? 0;
}

/** Delivers reports of both workers, of which one has the task. */
function reportBoth(fixture: Fixture, fields: ReportFields): Fixture {
  const site = siteOf(fixture);
  const other = site === 'w1' ? 'w2' : 'w1';
  return commitAll(
    report(report(advance(fixture, LIST_MS), other, { lastOrder: 99 }), site, fields),
  );
}

/** Lets the worker of the task list it for some time, with one more percent every `stepMs`. */
function work(fixture: Fixture, forMs: number, stepMs: number): Fixture {
  return Array.from({ length: forMs / LIST_MS }, (_, index) => index).reduce((current, index) => {
    const percent = Math.floor((index * LIST_MS) / stepMs);
    const run = listedRun(TASK, attemptOf(current), { percent });
    const fields = { running: [run], lastOrder: 99 };
    return reportBoth(current, fields);
  }, fixture);
}

function stops(fixture: Fixture): number {
  return sentMessages(fixture, 'stop').length;
}

/** Ends the stopped run, so that the task starts again. */
function endStopped(fixture: Fixture): Fixture {
  const end = { sequence: attemptOf(fixture), task: TASK, attempt: attemptOf(fixture) };
  const ended = [{ ...end, end: 'stopped' as const, checkpoint: '' }];
  return commitAll(advance(reportBoth(fixture, { ended, lastOrder: 99 }), 500));
}

// Guards against a long task that is stopped and started from the beginning for good.
it('stall: a task of ten minutes is left to work, a percent every 6 s', () => {
  expect(stops(work(running({ estimateMs: 600_000 }), 60_000, 6_000))).to.equal(0);
});

// Guards against a short task that stands still until its objective has passed.
it('stall: a short task without progress is stopped after 2.5 s', () => {
  const early = work(running({ estimateMs: 2_000 }), 2_000, Infinity);
  expect(stops(early)).to.equal(0);
  expect(stops(work(early, 2_000, Infinity))).to.be.greaterThan(0);
});

// Guards against a long task that stands still for good.
it('stall: a long task without progress is stopped after four steps', () => {
  const early = work(running({ estimateMs: 600_000 }), 23_000, Infinity);
  expect(stops(early)).to.equal(0);
  expect(stops(work(early, 4_000, Infinity))).to.be.greaterThan(0);
});

// Guards against a task that is never done because its declared run time is far too short.
it('stall: the time without progress doubles with each stop', () => {
  const once = endStopped(work(running({ estimateMs: 1_000 }), 4_000, 6_000));
  expect(attemptOf(once)).to.equal(2);
  const twice = endStopped(work(once, 6_000, 6_000));
  expect(attemptOf(twice)).to.equal(3);
  const before = stops(twice);
  expect(stops(work(twice, 30_000, 6_000))).to.equal(before);
});

// Guards against a run that is stopped although it goes on at the pace that it has shown.
it('stall: a run may take four times as long for a step as it has taken before', () => {
  const steady = work(running({ estimateMs: 1_000 }), 20_000, 2_000);
  expect(stops(steady)).to.equal(0);
  const run = listedRun(TASK, 1, { percent: 9 });
  const slower = Array.from({ length: 12 }).reduce<Fixture>(
    (current) => reportBoth(current, { running: [run], lastOrder: 99 }),
    steady,
  );
  expect(stops(slower)).to.equal(0);
});
