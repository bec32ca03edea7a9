import { logEffect } from '@bronzeyoke/telemetry';
import { chainAfter, chainAll } from '@bronzeyoke/types';
import { parseTaskName } from '@bronzeyoke/workflow';
import { List } from 'immutable';
import type { ActionScope } from './pending';
import { releaseWorker } from './release';
import { runsOn } from './runs';
import { addPostCommitAction, withEffects } from './state';
import { recordCrashes } from './suspects';
import type { GoneReport, SchedulerEffect, SchedulerState, SchedulerStep } from './types';

/** Identifies a message that a worker is gone. */
type GoneRef = Pick<GoneReport, 'linkId' | 'workerKey'>;

function isSameReport(left: GoneRef, right: GoneRef): boolean {
  return left.linkId === right.linkId && left.workerKey === right.workerKey;
}

/** Records a worker that is gone until the runs are loaded. */
export function recordGoneWorker(state: SchedulerState, report: GoneReport): SchedulerState {
  const { goneReports = [] } = state.loading;
  if (goneReports.some((other) => isSameReport(other, report))) return state;
  return { ...state, loading: { ...state.loading, goneReports: [...goneReports, report] } };
}

/** Logs a crash of a known worker, with the runs that it had just begun. */
function logCrash(
  state: SchedulerState,
  { workerKey, cause, recentStarts }: GoneReport,
): readonly SchedulerEffect[] {
  if (cause !== 'crashed' || !state.workers.has(workerKey)) return [];
  const youngestMs = List(recentStarts)
    .map(({ ageMs }) => Math.round(ageMs))
    .min();
  const runs = runsOn(state.runs, workerKey).size;
  const fields = { worker: workerKey, runs, recentStarts: recentStarts.length };
  return [
    logEffect('workerCrashed', youngestMs === undefined ? fields : { ...fields, youngestMs }),
  ];
}

/**
 * Releases the tasks of a worker that is gone, and confirms it after the next transaction, also when
 * there is nothing to release: only a successful transaction shows that this entry still leads.
 */
export function onWorkerGone(
  state: SchedulerState,
  report: GoneReport,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const { linkId, workerKey } = report;
  const accused = report.recentStarts.flatMap(({ task }) => parseTaskName(task)?.jobId ?? []);
  const released = runsOn(state.runs, workerKey)
    .valueSeq()
    .map(({ jobId }) => jobId);
  const jobIds = new Set([...accused, ...released]);
  const { report: worker, claimedAddress = '' } = state.workers.get(workerKey) ?? {};
  const address = worker?.address ?? claimedAddress;
  const { state: recorded, effects } = chainAll(state, [
    (current) => recordCrashes(current, report, address, nowMs, wallMs),
    (current) => releaseWorker(current, workerKey, 'workerGone', nowMs),
  ]);
  // Agents repeat the message, and a transaction may take long.
  const isPending = recorded.pendingWrites.actions.some(
    ({ action }) => action.kind === 'confirmGone' && isSameReport(action, report),
  );
  if (isPending) return withEffects(recorded, effects);
  const action = { kind: 'confirmGone', linkId, workerKey } as const;
  // Without runs to release, the rows of an earlier release may still be pending.
  const scope: ActionScope =
    jobIds.size === 0 ? { kind: 'all' } : { kind: 'jobs', jobIds: [...jobIds] };
  return withEffects(addPostCommitAction(recorded, action, scope), [
    ...logCrash(state, report),
    ...effects,
  ]);
}

/** Handles the workers that were reported as gone during a load that a step has finished. */
export function handleGoneReports(
  before: SchedulerState,
  step: SchedulerStep,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  if (before.phase !== 'loading' || step.state.phase !== 'leading') return step;
  return chainAfter(
    step,
    (before.loading.goneReports ?? []).map(
      (report) => (current: SchedulerState) => onWorkerGone(current, report, nowMs, wallMs),
    ),
  );
}
