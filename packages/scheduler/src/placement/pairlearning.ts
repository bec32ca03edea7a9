import type { PairEstimates, PairObservation } from '@bronzeyoke/interference';
import { classifyFills, learnFrom, mergeFills } from '@bronzeyoke/interference';
import { logEffect } from '@bronzeyoke/telemetry';
import { updateRuns } from '../runs';
import { withEffects } from '../state';
import type { SchedulerEffect, SchedulerState, SchedulerStep } from '../types';
import type { RunView } from '../views';
import type { ListedTask } from './runorders';

/** Returns the tail latency of each serving task and the fills beside it, both over the last half second. */
export function observeTasks(
  serving: readonly ListedTask[],
  filling: readonly ListedTask[],
  capacityMilli: number,
): readonly PairObservation[] {
  const fills = mergeFills(
    filling.flatMap(({ stage: { image }, run }) =>
      image === undefined ? [] : [{ image, share: run.load / capacityMilli }],
    ),
  );
  return serving.map(({ stage, run }) => ({
    servingImage: stage.image ?? '',
    ...(run.ownLoad === undefined ? {} : { own: run.ownLoad }),
    ratio: run.load / Math.max(1, stage.latencyTargetMs ?? 1),
    fills,
  }));
}

/** Estimates after the observations of a worker's serving tasks, with that of each task's own load. */
interface Learned {
  readonly pairs: PairEstimates;
  readonly ownLoads: readonly (readonly [task: string, run: RunView])[];
}

/** Learns from the observations of a worker's serving tasks, of pairs of images and of each task. */
function learnEach(
  { pairs, runs }: SchedulerState,
  serving: readonly ListedTask[],
  observations: readonly PairObservation[],
): Pick<SchedulerState, 'pairs' | 'runs'> {
  const learned = serving.reduce<Learned>(
    (known, { task, run }, index) => {
      const observation = observations[index];
      if (observation === undefined) return known;
      const { estimates, own } = learnFrom(known.pairs, observation);
      return {
        pairs: estimates,
        ownLoads: [...known.ownLoads, [task, { ...run, ownLoad: own }]],
      };
    },
    { pairs, ownLoads: [] },
  );
  const workerKey = serving[0]?.run.workerKey ?? '';
  return { pairs: learned.pairs, runs: updateRuns(runs, workerKey, learned.ownLoads) };
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
