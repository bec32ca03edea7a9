import { chainAfter, unchanged } from '@bronzeyoke/types';
import type { Report } from '@bronzeyoke/wire';
import { earlierInstances, isReportedElsewhere, markCompared } from './instances';
import { lateStartsOn } from './latestarts';
import { moveListedRuns } from './move';
import { releaseEndedRuns, releaseWorker } from './release';
import type { SchedulerState, SchedulerStep } from '../types';

/**
 * Releases the earlier instances of a worker that the report proves to have ended, without the runs
 * that the worker lists.
 */
export function releaseEarlierInstances(
  state: SchedulerState,
  report: Report,
  nowMs: number,
): SchedulerStep {
  const earlier = earlierInstances(state.instances, report.worker);
  const ended = earlier.filter((key) => !isReportedElsewhere(state, key, report, nowMs));
  const released = chainAfter(
    moveListedRuns(state, ended, report, [...report.running, ...report.ended]),
    ended.map((workerKey) => (current: SchedulerState) => {
      const lateStarts = lateStartsOn(current, workerKey, report.agentId, nowMs);
      const proof = { endReason: 'laterReport', by: report.workerKey };
      return lateStarts.length > 0
        ? releaseEndedRuns(current, workerKey, lateStarts, nowMs, 'workerGone', proof)
        : releaseWorker(current, workerKey, 'workerGone', nowMs, proof);
    }),
  );
  if (ended.length < earlier.length) return released;
  return chainAfter(released, [(current) => unchanged(markCompared(current, report.workerKey))]);
}
