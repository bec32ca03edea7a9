import { chainAll, unchanged, without } from '@bronzeyoke/types';
import type { Stage } from '@bronzeyoke/workflow';
import { putRun } from '../runs';
import { sendToWorker, withEffects } from '../state';
import type { SchedulerState, SchedulerStep } from '../types';
import { runRef } from '../types';
import type { InheritedPace, RunView } from '../views';
import type { ListedTask } from './runorders';
import { listedTasks } from './runorders';

/** Time after which a pace order to an adopted run is sent again if it has no effect. */
const PACE_REPEAT_MS = 600;

/** Pace orders to one adopted run. All are sent before it can count as stalled. */
const MAX_INHERITED_ORDERS = 4;

/** Returns the pace orders that an adopted run needs; none unless the leader before may have paced it. */
export function inheritedPaceOf(
  stage: Stage,
  nowMs: number,
): { readonly inheritedPace?: InheritedPace } {
  return stage.fillsIdle
    ? { inheritedPace: { dueAtMs: nowMs, ordersLeft: MAX_INHERITED_ORDERS } }
    : {};
}

/**
 * Sends an adopted run the full pace that this leader assumes. The order is repeated while the run
 * neither progresses nor uses processors, because a run that stays paused would count as stalled and as
 * a failure of its worker. A lost order to a run at a low pace is not repeated: the run progresses, and
 * its load is known from the list.
 */
function resetInheritedPace(
  state: SchedulerState,
  { task, run }: ListedTask,
  nowMs: number,
): SchedulerStep {
  const { inheritedPace, workerKey, attempt } = run;
  if (inheritedPace === undefined || nowMs < inheritedPace.dueAtMs) return unchanged(state);
  const { ordersLeft } = inheritedPace;
  const isFirst = ordersLeft === MAX_INHERITED_ORDERS;
  const hasEffect = !isFirst && (run.load > 0 || run.percentAtMs > run.listedAtMs);
  if (hasEffect || ordersLeft === 0) {
    const known = without(run, 'inheritedPace');
    return unchanged({ ...state, runs: putRun(state.runs, task, known) });
  }
  const ordered: RunView = {
    ...run,
    // The time without progress counts from the first order; repeats must not extend it.
    pacedAtMs: isFirst ? nowMs : run.pacedAtMs,
    inheritedPace: { dueAtMs: nowMs + PACE_REPEAT_MS, ordersLeft: ordersLeft - 1 },
  };
  // Not logged: a new leader sends one for each filling task, and the lines would push out others.
  return withEffects(
    { ...state, runs: putRun(state.runs, task, ordered) },
    sendToWorker(state, workerKey, {
      kind: 'pace',
      workerKey,
      run: runRef(task, attempt),
      percent: run.pace,
    }),
  );
}

/** Resets the pace of adopted runs that no other decision has paced or stopped. */
export function resetInheritedPaces(
  state: SchedulerState,
  workerKey: string,
  nowMs: number,
): SchedulerStep {
  return chainAll(
    state,
    listedTasks(state, workerKey)
      .filter(({ run }) => run.stopSentAtMs === undefined)
      .map((listed) => (current: SchedulerState) => resetInheritedPace(current, listed, nowMs)),
  );
}
