import { unchanged } from '@bronzeyoke/types';
import type { RunnerMessage } from '@bronzeyoke/wire';
import type { RunnerEffect, RunnerState, RunnerStep, WorkerState } from './types';

/** Returns the effect that sends a message to the leader, or none without a connection. */
export function sendToLeader(state: RunnerState, message: RunnerMessage): readonly RunnerEffect[] {
  return state.isLinked ? [{ kind: 'send', message }] : [];
}

/** Returns the report of the worker to the leader, or none before the worker's first reply. */
export function reportEffects(state: RunnerState): readonly RunnerEffect[] {
  const { worker, settings, phase, term, lastOrder } = state;
  if (worker?.clockMs === undefined) return [];
  const { workerKey, report, clockMs, running, ended, lapsedSequence, pending } = worker;
  const hasLapsed = lapsedSequence >= (ended[0]?.sequence ?? Infinity);
  return sendToLeader(state, {
    kind: 'report',
    agentId: settings.agentId,
    term,
    workerKey,
    // The leader places nothing on a worker whose agent is about to exit.
    worker: phase === 'running' ? report : { ...report, isDraining: true },
    clockMs,
    running,
    ended,
    ...(hasLapsed ? { lapsedSequence } : {}),
    pending: pending
      .valueSeq()
      .map(({ run }) => run)
      .toArray(),
    lastOrder,
  });
}

function lastSequenceOf({ ended }: WorkerState): number {
  return ended.at(-1)?.sequence ?? 0;
}

/** Time between two reports of ends, which come one after the other while a wide stage ends. */
const END_INTERVAL_MS = 50;

/** Returns whether the leader has to see a list now: it names a new end, or the last report is old. */
function isReportDue(state: RunnerState, worker: WorkerState, nowMs: number): boolean {
  const { lastReport, reportIntervalMs, goneWorkers } = state;
  if (lastReport?.workerKey !== worker.workerKey || goneWorkers.length > 0) return true;
  const hasNewEnd = lastSequenceOf(worker) > lastReport.lastSequence;
  const intervalMs = hasNewEnd ? Math.min(END_INTERVAL_MS, reportIntervalMs) : reportIntervalMs;
  return nowMs - lastReport.atMs >= intervalMs;
}

/** Reports a list to the leader, as often as the leader asks for. An end is reported at once. */
export function reportIfDue(state: RunnerState, nowMs: number): RunnerStep {
  const { worker } = state;
  if (worker === undefined || !isReportDue(state, worker, nowMs)) return unchanged(state);
  const { workerKey } = worker;
  const lastReport = { workerKey, atMs: nowMs, lastSequence: lastSequenceOf(worker) };
  return { state: { ...state, lastReport }, effects: reportEffects(state) };
}
