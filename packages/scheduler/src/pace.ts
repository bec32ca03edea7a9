import type { PairObservation } from '@bronzeyoke/interference';
import { HARMED_RATIO, judgePair, observePairs, suspectsOf } from '@bronzeyoke/interference';
import { logEffect } from '@bronzeyoke/telemetry';
import { moveRun, parseTaskName, slotKey, taskOf, withTasks } from '@bronzeyoke/workflow';
import type { Stage } from '@bronzeyoke/workflow';
import { chain, stay, tellWorker, withEffects } from './state';
import type { RunView, SchedulerState, SchedulerStep } from './types';
import { runRef } from './types';

/** Loads are figures for the last half second, so a change shows only after that. */
const SETTLE_MS = 700;

/** How long the serving tasks of a worker have to be calm before a paced task works again. */
const CALM_MS = 1_500;

interface Listed {
  readonly task: string;
  readonly run: RunView;
  readonly stage: Stage;
}

function listedOn(state: SchedulerState, workerKey: string): readonly Listed[] {
  return state.runs
    .entrySeq()
    .flatMap(([task, run]): readonly Listed[] => {
      const ref = parseTaskName(task);
      const stage = ref === undefined ? undefined : state.jobs.get(ref.jobId)?.job.stages[ref.stage];
      const isHere = run.workerKey === workerKey && run.isListed;
      return isHere && stage !== undefined ? [{ task, run, stage }] : [];
    })
    .toArray();
}

function setPace(
  state: SchedulerState,
  { task, run }: Listed,
  percent: number,
  reason: string,
  nowMs: number,
): SchedulerStep {
  const { workerKey, attempt } = run;
  const ref = runRef(task, attempt);
  return withEffects(
    { ...state, runs: state.runs.set(task, { ...run, pace: percent, pacedAtMs: nowMs }) },
    [
      ...tellWorker(state, workerKey, { kind: 'pace', workerKey, run: ref, percent }),
      logEffect('taskPaced', { task, attempt, worker: workerKey, percent, reason }),
    ],
  );
}

/** Stops a run so that its task is placed elsewhere; the end that the worker lists gives it back. */
export function stopRun(
  state: SchedulerState,
  task: string,
  reason: string,
  nowMs: number,
): SchedulerStep {
  const ref = parseTaskName(task);
  const run = state.runs.get(task);
  const open = ref === undefined ? undefined : state.jobs.get(ref.jobId);
  if (ref === undefined || run === undefined || open === undefined) return stay(state);
  if (run.stopSentAtMs !== undefined) return stay(state);
  const slot = slotKey(ref.occurrence, ref.stage, ref.index);
  const stopping = moveRun(taskOf(open.progress, slot), 'stop');
  const progress = withTasks(open.progress, [[slot, stopping]]);
  const { workerKey, attempt } = run;
  return withEffects(
    {
      ...state,
      jobs: state.jobs.set(ref.jobId, { ...open, progress }),
      runs: state.runs.set(task, { ...run, stopSentAtMs: nowMs }),
    },
    [
      ...tellWorker(state, workerKey, { kind: 'stop', workerKey, run: runRef(task, attempt) }),
      logEffect('taskStopped', { job: ref.jobId, task, attempt, worker: workerKey, reason }),
    ],
  );
}

function observe(listed: readonly Listed[], serving: Listed, nowMs: number): PairObservation {
  const { image, latencyTargetMs } = serving.stage;
  const working = listed.filter(
    ({ stage, run }) =>
      stage.fillsIdle &&
      run.pace > 0 &&
      run.stopSentAtMs === undefined &&
      nowMs - Math.max(run.listedAtMs, run.pacedAtMs) >= SETTLE_MS,
  );
  return {
    servingImage: image ?? '',
    ratio: serving.run.load / Math.max(1, latencyTargetMs ?? 1),
    fillImages: working.flatMap(({ stage }) => (stage.image === undefined ? [] : [stage.image])),
  };
}

/** Holds the tasks back that disturb a serving task, and lets them go on or elsewhere once it is calm. */
export function paceWorker(state: SchedulerState, workerKey: string, nowMs: number): SchedulerStep {
  const listed = listedOn(state, workerKey);
  const serving = listed.filter(({ stage }) => stage.latencyTargetMs !== undefined);
  if (serving.length === 0) return stay(state);
  const observations = serving.map((task) => observe(listed, task, nowMs));
  const pairs = observations.reduce(observePairs, state.pairs);
  const learned = { ...state, pairs, arePairsDirty: state.arePairsDirty || pairs !== state.pairs };
  const harmed = observations.filter(({ ratio }) => ratio >= HARMED_RATIO);
  const fills = listed.filter(
    ({ stage, run }) => stage.fillsIdle && run.stopSentAtMs === undefined,
  );
  if (harmed.length > 0) {
    const beside = fills.flatMap(({ stage, run }) =>
      run.pace > 0 && stage.image !== undefined ? [stage.image] : [],
    );
    const culprits = new Set(
      harmed.flatMap((observation) =>
        suspectsOf(pairs, { ...observation, fillImages: beside }),
      ),
    );
    const paced = fills.filter(
      ({ stage, run }) => run.pace > 0 && (stage.image === undefined || culprits.has(stage.image)),
    );
    return chain(
      learned,
      paced.map((task) => (current: SchedulerState) => setPace(current, task, 0, 'harm', nowMs)),
    );
  }
  const waiting = fills.filter(({ run }) => run.pace === 0 && nowMs - run.pacedAtMs >= CALM_MS);
  const isHarmful = ({ stage }: Listed): boolean =>
    serving.some(
      (other) => judgePair(pairs, other.stage.image ?? '', stage.image ?? '') === 'harmful',
    );
  const [first] = waiting.filter((task) => !isHarmful(task));
  return chain(learned, [
    ...waiting
      .filter(isHarmful)
      .map(({ task }) => (current: SchedulerState) => stopRun(current, task, 'harm', nowMs)),
    ...(first === undefined
      ? []
      : [(current: SchedulerState) => setPace(current, first, 100, 'calm', nowMs)]),
  ]);
}
