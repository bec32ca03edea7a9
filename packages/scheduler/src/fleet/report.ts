import { logEffect } from '@bronzeyoke/telemetry';
import { chainAll, unchanged } from '@bronzeyoke/types';
import type { Report } from '@bronzeyoke/wire';
import { releaseEarlierInstances } from './earlierinstances';
import { hasNewerInstance, storeAddress, wasCompared } from './instances';
import { applyEnds } from './listedends';
import { updateListed } from './listedruns';
import { releaseMissingRuns } from './missingruns';
import { staleReason } from './stale';
import { keepUnwantedStarts } from './unwanted';
import { updateWorker } from './workerreport';
import { clearProvenRuns } from '../jobs/suspects';
import { orderHeldStarts } from '../leadership/postcommit';
import { putRun, runsOn } from '../runs';
import { withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';

/** Makes the runs of a worker with a new connection count as ordered before its first order. */
function resetOrders(state: SchedulerState, report: Report, linkId: string): SchedulerState {
  const known = state.workers.get(report.workerKey);
  if (known?.linkId === linkId) return state;
  return {
    ...state,
    runs: [...runsOn(state.runs, report.workerKey)].reduce(
      (table, [task, run]) => putRun(table, task, { ...run, order: 0 }),
      state.runs,
    ),
    orphans: [...runsOn(state.orphans, report.workerKey)].reduce(
      (table, [task, orphan]) => putRun(table, task, { ...orphan, order: 0 }),
      state.orphans,
    ),
  };
}

/** Applies an agent's report of its worker. */
export function onReport(
  state: SchedulerState,
  linkId: string,
  report: Report,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const { workerKey } = report;
  const isCompared = wasCompared(state, report);
  if (!isCompared && hasNewerInstance(state, report)) return unchanged(state);
  const reason = staleReason(state, linkId, report);
  if (reason !== undefined) {
    const fields = { worker: workerKey, agent: report.agentId, reason };
    return withEffects(state, [logEffect('reportIgnored', fields)]);
  }
  return chainAll(resetOrders(state, report, linkId), [
    (current) => unchanged(storeAddress(current, workerKey, report.worker.address)),
    (current) => updateWorker(current, linkId, report, nowMs, wallMs),
    (current) =>
      isCompared ? unchanged(current) : releaseEarlierInstances(current, report, nowMs),
    (current) => applyEnds(current, report, nowMs, wallMs),
    (current) => updateListed(current, workerKey, report.running, nowMs),
    (current) => unchanged(keepUnwantedStarts(current, report)),
    (current) => releaseMissingRuns(current, report, nowMs),
    (current) => clearProvenRuns(current, workerKey, nowMs),
    (current) => orderHeldStarts(current, workerKey, nowMs),
  ]);
}
