import type { ListedEnd } from '@bronzeyoke/ports';
import type { Report } from '@bronzeyoke/wire';
import { knownTask } from './lateends';
import { runKey } from '../runs';
import { knownStage } from '../tasklog';
import type { SchedulerState } from '../types';

/**
 * Returns whether the task of a listed success was started again meanwhile. If its job is over, the release
 * of the run is all that is known.
 */
function isStartedAgain(state: SchedulerState, ended: ListedEnd): boolean {
  const { task, attempt } = ended;
  const stored = knownTask(state, task);
  if (stored === undefined) return state.released.has(runKey(ended));
  const stage = knownStage(state, ended);
  if (stage === undefined || stage.isLasting || stage.allowsCopies) return false;
  const run = state.runs.byTask.get(task);
  const isOnlyClaimed = run?.attempt === attempt + 1 && !run.isOrdered;
  return stored.attempt > attempt && !isOnlyClaimed;
}

/** Returns whether the lease of a worker has ended after an end of a run there, as its report proves. */
function hasLapsedSince({ ended, lapsedSequence = 0 }: Report, sequence: number): boolean {
  return (
    lapsedSequence >= sequence ||
    ended.some((later) => later.end === 'expired' && later.sequence > sequence)
  );
}

/**
 * Returns the first success that may not be acknowledged yet. Its task was started again, so it must never
 * count, which is certain once the lease of its worker has ended.
 */
export function firstUnsettledEnd(state: SchedulerState, report: Report): ListedEnd | undefined {
  return report.ended.find(
    (ended) =>
      ended.end === 'done' &&
      !hasLapsedSince(report, ended.sequence) &&
      isStartedAgain(state, ended),
  );
}
