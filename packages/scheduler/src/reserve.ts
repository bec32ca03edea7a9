import type { WorkerLoad } from '@bronzeyoke/placement';
import { fitsEmptyWorker, withTask } from '@bronzeyoke/placement';
import type { Resources } from '@bronzeyoke/types';
import { addResources, fitsIn, NO_RESOURCES, subtractResources } from '@bronzeyoke/types';
import type { ReadyStage, Stage } from '@bronzeyoke/workflow';
import type { PlacementPass } from './pass';
import { loadsOfService, siblingCounter } from './pass';
import { runsOn } from './runs';
import type { OpenJob } from './types';

/** Time in which a run that is being stopped ends. */
const STOPPING_MS = 500;

/** A task to place: a stage of a job and one of its slots. */
export interface PlacedSlot {
  readonly open: OpenJob;
  readonly ready: ReadyStage;
  readonly slot: string;
  readonly priority: number;
}

/** A run that will end, with what its worker gets back then. */
interface Tenant {
  readonly task: string;
  readonly returned: Resources;
  /** `ending`: it is being stopped. `preemptible`: a filling task of a less urgent job. */
  readonly kind: 'ending' | 'preemptible' | 'temporary';
  readonly remainingMs: number;
  /** Order in which runs are stopped: the least loss first. */
  readonly lossRank: readonly number[];
}

/** A worker that has room for a task once some of its runs have ended. */
export interface Vacancy {
  readonly load: WorkerLoad;
  /** Estimated time until these runs end by themselves. */
  readonly waitMs: number;
  readonly tenants: readonly Tenant[];
}

function returnedBy({ needs, fillsIdle }: Stage): Resources {
  return fillsIdle ? { ...needs, processorsMilli: 0 } : needs;
}

function positive(amount: Resources): Resources {
  return {
    processorsMilli: Math.max(0, amount.processorsMilli),
    memoryMb: Math.max(0, amount.memoryMb),
    accelerators: Math.max(0, amount.accelerators),
  };
}

/** Returns what a worker lacks for a task. */
function shortageOf(load: WorkerLoad, needs: Resources): Resources {
  return positive(subtractResources(addResources(load.reserved, needs), load.capacity));
}

function reduceShortage(missing: Resources, returned: Resources): Resources {
  return positive(subtractResources(missing, returned));
}

function isCovered(missing: Resources): boolean {
  return fitsIn(missing, NO_RESOURCES);
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((value, position) => value !== right[position]);
  return index === -1 ? 0 : (left[index] ?? 0) - (right[index] ?? 0);
}

/** Returns whether a run is being stopped, or will be at the end of the pass. */
export function isEnding({ state, stops }: PlacementPass, task: string): boolean {
  return stops.has(task) || state.runs.byTask.get(task)?.stopSentAtMs !== undefined;
}

function tenantsOf(
  pass: PlacementPass,
  workerKey: string,
  priority: number,
  nowMs: number,
): readonly Tenant[] {
  const { runs, jobs, orphans } = pass.state;
  const running = [...runsOn(runs, workerKey)].flatMap(([task, run]): readonly Tenant[] => {
    const { stage, claimedAtMs, jobId } = run;
    const isStopping = isEnding(pass, task);
    if (stage.isLasting && !isStopping) return [];
    const ownPriority = jobs.get(jobId)?.job.policy.priority ?? priority;
    const isPreemptible = stage.fillsIdle && ownPriority > priority;
    const kind = isPreemptible ? 'preemptible' : 'temporary';
    return [
      {
        task,
        returned: returnedBy(stage),
        kind: isStopping ? 'ending' : kind,
        remainingMs:
          isStopping || isPreemptible
            ? STOPPING_MS
            : Math.max(0, stage.estimateMs - (nowMs - claimedAtMs)),
        lossRank: [
          -ownPriority,
          Number(stage.isGang),
          -Number(stage.savesCheckpoints),
          -claimedAtMs,
        ],
      },
    ];
  });
  const stopped = orphans
    .filter((orphan) => orphan.workerKey === workerKey)
    .valueSeq()
    .map(({ task, stage }): Tenant => ({
      task,
      returned: returnedBy(stage),
      kind: 'ending',
      remainingMs: STOPPING_MS,
      lossRank: [],
    }));
  return [...running, ...stopped];
}

