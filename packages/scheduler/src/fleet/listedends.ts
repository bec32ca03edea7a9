import { chainAll, unchanged } from '@bronzeyoke/types';
import type { Report } from '@bronzeyoke/wire';
import { parseTaskName } from '@bronzeyoke/workflow';
import type { ListedEnd } from '@bronzeyoke/ports';
import { logEndAfterRelease, showsLateRun } from './lateends';
import { logListedAfterRelease } from './releasedruns';
import { firstUnsettledEnd } from './unsettledends';
import { applyEnd } from '../jobs/ends';
import { isHeldTask } from '../jobs/held';
import { addPostCommitAction, withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';

/**
 * Returns the last end that is acknowledged. The worker has to keep those of held jobs, and successes that
 * must not count; an acknowledgement covers all ends before it.
 */
function lastAcknowledged(
  state: SchedulerState,
  report: Report,
  unsettled: ListedEnd | undefined,
  handledSequence: number,
): number {
  const held = report.ended.find(({ task }) => isHeldTask(state, task));
  const kept = [held, unsettled].flatMap((end) => (end === undefined ? [] : end.sequence - 1));
  return Math.min(handledSequence, ...kept);
}

/** Applies the ends that a worker lists and that were not handled yet. */
export function applyEnds(
  state: SchedulerState,
  report: Report,
  nowMs: number,
  wallMs: number,
): SchedulerStep {
  const { workerKey } = report;
  const view = state.workers.get(workerKey);
  const unhandled = report.ended.filter(({ sequence }) => sequence > (view?.handledSequence ?? 0));
  const last = unhandled.at(-1);
  if (view === undefined || last === undefined) return unchanged(state);
  const step = chainAll(
    state,
    unhandled.flatMap((ended) => [
      (current: SchedulerState) => logEndAfterRelease(current, { ...ended, workerKey }, nowMs),
      (current: SchedulerState) =>
        showsLateRun(ended.end)
          ? logListedAfterRelease(current, workerKey, ended, ended.end, nowMs)
          : unchanged(current),
      (current: SchedulerState) => applyEnd(current, { ...ended, workerKey }, nowMs, wallMs),
    ]),
  );
  const handled = step.state.workers.get(workerKey) ?? view;
  const updated: SchedulerState = {
    ...step.state,
    workers: step.state.workers.set(workerKey, { ...handled, handledSequence: last.sequence }),
    needsPlacement: true,
  };
  const unsettled = firstUnsettledEnd(state, report);
  const sequence = lastAcknowledged(state, report, unsettled, last.sequence);
  if (sequence < (report.ended[0]?.sequence ?? 0)) return withEffects(updated, step.effects);
  const jobIds = unhandled.flatMap(({ task }) => parseTaskName(task)?.jobId ?? []);
  return withEffects(
    addPostCommitAction(
      updated,
      { kind: 'acknowledge', workerKey, sequence },
      { kind: 'jobs', jobIds: [...new Set(jobIds)] },
    ),
    step.effects,
  );
}
