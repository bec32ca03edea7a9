import type { RepeatedTask, RepeatKind } from '@bronzeyoke/runhistory';
import { findRepeatedTasks } from '@bronzeyoke/runhistory';
import { isLasting } from './jobs';
import type { Run } from './runs';
import { ofKind, runsOf } from './runs';
import type { SoakObservation } from './types';

/** Kinds of starts after a success, from the worst to the most harmless. */
const REPEAT_KINDS: readonly RepeatKind[] = ['counted', 'unnoted', 'justNoted', 'lapsed'];

/** Starts of one kind after a success, and the work done in them. */
export interface RepeatCount {
  readonly kind: RepeatKind;
  readonly starts: number;
  readonly workMs: number;
}

/** Finds the starts of tasks after a success. Lasting tasks succeed more than once and are left out. */
export function findRepeats(
  observations: readonly SoakObservation[],
): readonly RepeatedTask<Run>[] {
  const runs = runsOf(observations).filter(({ task }) => !isLasting(task));
  return findRepeatedTasks(runs, ofKind(observations, 'leaseLapsed'));
}

/** Counts starts after a success until `endMs`; one after several successes has the worst of their kinds. */
export function countRepeats(
  repeats: readonly RepeatedTask<Run>[],
  endMs: number,
): readonly RepeatCount[] {
  const kinds = new Map(
    REPEAT_KINDS.toReversed()
      .flatMap((kind) => repeats.filter((repeat) => repeat.kind === kind))
      .map(({ kind, later }) => [later, kind]),
  );
  return REPEAT_KINDS.map((kind) => {
    const starts = [...kinds].filter(([, kindOfStart]) => kindOfStart === kind);
    const workMs = starts.reduce(
      (sum, [{ fromMs, untilMs }]) => sum + Math.min(untilMs, endMs) - fromMs,
      0,
    );
    return { kind, starts: starts.length, workMs };
  });
}
