import { freeRoom } from '@bronzeyoke/placement';
import { logEffect } from '@bronzeyoke/telemetry';
import { unchanged } from '@bronzeyoke/types';
import { policyOf } from '../policy';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';

/** Returns the processors that a task of a waiting stage needs, by `searchKey`. */
function neededMilli(state: SchedulerState, key: string): number {
  const [jobId = '', , stageIndex = ''] = key.split('.');
  const stage = state.jobs.get(jobId)?.job.stages[Number(stageIndex)];
  return stage === undefined || stage.fillsIdle ? 0 : stage.needs.processorsMilli;
}

/** Logs the largest free gap against the largest task that waits for one, where the policy looks ahead. */
export function logGaps(state: SchedulerState): SchedulerStep {
  if (!policyOf(state.settings).looksAhead) return unchanged(state);
  const free = [...state.loads.values()].map(({ load }) => freeRoom(load).processorsMilli);
  const waiting = [...state.unplacedSince.keys()].map((key) => neededMilli(state, key));
  return withEffects(state, [
    logEffect('gapCounts', {
      largestFreeMilli: Math.max(0, ...free),
      largestWaitingMilli: Math.max(0, ...waiting),
      waitingStages: waiting.length,
    }),
  ]);
}
