import { taskKey } from '@bronzeyoke/types';
import type { TaskId } from '@bronzeyoke/types';
import type { TaskReport } from '@bronzeyoke/wire';
import { MAX_REPORTS, REPEATS_PER_TICK, REPORT_REPEAT_MS } from './limits';
import type { PendingReport, TasksEffect, TasksState, TasksStep } from './types';

function reportKey(id: TaskId, epoch: number): string {
  return `${taskKey(id)}@${epoch}`;
}

function reportEffects(links: readonly string[], pending: PendingReport): readonly TasksEffect[] {
  const { id, epoch, report } = pending;
  return links.map((linkId) => ({
    kind: 'send',
    linkId,
    message: { kind: 'taskReport', id, epoch, report },
  }));
}

/** Sends a report once. Nothing depends on its delivery. */
export function sendReport(
  state: TasksState,
  linkId: string | undefined,
  id: TaskId,
  epoch: number,
  report: TaskReport,
): TasksStep {
  const isOpen = linkId !== undefined && state.links.includes(linkId);
  const links = isOpen ? [linkId] : state.links;
  return { state, effects: reportEffects(links, { id, epoch, report, sentAtMs: 0 }) };
}

/** Sends the report of an ended task, and keeps it until an entry has recorded it. */
export function queueReport(
  state: TasksState,
  linkId: string | undefined,
  id: TaskId,
  epoch: number,
  report: TaskReport,
  nowMs: number,
): TasksStep {
  const step = sendReport(state, linkId, id, epoch, report);
  const reports = state.reports.set(reportKey(id, epoch), { id, epoch, report, sentAtMs: nowMs });
  return { state: { ...state, reports }, effects: step.effects };
}

/** Repeats the report of an ended run over one link, if no entry has recorded it yet. */
export function repeatReport(
  state: TasksState,
  linkId: string,
  id: TaskId,
  epoch: number,
): TasksStep | undefined {
  const pending = state.reports.get(reportKey(id, epoch));
  return pending === undefined ? undefined : { state, effects: reportEffects([linkId], pending) };
}

/** Removes a report that an entry recorded. A confirmation of another epoch changes nothing. */
export function confirmReport(state: TasksState, id: TaskId, epoch: number): TasksState {
  return { ...state, reports: state.reports.delete(reportKey(id, epoch)) };
}

/** Repeats the oldest reports over every open link, because the owner may have changed. */
export function repeatReports(state: TasksState, nowMs: number): TasksStep {
  if (state.links.length === 0) return { state, effects: [] };
  const due = state.reports
    .filter(({ sentAtMs }) => nowMs - sentAtMs >= REPORT_REPEAT_MS)
    .take(REPEATS_PER_TICK);
  const sent = due.map((pending) => ({ ...pending, sentAtMs: nowMs }));
  return {
    state: { ...state, reports: state.reports.deleteAll(due.keys()).merge(sent) },
    effects: due
      .valueSeq()
      .flatMap((pending) => reportEffects(state.links, pending))
      .toArray(),
  };
}

/** Returns whether the report of one more task could exceed the limit. */
export function isReportListFull(state: TasksState): boolean {
  return state.reports.size + state.records.size >= MAX_REPORTS;
}
