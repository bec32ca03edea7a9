import type { Resources } from '@bronzeyoke/types';
import { addResources, memoize, NO_RESOURCES } from '@bronzeyoke/types';
import type { Stage } from '@bronzeyoke/workflow';
import { expectedRestMs } from '../jobs/runtimes';
import { runsOn } from '../runs';
import type { SchedulerState } from '../types';

/** A run on a worker, with what the worker gets back when it ends. */
export interface Tenant {
  readonly task: string;
  readonly returned: Resources;
  /** A lasting run ends only when it is stopped. */
  readonly isLasting: boolean;
  readonly isFill: boolean;
  readonly isStopping: boolean;
  readonly priority: number;
  /** Estimated time until it ends by itself; infinite for a lasting run. */
  readonly remainingMs: number;
  /** Order in which runs are stopped: the least loss first. */
  readonly lossRank: readonly number[];
}

/** The runs on a worker. */
export interface Occupancy {
  readonly tenants: readonly Tenant[];
  /** What the worker gets back from all runs that end by themselves or are being stopped. */
  readonly returned: Resources;
}

/** Quantile of the time until a run ends that counts as the usual one. */
const MEDIAN = 0.5;

function returnedBy({ needs, fillsIdle }: Stage): Resources {
  return fillsIdle ? { ...needs, processorsMilli: 0 } : needs;
}

function occupancyOf(state: SchedulerState, workerKey: string, nowMs: number): Occupancy {
  const running = [...runsOn(state.runs, workerKey)].map(([task, run]): Tenant => {
    const { stage, claimedAtMs, jobId, stopSentAtMs } = run;
    const { priority = 0, queue = '' } = state.jobs.get(jobId)?.job.policy ?? {};
    const elapsedMs = nowMs - claimedAtMs;
    return {
      task,
      returned: returnedBy(stage),
      isLasting: stage.isLasting,
      isFill: stage.fillsIdle,
      isStopping: stopSentAtMs !== undefined,
      priority,
      remainingMs: stage.isLasting
        ? Infinity
        : expectedRestMs(state, queue, stage, elapsedMs, MEDIAN),
      lossRank: [-priority, Number(stage.isGang), -Number(stage.savesCheckpoints), -claimedAtMs],
    };
  });
  const stopped = runsOn(state.orphans, workerKey)
    .valueSeq()
    .flatMap(({ task, stage }): readonly Tenant[] =>
      stage === undefined
        ? []
        : [
            {
              task,
              returned: returnedBy(stage),
              isLasting: stage.isLasting,
              isFill: stage.fillsIdle,
              isStopping: true,
              priority: 0,
              remainingMs: 0,
              lossRank: [],
            },
          ],
    );
  const tenants = [...running, ...stopped];
  const returned = tenants
    .filter(({ isLasting, isStopping }) => !isLasting || isStopping)
    .reduce((sum, tenant) => addResources(sum, tenant.returned), NO_RESOURCES);
  return { tenants, returned };
}

/** Returns the runs on a worker at the start of a pass. Each worker is read once. */
export function createOccupancies(
  state: SchedulerState,
  nowMs: number,
): (workerKey: string) => Occupancy {
  return memoize(
    (workerKey) => workerKey,
    (workerKey) => occupancyOf(state, workerKey, nowMs),
  );
}
