import type { EventFields } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import { chainAfter, chainAll } from '@bronzeyoke/types';
import type { RunnerMessage } from '@bronzeyoke/wire';
import { parseTaskName } from '@bronzeyoke/workflow';
import { List } from 'immutable';
import { lateStartsOn } from './latestarts';
import type { ActionScope } from '../leadership/pending';
import { releaseEndedRuns, releaseWorker } from './release';
import { isServedElsewhere } from './stale';
import { runsOn } from '../runs';
import { addPostCommitAction, withEffects } from '../state';
import { recordCrashes } from '../jobs/suspects';
import type { GoneReport, SchedulerEffect, SchedulerState, SchedulerStep } from '../types';

/** An agent's message about the end of its worker. */
type EndMessage = Extract<RunnerMessage, { readonly kind: 'workerEnded' | 'workerGone' }>;

/** Returns whether a message tells of the end of a worker. */
export function isAboutEnd(message: RunnerMessage): message is EndMessage {
  return message.kind === 'workerEnded' || message.kind === 'workerGone';
}

/** Returns what an agent says of the end of its worker. */
export function goneReportOf(linkId: string, message: EndMessage): GoneReport {
  const { workerKey, cause, reason, recentStarts } = message;
  const openRuns = message.kind === 'workerEnded' ? message.openRuns : [];
  return { linkId, workerKey, cause, reason, recentStarts, openRuns };
}

/** Identifies a message that a worker is gone. */
type GoneRef = Pick<GoneReport, 'linkId' | 'workerKey'>;

function isSameReport(left: GoneRef, right: GoneRef): boolean {
  return left.linkId === right.linkId && left.workerKey === right.workerKey;
}

/** Records the latest message about a worker that has ended until the runs are loaded. */
export function recordGoneWorker(state: SchedulerState, report: GoneReport): SchedulerState {
  const { goneReports = [] } = state.loading;
  const others = goneReports.filter((other) => !isSameReport(other, report));
  return { ...state, loading: { ...state.loading, goneReports: [...others, report] } };
}

/** Logs a crash of a known worker, with the runs that it had just begun. */
function logCrash(
  state: SchedulerState,
  { workerKey, cause, recentStarts }: GoneReport,
): readonly SchedulerEffect[] {
  const view = state.workers.get(workerKey);
  if (cause !== 'crashed' || view === undefined || view.hasEnded === true) return [];
  const youngestMs = List(recentStarts)
    .map(({ ageMs }) => Math.round(ageMs))
    .min();
  const runs = runsOn(state.runs, workerKey).size;
  const fields = { worker: workerKey, runs, recentStarts: recentStarts.length };
  return [
    logEffect('workerCrashed', youngestMs === undefined ? fields : { ...fields, youngestMs }),
  ];
}

/** Returns the fields of a log line that name what the agent takes as the proof. */
function proofFields({ cause, reason }: GoneReport): EventFields {
  return { endReason: reason, cause };
}

function addressOf({ workers }: SchedulerState, workerKey: string): string {
  const { report, claimedAddress = '' } = workers.get(workerKey) ?? {};
  return report?.address ?? claimedAddress;
}

/** Handles the end of a worker while a later instance may still begin some of its runs. */
function onWorkerEnded(
  state: SchedulerState,
  report: GoneReport,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const { workerKey, openRuns } = report;
  const step = chainAll(state, [
    (current) => recordCrashes(current, report, addressOf(state, workerKey), nowMs, wallMs),
    (current) =>
      releaseEndedRuns(current, workerKey, openRuns, nowMs, 'workerGone', proofFields(report)),
  ]);
  return withEffects(step.state, [...logCrash(state, report), ...step.effects]);
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
  if (isServedElsewhere(state, report, nowMs)) {
    const fields = { worker: workerKey, endReason: report.reason };
    return withEffects(state, [logEffect('goneIgnored', fields)]);
  }
  const agentId = state.workers.get(workerKey)?.agentId;
  const openRuns = [...report.openRuns, ...lateStartsOn(state, workerKey, agentId, nowMs)];
  if (openRuns.length > 0) return onWorkerEnded(state, { ...report, openRuns }, nowMs, wallMs);
  const accused = report.recentStarts.flatMap(({ task }) => parseTaskName(task)?.jobId ?? []);
  const runs = runsOn(state.runs, workerKey);
  const released = runs.valueSeq().map(({ jobId }) => jobId);
  // Rows of an earlier release may still be pending.
  const wasReleased = runs.isEmpty() || state.workers.get(workerKey)?.hasEnded === true;
  const { state: recorded, effects } = chainAll(state, [
    (current) => recordCrashes(current, report, addressOf(state, workerKey), nowMs, wallMs),
    (current) => releaseWorker(current, workerKey, 'workerGone', nowMs, proofFields(report)),
  ]);
  // Agents repeat the message, and a transaction may take long.
  const isPending = recorded.pendingWrites.actions.some(
    ({ action }) => action.kind === 'confirmGone' && isSameReport(action, report),
  );
  if (isPending) return withEffects(recorded, effects);
  const action = { kind: 'confirmGone', linkId, workerKey } as const;
  const scope: ActionScope = wasReleased
    ? { kind: 'all' }
    : { kind: 'jobs', jobIds: [...new Set([...accused, ...released])] };
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
