import type { PairEstimates, PairObservation } from '@bronzeyoke/interference';
import { classifyFills, learnFrom, mergeFills } from '@bronzeyoke/interference';
import { logEffect } from '@bronzeyoke/telemetry';
import { putRun } from '../runs';
import { withEffects } from '../state';
import type { SchedulerEffect, SchedulerState, SchedulerStep } from '../types';
import type { ListedTask } from './runorders';

/** Returns a serving task's tail latency and the fills beside it, both over the last half second. */
export function observeTask(
  { stage, run }: ListedTask,
  fills: readonly ListedTask[],
  capacityMilli: number,
): PairObservation {
  return {
    servingImage: stage.image ?? '',
    ...(run.ownLoad === undefined ? {} : { own: run.ownLoad }),
    ratio: run.load / Math.max(1, stage.latencyTargetMs ?? 1),
    fills: mergeFills(
      fills.flatMap((fill) =>
        fill.stage.image === undefined
          ? []
          : [{ image: fill.stage.image, share: fill.run.load / capacityMilli }],
      ),
    ),
  };
}

/** Learns from the observations of a worker's serving tasks, of pairs of images and of each task. */
function learnEach(
  state: SchedulerState,
  serving: readonly ListedTask[],
  observations: readonly PairObservation[],
): Pick<SchedulerState, 'pairs' | 'runs'> {
  return observations.reduce<Pick<SchedulerState, 'pairs' | 'runs'>>(
    ({ pairs, runs }, observation, index) => {
      const listed = serving[index];
      const { estimates, own } = learnFrom(pairs, observation);
      if (listed === undefined) return { pairs: estimates, runs };
      const { task, run } = listed;
      return { pairs: estimates, runs: putRun(runs, task, { ...run, ownLoad: own }) };
    },
    { pairs: state.pairs, runs: state.runs },
  );
}

/** Returns log effects for the pairs whose verdict changed. */
function verdictLogs(
  before: PairEstimates,
  after: PairEstimates,
  observations: readonly PairObservation[],
): readonly SchedulerEffect[] {
  return observations.flatMap(({ servingImage, fills, ratio }) =>
    fills
      .map((fill) => ({ fill, verdict: classifyFills(after, servingImage, [fill]) }))
      .filter(({ fill, verdict }) => verdict !== classifyFills(before, servingImage, [fill]))
      .map(({ fill: { image, share }, verdict }) =>
        logEffect('pairLearned', { serving: servingImage, fill: image, share, verdict, ratio }),
      ),
  );
}

/** Learns from the latencies that a worker lists of its serving tasks, and logs the verdicts that change. */
export function learnPairs(
  state: SchedulerState,
  serving: readonly ListedTask[],
  observations: readonly PairObservation[],
): SchedulerStep {
  const learned = learnEach(state, serving, observations);
  const { pairs } = learned;
  return withEffects(
    { ...state, ...learned, arePairsDirty: state.arePairsDirty || pairs !== state.pairs },
    verdictLogs(state.pairs, pairs, observations),
  );
}
