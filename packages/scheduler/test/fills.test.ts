import { expect } from 'chai';
import { commitAll, jobOf, leader, listed, report, sent, stageOf, submit, wait } from './fixture';

const TASK = 'job1.0.0.0';

// Guards against a serving task that is harmed for long by what fills beside it.
it('holds back what fills beside a harmed task', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const filling = stageOf(1, { fillsIdle: true, image: 'f' });
  const placed = commitAll(
    submit(submit(report(leader(), 'w1'), jobOf('job1', [serving])), jobOf('job2', [filling])),
  );
  const runs = (load: number) => [listed(TASK, 1, { load }), listed('job2.0.0.0', 1)];
  const calm = report(wait(placed, 200), 'w1', { running: runs(40), lastOrder: 2 });
  const harmed = report(wait(calm, 1_000), 'w1', { running: runs(200), lastOrder: 2 });
  expect(sent(harmed, 'pace')).to.have.length(1);
});

// Guards against an overdue job that never runs because its tasks would disturb every worker.
it('runs an overdue job at a low pace beside a task that it harms, when there is no other place', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const filling = stageOf(2, { fillsIdle: true, image: 'f', estimateMs: 10 });
  const served = commitAll(submit(report(leader(), 'w1'), jobOf('job1', [serving])));
  const harm = { mean: 6, variance: 0.05 };
  const judged = {
    ...served,
    state: { ...served.state, pairs: served.state.pairs.set('s|f', harm) },
  };
  const inTime = jobOf('job2', [{ ...filling, estimateMs: 5_000 }]);
  const early = commitAll(submit(judged, inTime));
  expect(sent(early, 'start')).to.have.length(1);
  const late = { ...judged, nowMs: 5_000 };
  const alone = [listed(TASK, 1, { load: 10 })];
  const placed = commitAll(
    submit(report(late, 'w1', { running: alone, lastOrder: 1 }), jobOf('job2', [filling])),
  );
  expect(sent(placed, 'start')).to.have.length(2);
  const both = [...alone, listed('job2.0.0.0', 1)];
  const paced = report(wait(placed, 300), 'w1', { running: both, lastOrder: 2 });
  expect(sent(paced, 'pace')).to.have.length(1);
});

// Guards against a held task that waits on its worker while others of its image find a place elsewhere.
it('moves a held task that fits beside the others no more', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const filling = stageOf(2, { fillsIdle: true, image: 'f', savesCheckpoints: true });
  const placed = commitAll(
    submit(submit(report(leader(), 'w1'), jobOf('job1', [serving])), jobOf('job2', [filling])),
  );
  const pairs = placed.state.pairs
    .set('s|', { mean: 0.3, variance: 0.0001 })
    .set('s|f', { mean: 0.6, variance: 0.01 });
  const judged = { ...placed, state: { ...placed.state, pairs } };
  const told = (load: number) => ({
    running: [listed(TASK, 1, { load }), listed('job2.0.0.0', 1), listed('job2.0.0.1', 1)],
    lastOrder: 3,
  });
  const harmed = report(wait(judged, 300), 'w1', told(200));
  expect(sent(harmed, 'pace')).to.have.length(2);
  const calm = report(wait(harmed, 1_000), 'w1', told(40));
  expect(sent(calm, 'pace')).to.have.length(3);
  expect(sent(calm, 'stop')).to.have.length(0);
  const later = report(wait(calm, 300), 'w1', told(40));
  expect(sent(later, 'stop')).to.have.length(1);
});

// Guards against serving tasks that wait because filling tasks hold the memory.
it('stops filling tasks that keep an urgent one out by their memory', () => {
  const needs = { processorsMilli: 500, memoryMb: 3_500, accelerators: 0 };
  const filling = stageOf(2, { needs, fillsIdle: true, image: 'f', savesCheckpoints: true });
  const batch = jobOf('job2', [filling]);
  const placed = commitAll(
    submit(report(leader(), 'w1'), { ...batch, policy: { ...batch.policy, priority: 2 } }),
  );
  const running = [listed('job2.0.0.0', 1), listed('job2.0.0.1', 1)];
  const full = report(wait(placed, 100), 'w1', { running, lastOrder: 2 });
  const urgent = jobOf('job1', [stageOf(1, { needs: { ...needs, memoryMb: 4_000 } })]);
  const waiting = submit(full, urgent);
  expect(sent(waiting, 'stop')).to.have.length(1);
  const asked = commitAll(submit(waiting, jobOf('job3', [stageOf(1)])));
  expect(sent(asked, 'stop')).to.have.length(1);
  const ended = [
    { sequence: 1, task: 'job2.0.0.1', attempt: 1, end: 'stopped' as const, checkpoint: 'c' },
  ];
  const left = [listed('job2.0.0.0', 1)];
  const freed = commitAll(report(wait(asked, 300), 'w1', { running: left, ended, lastOrder: 2 }));
  expect(sent(freed, 'start').length - sent(asked, 'start').length).to.equal(2);
});

// Guards against a filling task without an image that counts as the serving image's own load.
it('learns nothing of pairs from filling tasks without an image', () => {
  const serving = stageOf(1, { isLasting: true, image: 's', latencyTargetMs: 100 });
  const placed = commitAll(
    submit(
      submit(report(leader(), 'w1'), jobOf('job1', [serving])),
      jobOf('job2', [stageOf(1, { fillsIdle: true })]),
    ),
  );
  const alone = [listed(TASK, 1, { load: 90 })];
  const both = [...alone, listed('job2.0.0.0', 1, { load: 1_000 })];
  const without = report(wait(placed, 300), 'w1', { running: alone, lastOrder: 2 });
  const beside = report(wait(placed, 300), 'w1', { running: both, lastOrder: 2 });
  expect(beside.state.pairs.toJS()).to.deep.equal(without.state.pairs.toJS());
});
