import { expect } from 'chai';
import { jobKey } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  jobOf,
  createLeader,
  dispatch,
  listedRun,
  loggedFields,
  report,
  sentMessages,
  stageOf,
  submit,
  TASK,
  WALL_MS,
} from './fixture';

// Guards against a serving task that filling tasks beside it harm for long.
it('pauses filling tasks beside a harmed task', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const filling = stageOf(1, { fillsIdle: true, image: 'f' });
  const placed = commitAll(
    submit(
      submit(report(createLeader(), 'w1'), jobOf('job1', [serving])),
      jobOf('job2', [filling]),
    ),
  );
  const runs = (load: number) => [listedRun(TASK, 1, { load }), listedRun('job2.0.0.0', 1)];
  const calm = report(advance(placed, 200), 'w1', { running: runs(40), lastOrder: 2 });
  const harmed = report(advance(calm, 1_000), 'w1', { running: runs(200), lastOrder: 2 });
  expect(sentMessages(harmed, 'pace')).to.have.length(1);
});

// Guards against an overdue job that never runs because its tasks would harm serving tasks on every worker.
it('runs an overdue job at a low pace beside a task that it harms, when no other worker fits', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const filling = stageOf(2, { fillsIdle: true, image: 'f', estimateMs: 10 });
  const served = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [serving])));
  const harm = { mean: 6, variance: 0.05 };
  const learned = {
    ...served,
    state: { ...served.state, pairs: served.state.pairs.set('s|f', harm) },
  };
  const inTime = jobOf('job2', [{ ...filling, estimateMs: 5_000 }]);
  const early = commitAll(submit(learned, inTime));
  expect(sentMessages(early, 'start')).to.have.length(1);
  const late = { ...learned, nowMs: 5_000 };
  const alone = [listedRun(TASK, 1, { load: 10 })];
  const placed = commitAll(
    submit(report(late, 'w1', { running: alone, lastOrder: 1 }), jobOf('job2', [filling])),
  );
  expect(sentMessages(placed, 'start')).to.have.length(2);
  const both = [...alone, listedRun('job2.0.0.0', 1)];
  const paced = report(advance(placed, 300), 'w1', { running: both, lastOrder: 2 });
  expect(sentMessages(paced, 'pace')).to.have.length(1);
});

/** Returns a leader with a serving task and two filling tasks that are learned to be too much for it. */
function besideServing(estimateMs: number): Fixture {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const changes = { fillsIdle: true, image: 'f', savesCheckpoints: true, estimateMs };
  const served = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [serving])));
  const withPair = (fixture: Fixture, mean: number): Fixture => {
    const pairs = fixture.state.pairs
      .set('s|', { mean: 0.3, variance: 0.0001 })
      .set('s|f', { mean, variance: 0.01 });
    return { ...fixture, state: { ...fixture.state, pairs } };
  };
  const placed = submit(withPair(served, 0.1), jobOf('job2', [stageOf(2, changes)]));
  return withPair(commitAll(placed), 0.6);
}

const FILLS = ['job2.0.0.0', 'job2.0.0.1'];

/** Reports the tasks of `besideServing`, with the tail latency of the serving one. */
function reportServing(fixture: Fixture, afterMs: number, load: number): Fixture {
  const running = [listedRun(TASK, 1, { load }), ...FILLS.map((task) => listedRun(task, 1))];
  return report(advance(fixture, afterMs), 'w1', { running, lastOrder: 3 });
}

// Guards against work that is stopped and begun elsewhere although it fits at a lower pace.
it('slows filling tasks down to a pace at which they fit beside a serving task', () => {
  const harmed = reportServing(besideServing(300), 300, 200);
  const slowed = loggedFields(harmed, 'taskPaced').map(({ percent }) => Number(percent));
  expect(slowed).to.have.length(2);
  slowed.forEach((percent) => expect(percent).to.be.within(0, 80));
  const calm = reportServing(harmed, 1_000, 40);
  const raised = loggedFields(calm, 'taskPaced').slice(2);
  raised.forEach(({ percent, reason }) => {
    expect(reason).to.equal('calm');
    expect(Number(percent)).to.be.within(30, 90);
  });
  expect(raised).to.have.length(2);
  expect(sentMessages(calm, 'stop')).to.have.length(0);
});

