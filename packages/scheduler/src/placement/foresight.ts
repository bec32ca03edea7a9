import type { ExpectedEnd, Outlook, TaskGroup } from '@bronzeyoke/placement';
import { largeDemands, NO_OUTLOOK } from '@bronzeyoke/placement';
import { sizeClassOf } from '@bronzeyoke/runtimes';
import type { Resources } from '@bronzeyoke/types';
import { addResources, memoize } from '@bronzeyoke/types';
import type { Stage } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import type { PlacementPass } from './pass';
import { serviceOf } from './pass';
import { policyOf } from '../policy';
import type { SchedulerState } from '../types';
import type { OpenJob } from '../views';

/** Time for which the sizes of the running tasks are kept. They change slowly, and there are many. */
const SIZES_KEPT_MS = 1_000;

/** Some tasks of one stage. */
interface SizedTasks {
  readonly open: OpenJob;
  readonly stage: Stage;
  readonly waitingCount: number;
  readonly runningCount: number;
}

function meanOf(needs: Resources, count: number): Resources {
  return {
    processorsMilli: needs.processorsMilli / count,
    memoryMb: needs.memoryMb / count,
    accelerators: needs.accelerators / count,
  };
}

/** Adds up tasks by service, label and size class. Each group has the mean needs of its tasks. */
function groupTasks(state: SchedulerState, tasks: readonly SizedTasks[]): readonly TaskGroup[] {
  const groups = tasks.reduce((known, { open, stage, waitingCount, runningCount }) => {
    const { requiredLabel, needs } = stage;
    const service = serviceOf(state, open);
    const key = `${service} ${requiredLabel ?? ''} ${sizeClassOf(needs.processorsMilli)}`;
    const group = known.get(key);
    const count = waitingCount + runningCount;
    const sum = {
      processorsMilli: needs.processorsMilli * count,
      memoryMb: needs.memoryMb * count,
      accelerators: needs.accelerators * count,
    };
    return known.set(key, {
      service,
      ...(requiredLabel === undefined ? {} : { requiredLabel }),
      needs: group === undefined ? sum : addResources(group.needs, sum),
      waitingCount: waitingCount + (group?.waitingCount ?? 0),
      runningCount: runningCount + (group?.runningCount ?? 0),
    });
  }, new Map<string, TaskGroup>());
  return [...groups.values()].map((group) => ({
    ...group,
    needs: meanOf(group.needs, group.waitingCount + group.runningCount),
  }));
}

/** Returns the state with the sizes of the tasks that run, if the policy looks ahead. */
export function withSizes(state: SchedulerState, nowMs: number): SchedulerState {
  const { runningSizes: known, settings } = state;
  if (!policyOf(settings).looksAhead) return state;
  if (known !== undefined && nowMs - known.atMs < SIZES_KEPT_MS) return state;
  const tasks = [...state.runs.byTask.values()].flatMap(({ jobId, stage }): SizedTasks[] => {
    const open = state.jobs.get(jobId);
    return open === undefined || stage.fillsIdle
      ? []
      : [{ open, stage, waitingCount: 0, runningCount: 1 }];
  });
  return { ...state, runningSizes: { groups: groupTasks(state, tasks), atMs: nowMs } };
}

/** Returns the tasks that wait for room of their own, by size. */
function waitingSizes(
  state: SchedulerState,
  candidates: readonly StageCandidate[],
): readonly TaskGroup[] {
  const tasks = candidates.flatMap(({ jobId, ready }): SizedTasks[] => {
    const open = state.jobs.get(jobId);
    const { stage, slots } = ready;
    return open === undefined || stage.fillsIdle
      ? []
      : [{ open, stage, waitingCount: slots.length, runningCount: 0 }];
  });
  return groupTasks(state, tasks);
}

/** Returns what waits and what ends soon; `NO_OUTLOOK` where the policy does not look ahead. */
export function openOutlook(
  state: SchedulerState,
  candidates: readonly StageCandidate[],
  { loads, occupancyOf }: Pick<PlacementPass, 'loads' | 'occupancyOf'>,
): Outlook {
  if (!policyOf(state.settings).looksAhead || candidates.length === 0) return NO_OUTLOOK;
  const groups = [...waitingSizes(state, candidates), ...(state.runningSizes?.groups ?? [])];
  const demands = largeDemands(groups, [...loads.values()]);
  if (demands.length === 0) return NO_OUTLOOK;
  const endsOn = memoize(
    (workerKey: string) => workerKey,
    (workerKey): readonly ExpectedEnd[] =>
      occupancyOf(workerKey).tenants.flatMap(({ isLasting, isStopping, returned, remainingMs }) =>
        isLasting && !isStopping ? [] : [{ returned, inMs: isStopping ? 0 : remainingMs }],
      ),
  );
  return { demands, endsOn };
}
