import { expect } from 'chai';
import type { WorkflowJob } from '@bronzeyoke/workflow';
import type { Fixture } from './fixture';
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
  WALL_MS,
} from './fixture';

/** Lets time pass on an idle fleet: ticks, and reports of w1 that list all that it was told to run. */
function idle(fixture: Fixture, forMs: number): Fixture {
  const steps = Array.from({ length: Math.ceil(forMs / 100) }, (_, index) => index);
  return steps.reduce((known) => {
    const current = commitAll(advance(known, 100));
    const { runs, links } = current.state;
    const running = [...runs.byTask].map(([task, { attempt }]) => listedRun(task, attempt));
    const lastOrder = links.get('link-w1')?.lastOrder ?? 0;
    return commitAll(report(current, 'w1', { running, lastOrder }));
  }, fixture);
}

function startCount(fixture: Fixture): number {
  return sentMessages(fixture, 'start').length;
}

// Guards against an overdue job that waits on an idle fleet because no event starts a placement.
it('timed: a job that becomes overdue is placed without any other event', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const served = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [serving])));
  const pairs = served.state.pairs.set('s|f', { mean: 6, variance: 0.05 });
  const learned = { ...served, state: { ...served.state, pairs } };
  const filling = stageOf(1, { fillsIdle: true, image: 'f', estimateMs: 1_000 });
  const job = { ...jobOf('job2', [filling]), acceptedAtMs: WALL_MS + learned.nowMs };
  const waiting = commitAll(submit(learned, job));
  expect(startCount(waiting)).to.equal(1);
  expect(startCount(idle(waiting, 8_000))).to.equal(2);
});

// Guards against tasks that go on waiting when the quarantine of the last worker has ended.
it('timed: a task is placed when a quarantine ends', () => {
  const failing = ['a', 'b', 'c'].reduce(
    (current, jobId, index) => {
      const placed = commitAll(submit(current, jobOf(jobId, [stageOf(1)])));
      const ended = [
        {
          sequence: index + 1,
          task: `${jobId}.0.0.0`,
          attempt: 1,
          end: 'failed' as const,
          checkpoint: '',
        },
      ];
      return commitAll(report(placed, 'w1', { ended, lastOrder: index + 1 }));
    },
    report(createLeader(), 'w1'),
  );
  const before = startCount(failing);
  expect(startCount(idle(failing, 1_000))).to.equal(before);
  expect(startCount(idle(failing, 4_000))).to.equal(before + 3);
});

// Guards against a scheduled job that starts only when something else happens.
it('timed: a scheduled job starts when it is due', () => {
  const leader = report(createLeader(), 'w1');
  const schedule = {
    firstAtMs: WALL_MS + leader.nowMs + 2_000,
    periodMs: 60_000,
    occurrences: 2,
  };
  const job: WorkflowJob = { ...jobOf('job1', [stageOf(1)]), schedule };
  const waiting = idle(submit(leader, job), 1_900);
  expect(startCount(waiting)).to.equal(0);
  expect(startCount(idle(waiting, 200))).to.equal(1);
});
