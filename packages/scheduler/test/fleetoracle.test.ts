import { expect } from 'chai';
import type { Stage } from '@bronzeyoke/workflow';
import { createLeader, listedRun, stageOf } from './fixture';
import type { WorkerRoom } from './fleetchecks';
import { hasPlaceByMove, hasPlaces } from './fleetchecks';
import { capacityOf, needsOf } from './fleetjobs';
import type { FleetOracle } from './fleetoracle';
import { createOracle } from './fleetoracle';
import type { FleetRun, FleetWorker } from './fleetworker';

const TASK = 'lasting.0.0.0';
const OTHER = 'lasting.0.0.1';

function lastingStage(cores: number, changes: Partial<Stage> = {}): Stage {
  return stageOf(2, { needs: needsOf(cores), isLasting: true, ...changes });
}

function runOf(task: string, stage: Stage): FleetRun {
  return { task, attempt: 1, stage, startedAtMs: 0, durationMs: Infinity, isStopping: false };
}

/** Returns a worker that does nothing, with some runs. */
function workerWith(site: string, cores: number, runs: readonly FleetRun[]): FleetWorker {
  const noop = (): void => {};
  return {
    site,
    key: `${site}@1`,
    capacity: capacityOf(cores),
    runs: () => new Map(runs.map((run) => [run.task, run])),
    isUp: () => true,
    isDraining: () => false,
    drain: noop,
    end: noop,
    finish: noop,
    receive: noop,
  };
}

function oracleOf(workers: readonly FleetWorker[], now: () => number = () => 1): FleetOracle {
  const { state } = createLeader();
  return createOracle({
    now,
    state: () => state,
    workers: () => workers,
    countsMoves: true,
  });
}

function kindsOf(oracle: FleetOracle): readonly string[] {
  return oracle.violations().map(({ kind }) => kind);
}

// Guards against an oracle that overlooks a task on two workers.
it('reports a task that runs twice', () => {
  const run = runOf(TASK, lastingStage(1));
  const [first, second] = [workerWith('w1', 4, [run]), workerWith('w2', 4, [run])];
  const oracle = oracleOf([first, second]);
  oracle.onStart(second, run);
  expect(kindsOf(oracle)).to.deep.equal(['doubleRun']);
});

// Guards against an oracle that overlooks a worker with more than it can run.
it('reports a worker that is given more than its capacity', () => {
  const runs = [runOf(TASK, lastingStage(3)), runOf(OTHER, lastingStage(3))] as const;
  const worker = workerWith('w1', 4, runs);
  const oracle = oracleOf([worker]);
  oracle.onStart(worker, runs[1]);
  expect(kindsOf(oracle)).to.deep.equal(['overCapacity']);
});

// Guards against an oracle that overlooks a second stop in a stage that allows one.
it('reports a stop beyond the limit of unavailable tasks', () => {
  const stage = lastingStage(1, { maxUnavailable: 1 });
  const oracle = oracleOf([]);
  oracle.onReport(
    'w1',
    [TASK, OTHER].map((task) => listedRun(task, 1, { percent: 100 })),
  );
  oracle.onStopSent({ task: TASK, attempt: 1 }, stage);
  expect(kindsOf(oracle)).to.deep.equal([]);
  oracle.onStopSent({ task: OTHER, attempt: 1 }, stage);
  expect(kindsOf(oracle)).to.deep.equal(['stoppedBeyondLimit']);
});

// Guards against an oracle that overlooks the stop of a task that has to stay available.
it('reports a stop in a stage without a limit of unavailable tasks', () => {
  const oracle = oracleOf([]);
  oracle.onReport(
    'w1',
    [TASK, OTHER].map((task) => listedRun(task, 1, { percent: 100 })),
  );
  oracle.onStopSent({ task: TASK, attempt: 1 }, lastingStage(1));
  expect(kindsOf(oracle)).to.deep.equal(['stoppedBeyondLimit']);
});