// Guards against a slowed task that takes long on its worker while others of its image are placed elsewhere.
it('moves one of the filling tasks that would take long at a pace at which they fit', () => {
  const harmed = reportServing(besideServing(8_000), 300, 200);
  expect(sentMessages(harmed, 'pace')).to.have.length(2);
  expect(sentMessages(harmed, 'stop')).to.have.length(0);
  const calm = reportServing(harmed, 1_000, 40);
  expect(sentMessages(calm, 'stop')).to.have.length(1);
  expect(loggedFields(calm, 'taskStopped')).to.have.length(1);
  const later = reportServing(calm, 1_000, 40);
  expect(loggedFields(later, 'taskStopped')).to.have.length(1);
  expect(loggedFields(later, 'taskPaced').at(-1)).to.include({ percent: 100, reason: 'calm' });
});

// Guards against a task that stays paused for good because the serving task beside it is loaded by itself.
it('moves a task that stays paused beside a serving task that is loaded by itself', () => {
  const at = (fixture: Fixture): Fixture => reportServing(fixture, 400, 88);
  const harmed = reportServing(besideServing(8_000), 300, 2_000);
  const loaded = Array.from({ length: 10 }).reduce<Fixture>(at, harmed);
  expect(loggedFields(loaded, 'taskStopped')).to.have.length(2);
});

// Guards against a pace order that overwrites the stop of the same report, so that the stop is ordered again.
it('stops long-slowed fills once', () => {
  const slowed = reportServing(besideServing(300), 300, 200);
  const moved = reportServing(slowed, 2_100, 2_000);
  expect(loggedFields(moved, 'taskStopped')).to.have.length(2);
  expect(loggedFields(moved, 'taskPaced')).to.have.length(2);
  const later = reportServing(moved, 2_100, 2_000);
  expect(loggedFields(later, 'taskStopped')).to.have.length(2);
});

// Guards against tasks that stay slow for good on a worker whose serving tasks were cancelled.
it('returns slowed tasks to full pace once no serving task is beside them', () => {
  const harmed = reportServing(besideServing(300), 300, 2_000);
  expect(sentMessages(harmed, 'pace')).to.have.length(2);
  const running = FILLS.map((task) => listedRun(task, 1));
  const alone = report(advance(harmed, 1_000), 'w1', { running, lastOrder: 3 });
  const raised = loggedFields(alone, 'taskPaced').slice(2);
  expect(raised.map(({ percent }) => percent)).to.deep.equal([100, 100]);
});

// Guards against a job that waits with nothing at work until it is far behind its objective.
it('runs a job at a low pace after some seconds without a place where it harms nothing', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const filling = stageOf(2, { fillsIdle: true, image: 'f', estimateMs: 60_000 });
  const served = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [serving])));
  const pairs = served.state.pairs.set('s|f', { mean: 6, variance: 0.05 });
  const learned = { ...served, state: { ...served.state, pairs } };
  const waiting = commitAll(submit(learned, jobOf('job2', [filling])));
  const keep = (fixture: Fixture): Fixture =>
    commitAll(
      report(advance(fixture, 500), 'w1', {
        running: [listedRun(TASK, 1, { load: 30 })],
        lastOrder: 1,
      }),
    );
  const later = Array.from({ length: 8 }).reduce<Fixture>(keep, waiting);
  expect(sentMessages(later, 'start')).to.have.length(1);
  const last = Array.from({ length: 4 }).reduce<Fixture>(keep, later);
  expect(sentMessages(last, 'start')).to.have.length(2);
});

// Guards against a last task that runs at a tenth of its pace for half a minute though it fits at a higher one.
it('raises the pace of a task of last resort as far as the serving task bears', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const filling = stageOf(1, { fillsIdle: true, image: 'f', estimateMs: 10 });
  const served = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [serving])));
  const pairs = served.state.pairs
    .set('s|', { mean: 0.3, variance: 0.0001 })
    .set('s|f', { mean: 1, variance: 0.01 });
  const late = { ...served, state: { ...served.state, pairs }, nowMs: 5_000 };
  const idle = { running: [listedRun(TASK, 1, { load: 40 })], lastOrder: 1 };
  const placed = commitAll(submit(report(late, 'w1', idle), jobOf('job2', [filling])));
  const both = [listedRun(TASK, 1, { load: 40 }), listedRun('job2.0.0.0', 1)];
  const at = (fixture: Fixture): Fixture =>
    report(advance(fixture, 800), 'w1', { running: both, lastOrder: 2 });
  const raised = Array.from({ length: 3 }).reduce<Fixture>(at, placed);
  const percents = loggedFields(raised, 'taskPaced').map(({ percent }) => Number(percent));
  expect(percents[0]).to.equal(10);
  expect(percents.at(-1)).to.be.within(50, 90);
});

