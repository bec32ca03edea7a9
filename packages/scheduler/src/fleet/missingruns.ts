import { MAX_LISTED_ENDS } from '@bronzeyoke/ports';
import { chainAll, unchanged } from '@bronzeyoke/types';
import type { Report, RunRef } from '@bronzeyoke/wire';
import { mayStartLate } from './latestarts';
import { releaseRun } from './release';
import { dropRuns, runsOn } from '../runs';
import type { SchedulerState, SchedulerStep } from '../types';

/**
 * Returns whether a run is among some that a report lists, most of which have the attempt that the leader
 * knows.
 */
function createLookup(listed: readonly RunRef[]): (task: string, attempt: number) => boolean {
  const attempts = new Map(listed.map(({ task, attempt }) => [task, attempt]));
  return (task, attempt) =>
    attempts.get(task) === attempt ||
    (attempts.has(task) &&
      listed.some((other) => other.task === task && other.attempt === attempt));
}

/** Returns the runs that a report should list and does not. */
function findMissing(state: SchedulerState, report: Report, nowMs: number): readonly string[] {
  const { workerKey, agentId, lastOrder, running, pending, ended } = report;
  // The end of a missing run may be among those that the worker has not listed yet.
  if (ended.length >= MAX_LISTED_ENDS) return [];
  const isListed = createLookup([...running, ...pending, ...ended]);
  return [...runsOn(state.runs, workerKey)].flatMap(([task, run]) => {
    const isMissing = run.isOrdered && run.order <= lastOrder && !isListed(task, run.attempt);
    return isMissing && !mayStartLate(run, agentId, nowMs) ? [task] : [];
  });
}

/** Returns the keys of the unwanted runs that a report shows to have ended. */
function findSettled(
  { orphans }: SchedulerState,
  { workerKey, running, pending, lastOrder }: Report,
): readonly string[] {
  const unwanted = runsOn(orphans, workerKey);
  if (unwanted.isEmpty()) return [];
  const isOccupying = createLookup([...running, ...pending]);
  return [...unwanted].flatMap(([key, { task, attempt, order }]) =>
    order <= lastOrder && !isOccupying(task, attempt) ? [key] : [],
  );
}

/** Releases runs whose orders have reached the agent and that its report does not list. */
export function releaseMissingRuns(
  state: SchedulerState,
  report: Report,
  nowMs: number,
): SchedulerStep {
  const missing = findMissing(state, report, nowMs);
  const settled = findSettled(state, report);
  if (missing.length === 0 && settled.length === 0) return unchanged(state);
  const orphans = dropRuns(state.orphans, settled);
  const needsPlacement = state.needsPlacement || settled.length > 0;
  return chainAll(
    { ...state, orphans, needsPlacement },
    missing.map(
      (task) => (current: SchedulerState) =>
        releaseRun(current, task, 'neverStarted', nowMs, { lastOrder: report.lastOrder }),
    ),
  );
}
