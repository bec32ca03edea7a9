import { MAX_LISTED_ENDS } from '@bronzeyoke/ports';
import { chainAll } from '@bronzeyoke/types';
import type { Report } from '@bronzeyoke/wire';
import { mayStartLate } from './latestarts';
import { releaseRun } from './release';
import { dropRuns, runKey, runsOn } from '../runs';
import type { SchedulerState, SchedulerStep } from '../types';

/** Releases runs whose orders have reached the agent and that its report does not list. */
export function releaseMissingRuns(
  state: SchedulerState,
  report: Report,
  nowMs: number,
): SchedulerStep {
  const { workerKey } = report;
  const known = new Set(
    [...report.running, ...report.pending, ...report.ended].map((run) => runKey(run)),
  );
  const isMissing = (run: { readonly attempt: number; readonly order: number }, task: string) =>
    run.order <= report.lastOrder && !known.has(runKey({ task, attempt: run.attempt }));
  // The end of a missing run may be among those that the worker has not listed yet.
  const listsAllEnds = report.ended.length < MAX_LISTED_ENDS;
  const missing = [...runsOn(state.runs, workerKey)]
    .filter(
      ([task, run]) =>
        listsAllEnds &&
        run.isOrdered &&
        isMissing(run, task) &&
        !mayStartLate(run, report.agentId, nowMs),
    )
    .map(([task]) => task);
  const occupying = new Set([...report.running, ...report.pending].map((run) => runKey(run)));
  const settled = [
    ...runsOn(state.orphans, workerKey)
      .filter((run, key) => run.order <= report.lastOrder && !occupying.has(key))
      .keys(),
  ];
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