/** Takes tenants in order until their ends cover what is missing; undefined if they never do. */
function takeUntilCovered(
  tenants: readonly Tenant[],
  shortage: Resources,
): readonly Tenant[] | undefined {
  const taken = tenants.reduce<{
    readonly tenants: readonly Tenant[];
    readonly missing: Resources;
  }>(
    (current, tenant) => {
      const missing = reduceShortage(current.missing, tenant.returned);
      const isUseless = fitsIn(current.missing, missing);
      return isUseless ? current : { tenants: [...current.tenants, tenant], missing };
    },
    { tenants: [], missing: shortage },
  );
  return isCovered(taken.missing) ? taken.tenants : undefined;
}

/** Returns the room of a worker after all of its runs have ended that do not last. */
export function lastingRoom(pass: PlacementPass, load: WorkerLoad, nowMs: number): Resources {
  const { workerKey, capacity, reserved } = load;
  return tenantsOf(pass, workerKey, 0, nowMs).reduce(
    (room, { returned }) => addResources(room, returned),
    subtractResources(capacity, reserved),
  );
}

/** Returns the workers that may run a task as far as their kind and the limit a worker are concerned. */
export function allowedLoads(
  pass: PlacementPass,
  { open, ready }: Pick<PlacedSlot, 'open' | 'ready'>,
): readonly WorkerLoad[] {
  const { stage } = ready;
  const siblingCount = siblingCounter(pass, open, ready);
  return loadsOfService(pass, open).filter(
    (load) =>
      fitsEmptyWorker(stage, load) &&
      siblingCount(load.workerKey) < (stage.maxPerWorker ?? Infinity),
  );
}

function vacancyOn(
  pass: PlacementPass,
  load: WorkerLoad,
  target: PlacedSlot,
  nowMs: number,
): readonly Vacancy[] {
  const tenants = tenantsOf(pass, load.workerKey, target.priority, nowMs);
  const byEnd = tenants.toSorted((left, right) => left.remainingMs - right.remainingMs);
  const taken = takeUntilCovered(byEnd, shortageOf(load, target.ready.stage.needs));
  if (taken === undefined) return [];
  return [{ load, waitMs: Math.max(0, ...taken.map(({ remainingMs }) => remainingMs)), tenants }];
}

/**
 * Returns the worker that has room for a task soonest if it gets no further tasks. The worker that
 * already keeps room for it comes first, so that the wait there is not in vain; the one on which it
 * failed comes last among equals.
 */
export function findVacancy(
  pass: PlacementPass,
  target: PlacedSlot,
  preferredKey: string | undefined,
  failedOn: string | undefined,
  nowMs: number,
): Vacancy | undefined {
  const vacancies = allowedLoads(pass, target)
    .flatMap((load) => vacancyOn(pass, load, target, nowMs))
    .map((vacancy) => {
      const { workerKey } = vacancy.load;
      const rank = [
        -Number(workerKey === preferredKey),
        vacancy.waitMs,
        Number(workerKey === failedOn),
      ];
      return { vacancy, rank };
    });
  return vacancies.toSorted((left, right) => compareRanks(left.rank, right.rank))[0]?.vacancy;
}

/** Keeps a worker's room for a task. */
export function reserveRoom(
  pass: PlacementPass,
  task: string,
  load: WorkerLoad,
  stage: Stage,
): PlacementPass {
  return {
    ...pass,
    loads: pass.loads.set(load.workerKey, withTask(load, stage)),
    reservations: pass.reservations.set(task, load.workerKey),
  };
}

/** Stops the runs on a worker that keep a task from starting there, those with the least loss first. */
export function clearVacancy(
  pass: PlacementPass,
  { load, tenants }: Vacancy,
  needs: Resources,
  kinds: readonly Tenant['kind'][],
): PlacementPass {
  const rank = ({ kind, lossRank }: Tenant): readonly number[] => [
    Number(kind !== 'ending'),
    Number(kind !== 'preemptible'),
    ...lossRank,
  ];
  const byLoss = tenants.toSorted((left, right) => compareRanks(rank(left), rank(right)));
  const taken = takeUntilCovered(byLoss, shortageOf(load, needs)) ?? [];
  const stops = taken.filter(({ kind }) => kind !== 'ending' && kinds.includes(kind));
  return {
    ...pass,
    stops: pass.stops.merge(stops.map(({ task }) => [task, 'preempted'] as const)),
  };
}
