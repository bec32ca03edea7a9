import type { RunEnd, Stage } from '@bronzeyoke/workflow';
import type { SchedulerState } from '../types';
import type { RunView } from '../views';

/** Delay before a task is placed again whose run ended by itself. */
const RESTART_BACK_OFF_MS = 200;

/** The longest delay. Lasting tasks may be away for 9 s, most of which a full fleet takes. */
const MAX_RESTART_BACK_OFF_MS = 1_600;

/** A run of a lasting task that ends sooner doubles the delay. */
const QUICK_END_MS = 5_000;

/** Time after which the quick ends of a task no longer count; longer than a run and a wait for a place. */
const QUICK_END_EXPIRY_MS = 15_000;

/** Returns whether a task is placed again after an end of its run, which is the run's own doing. */
function endsByItself({ isLasting }: Stage, end: RunEnd): boolean {
  return end === 'failed' || (isLasting && end === 'done');
}

function quickEndsOf(
  state: SchedulerState,
  task: string,
  run: RunView | undefined,
  nowMs: number,
): number {
  if (run === undefined || nowMs - run.claimedAtMs >= QUICK_END_MS) return 0;
  return (state.quickEnds.get(task)?.count ?? 0) + 1;
}

/** Delays the next placement of a task whose run ended by itself: longer each time for a crash loop. */
export function delayRestart(
  state: SchedulerState,
  { task, end, stage }: { readonly task: string; readonly end: RunEnd; readonly stage: Stage },
  nowMs: number,
): SchedulerState {
  if (!endsByItself(stage, end)) return state;
  const count = stage.isLasting ? quickEndsOf(state, task, state.runs.byTask.get(task), nowMs) : 0;
  const delayMs = Math.min(
    MAX_RESTART_BACK_OFF_MS,
    RESTART_BACK_OFF_MS * 2 ** Math.max(0, count - 1),
  );
  return {
    ...state,
    backOff: state.backOff.set(task, nowMs + delayMs),
    quickEnds:
      count === 0
        ? state.quickEnds.delete(task)
        : state.quickEnds.set(task, { count, lastAtMs: nowMs }),
  };
}

/** Forgets quick ends that are too old to count. */
export function forgetQuickEnds(state: SchedulerState, nowMs: number): SchedulerState {
  if (state.quickEnds.isEmpty()) return state;
  const quickEnds = state.quickEnds.filter(
    ({ lastAtMs }) => nowMs - lastAtMs < QUICK_END_EXPIRY_MS,
  );
  return { ...state, quickEnds };
}