// Guards against a burst of tasks of an unproven image beside one serving task.
it('tries one task of an unproven image beside a serving task', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const filling = stageOf(2, { fillsIdle: true, image: 'f' });
  const served = commitAll(submit(report(createLeader(), 'w1'), jobOf('job1', [serving])));
  const placed = commitAll(submit(served, jobOf('job2', [filling])));
  expect(sentMessages(placed, 'start')).to.have.length(2);
});

// Guards against serving tasks that wait because filling tasks hold the memory.
it('stops filling tasks whose memory an urgent task needs', () => {
  const needs = { processorsMilli: 500, memoryMb: 3_500, accelerators: 0 };
  const filling = stageOf(2, { needs, fillsIdle: true, image: 'f', savesCheckpoints: true });
  const batch = jobOf('job2', [filling]);
  const placed = commitAll(
    submit(report(createLeader(), 'w1'), { ...batch, policy: { ...batch.policy, priority: 2 } }),
  );
  const running = [listedRun('job2.0.0.0', 1), listedRun('job2.0.0.1', 1)];
  const full = report(advance(placed, 100), 'w1', { running, lastOrder: 2 });
  const urgent = jobOf('job1', [stageOf(1, { needs: { ...needs, memoryMb: 4_000 } })]);
  const waiting = submit(full, urgent);
  expect(sentMessages(waiting, 'stop')).to.have.length(1);
  const repeated = commitAll(submit(waiting, jobOf('job3', [stageOf(1)])));
  expect(sentMessages(repeated, 'stop')).to.have.length(1);
  const ended = [
    { sequence: 1, task: 'job2.0.0.1', attempt: 1, end: 'stopped' as const, checkpoint: 'c' },
  ];
  const left = [listedRun('job2.0.0.0', 1)];
  const freed = commitAll(
    report(advance(repeated, 300), 'w1', { running: left, ended, lastOrder: 2 }),
  );
  expect(sentMessages(freed, 'start').length - sentMessages(repeated, 'start').length).to.equal(2);
});

// Guards against the load of a filling task without an image that counts as the serving image's own.
it('learns nothing about pairs from filling tasks without an image', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const placed = commitAll(
    submit(
      submit(report(createLeader(), 'w1'), jobOf('job1', [serving])),
      jobOf('job2', [stageOf(1, { fillsIdle: true })]),
    ),
  );
  const alone = [listedRun(TASK, 1, { load: 90 })];
  const both = [...alone, listedRun('job2.0.0.0', 1, { load: 1_000 })];
  const withoutFill = report(advance(placed, 300), 'w1', { running: alone, lastOrder: 2 });
  const withFill = report(advance(placed, 300), 'w1', { running: both, lastOrder: 2 });
  expect(withFill.state.pairs.toJS()).to.deep.equal(withoutFill.state.pairs.toJS());
});

// Guards against a task that waits without end because it was stopped before its start was ordered.
it('places a task again that was stopped before its start order was sent', () => {
  const needs = { processorsMilli: 100, memoryMb: 260, accelerators: 0 };
  const filling = stageOf(1, { needs, fillsIdle: true, image: 'f' });
  const batch = Array.from({ length: 30 }, (_, index) => {
    const job = jobOf(`fill${index}`, [filling]);
    return { ...job, policy: { ...job.policy, priority: 2 } };
  });
  const leader = report(createLeader(), 'w1');
  const { version, nowMs } = leader;
  // The claims need two transactions, and the start orders follow the second one.
  const claimed = dispatch(leader, {
    kind: 'jobRows',
    isFull: false,
    rows: batch.map((job) => ({ ...jobKey(job.jobId), version, value: job })),
    wallMs: WALL_MS + nowMs,
  });
  const urgent = jobOf('urgent', [stageOf(1, { needs: { ...needs, memoryMb: 2_000 } })]);
  const stopped = commitAll(submit(claimed, urgent));
  expect(loggedFields(stopped, 'taskStopped').length).to.be.greaterThan(0);
  const running = [...stopped.state.runs.byTask]
    .filter(([, { isOrdered }]) => isOrdered)
    .map(([task, { attempt }]) => listedRun(task, attempt));
  const lastOrder = stopped.state.links.get('link-w1')?.lastOrder ?? 0;
  const listed = commitAll(report(advance(stopped, 100), 'w1', { running, lastOrder }));
  const unordered = listed.state.runs.byTask.filterNot(({ isOrdered }) => isOrdered);
  expect([...unordered.keys()]).to.deep.equal([]);
});
