import { hasRoom } from '@bronzeyoke/placement';
import type { PlacementPass } from './pass';
import { loadsOfService } from './pass';
import type { PlaceWait } from './placewait';
import { allowedLoads, slotOf } from './reserve';
import { MAX_LINES, roomFields, taskLog } from '../tasklog';
import type { SchedulerEffect, SchedulerState } from '../types';
import type { WaitingTask } from './waits';

/** Time after which a wait is logged. */
const LOG_AFTER_MS = 1_000;

function describeWait(
  pass: PlacementPass,
  waiting: WaitingTask,
  wait: PlaceWait,
  nowMs: number,
): SchedulerEffect {
  const { task, candidate } = waiting;
  const { jobId, ready, priority } = candidate;
  const target = slotOf(pass, waiting);
  const { stage } = ready;
  const loads = target === undefined ? [] : loadsOfService(pass, target.open);
  const allowed = target === undefined ? [] : allowedLoads(pass, target);
  return taskLog(stage, 'placeAwaited', {
    job: jobId,
    task,
    priority,
    ...roomFields(stage, loads),
    belowLimit: allowed.filter((load) => hasRoom(stage, load)).length,
    awaitedMs: Math.round(nowMs - wait.sinceMs),
    plan: wait.phase,
    worker: wait.workerKey ?? '',
  });
}

/** Logs waits that have become long, and the ends of such waits. */
export function logWaits(
  pass: PlacementPass,
  waiting: readonly WaitingTask[],
  nowMs: number,
): { readonly state: SchedulerState; readonly effects: readonly SchedulerEffect[] } {
  const known = waiting.flatMap((task) => {
    const wait = pass.state.waits.get(task.task);
    return wait === undefined ? [] : [{ task, wait }];
  });
  const isLate = ({ phase, isLogged, sinceMs }: PlaceWait): boolean =>
    phase !== 'claimed' && !isLogged && nowMs - sinceMs >= LOG_AFTER_MS;
  const late = known.filter(({ wait }) => isLate(wait)).slice(0, MAX_LINES);
  const found = known.filter(({ wait }) => wait.phase === 'claimed' && wait.isLogged);
  const waits = pass.state.waits
    .merge(late.map(({ task, wait }) => [task.task, { ...wait, isLogged: true }]))
    .merge(found.map(({ task, wait }) => [task.task, { ...wait, isLogged: false }]));
  return {
    state: { ...pass.state, waits },
    effects: [
      ...late.map(({ task, wait }) => describeWait(pass, task, wait, nowMs)),
      ...found.map(({ task: { task, candidate }, wait }) =>
        taskLog(candidate.ready.stage, 'placeFound', {
          job: candidate.jobId,
          task,
          worker: pass.state.runs.byTask.get(task)?.workerKey ?? '',
          awaitedMs: Math.round(nowMs - wait.sinceMs),
        }),
      ),
    ],
  };
}