/** Plays a success at 2 s, and a second start at 9 s; the acknowledgement comes at a time, if ever. */
function playRepeat(stage: Stage, notedAtMs?: number): FleetOracle {
  const clock = { nowMs: 1_000 };
  const run = runOf(TASK, stage);
  const [first, second] = [workerWith('w1', 4, []), workerWith('w2', 4, [])];
  const oracle = oracleOf([first, second], () => clock.nowMs);
  const acknowledge = (): void => {
    clock.nowMs = notedAtMs ?? 0;
    oracle.onAcknowledged({ sequence: 1, task: TASK, attempt: 1, end: 'done', checkpoint: '' });
  };
  const isBefore = notedAtMs !== undefined && notedAtMs < 9_000;
  oracle.onStart(first, run);
  clock.nowMs = 2_000;
  oracle.onEnd(run, 'done');
  if (isBefore) acknowledge();
  clock.nowMs = 9_000;
  oracle.onStart(second, { ...run, attempt: 2 });
  if (notedAtMs !== undefined && !isBefore) acknowledge();
  return oracle;
}

// Guards against an oracle that overlooks a second run of a task that is done.
it('reports a task that runs after its end was acknowledged', () => {
  expect(kindsOf(playRepeat(stageOf(1), 3_000))).to.deep.equal(['ranAfterEnd']);
  expect(kindsOf(playRepeat(stageOf(1), 8_900))).to.deep.equal(['ranAfterEnd']);
});

// Guards against an oracle that overlooks a second run whose task turns out to be done.
it('reports a task that runs after an end that is acknowledged later', () => {
  expect(kindsOf(playRepeat(stageOf(1), 9_500))).to.deep.equal(['ranAfterEnd']);
});

// Guards against an oracle that reports a task whose end nobody has acknowledged, or one that lasts.
it('reports no second run after an end without acknowledgement, or of a lasting task', () => {
  expect(kindsOf(playRepeat(stageOf(1)))).to.deep.equal([]);
  expect(kindsOf(playRepeat(lastingStage(1), 3_000))).to.deep.equal([]);
});

// Guards against places that the limit a worker, lasting tasks or the second place exclude.
it('counts places beside lasting tasks within the limit a worker', () => {
  const stage = lastingStage(3, { maxPerWorker: 1 });
  const room = (key: string, cores: number, tasks: readonly string[]): WorkerRoom => ({
    key,
    capacity: capacityOf(cores),
    placed: tasks.map((task) => ({ task, stage: lastingStage(3), isMovable: true })),
  });
  const free = [room('w1', 4, []), room('w2', 4, [])];
  expect(hasPlaces(TASK, stage, free)).to.equal(true);
  expect(hasPlaces(TASK, stage, free.slice(1))).to.equal(false);
  expect(hasPlaces(TASK, stage, [room('w1', 8, [OTHER]), room('w2', 4, [])])).to.equal(false);
  expect(hasPlaces(TASK, stage, [room('w1', 4, ['a.0.0.0']), room('w2', 4, [])])).to.equal(false);
});

// Guards against moves to a worker that has no place for the moved task.
it('counts the move of another task only when it fits elsewhere', () => {
  const stage = lastingStage(3, { maxPerWorker: 1 });
  const moved = { task: 'a.0.0.0', stage: lastingStage(3), isMovable: true };
  const sibling = { task: OTHER, stage: lastingStage(3), isMovable: false };
  const rooms = (cores: number): readonly WorkerRoom[] => [
    { key: 'w1', capacity: capacityOf(4), placed: [moved] },
    { key: 'w2', capacity: capacityOf(cores), placed: [sibling] },
  ];
  expect(hasPlaceByMove(TASK, stage, rooms(6))).to.equal(true);
  expect(hasPlaceByMove(TASK, stage, rooms(5))).to.equal(false);
});
