import type { WorkerLoad } from '@bronzeyoke/placement';
import { compareRanks, fitsEmptyWorker, withTask } from '@bronzeyoke/placement';
import type { Resources } from '@bronzeyoke/types';
import { addResources, fitsIn, NO_RESOURCES, subtractResources } from '@bronzeyoke/types';
import type { ReadyStage, Stage } from '@bronzeyoke/workflow';
import type { PlacementPass } from './pass';
import { serviceOf, siblingCounter } from './pass';
import type { Tenant } from './tenants';
import type { OpenJob } from '../views';
import type { WaitingTask } from './waits';

/** Time in which a run that is being stopped ends. */
const STOPPING_MS = 500;

/** A task to place: a stage of a job and one of its slots. */
export interface PlacedSlot {
  readonly open: OpenJob;
  readonly ready: ReadyStage;
  readonly slot: string;
  readonly priority: number;
}

/** Returns what a waiting task asks for; undefined once its job has ended. */
export function slotOf(
  { state }: PlacementPass,
  { candidate, slot }: WaitingTask,
): PlacedSlot | undefined {
  const { jobId, ready, priority } = candidate;
  const open = state.jobs.get(jobId);
  return open === undefined ? undefined : { open, ready, slot, priority };
}

/** How a run that keeps a task from a worker ends. */
type Ending =
  /** It is being stopped. */
  | 'stopping'
  /** A filling task of a less urgent job, which may be stopped at once. */
  | 'preemptible'
  /** It ends by itself. */
  | 'temporary';

/** A run that will end, or may be made to. */
interface EndingRun {
  readonly tenant: Tenant;
  readonly ending: Ending;
  readonly remainingMs: number;
}

/** A worker that has room for a task once some of its runs have ended. */
export interface Vacancy {
  readonly load: WorkerLoad;
  /** Estimated time until these runs end by themselves. */
  readonly waitMs: number;
  readonly runs: readonly EndingRun[];
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

/** Returns whether a run is being stopped, or will be at the end of the pass. */
export function isEnding({ state, stops }: PlacementPass, task: string): boolean {
  return stops.has(task) || state.runs.byTask.get(task)?.stopSentAtMs !== undefined;
}

function endingOf(
  pass: PlacementPass,
  { task, isStopping, isFill, priority }: Tenant,
  ownPriority: number,
): Ending {
  if (isStopping || pass.stops.has(task)) return 'stopping';
  return isFill && priority > ownPriority ? 'preemptible' : 'temporary';
}

function endingRuns(
  pass: PlacementPass,
  workerKey: string,
  priority: number,
): readonly EndingRun[] {
  return pass.occupancyOf(workerKey).tenants.flatMap((tenant): readonly EndingRun[] => {
    const ending = endingOf(pass, tenant, priority);
    if (tenant.isLasting && ending !== 'stopping') return [];
    const remainingMs = ending === 'temporary' ? tenant.remainingMs : STOPPING_MS;
    return [{ tenant, ending, remainingMs }];
  });
}

/** Takes runs in order until their ends cover what is missing; undefined if they never do. */
function takeUntilCovered(
  runs: readonly EndingRun[],
  shortage: Resources,
): readonly EndingRun[] | undefined {
  const taken = runs.reduce<{ readonly runs: readonly EndingRun[]; readonly missing: Resources }>(
    (current, run) => {
      if (isCovered(current.missing)) return current;
      const missing = reduceShortage(current.missing, run.tenant.returned);
      const isUseless = fitsIn(current.missing, missing);
      return isUseless ? current : { runs: [...current.runs, run], missing };
    },
    { runs: [], missing: shortage },
  );
  return isCovered(taken.missing) ? taken.runs : undefined;
}

/** Returns the room of a worker after all of its runs have ended that do not last. */
export function lastingRoom(pass: PlacementPass, load: WorkerLoad): Resources {
  const { workerKey, capacity, reserved } = load;
  const { tenants, returned } = pass.occupancyOf(workerKey);
  const room = addResources(subtractResources(capacity, reserved), returned);
  return tenants
    .filter(({ task, isLasting, isStopping }) => isLasting && !isStopping && pass.stops.has(task))
    .reduce((sum, tenant) => addResources(sum, tenant.returned), room);
}

/** Returns whether a worker may run a task, as far as its kind and the limit a worker are concerned. */
export function createAllowance(
  pass: PlacementPass,
  { open, ready }: Pick<PlacedSlot, 'open' | 'ready'>,
): (load: WorkerLoad) => boolean {
  const { stage } = ready;
  const service = serviceOf(pass.state, open);
  const siblingCount = siblingCounter(pass, open, ready);
  return (load) =>
    load.service === service &&
    fitsEmptyWorker(stage, load) &&
    siblingCount(load.workerKey) < (stage.maxPerWorker ?? Infinity);
}

/** Returns the workers that may run a task as far as their kind and the limit a worker are concerned. */
export function allowedLoads(
  pass: PlacementPass,
  target: Pick<PlacedSlot, 'open' | 'ready'>,
): readonly WorkerLoad[] {
  return [...pass.loads.values()].filter(createAllowance(pass, target));
}

/** Returns when a worker has room for a task if it gets no further tasks; undefined if never. */
function vacancyOn(
  pass: PlacementPass,
  load: WorkerLoad,
  { ready, priority }: PlacedSlot,
): Vacancy | undefined {
  const { needs } = ready.stage;
  if (!fitsIn(needs, lastingRoom(pass, load))) return undefined;
  const runs = endingRuns(pass, load.workerKey, priority);
  const byEnd = runs.toSorted((left, right) => left.remainingMs - right.remainingMs);
  const taken = takeUntilCovered(byEnd, shortageOf(load, needs));
  if (taken === undefined) return undefined;
  return { load, waitMs: Math.max(0, ...taken.map(({ remainingMs }) => remainingMs)), runs };
}

/** Returns the vacancy on the worker that already keeps room for a task, if it is one still. */
export function keptVacancy(
  pass: PlacementPass,
  target: PlacedSlot,
  workerKey: string | undefined,
): Vacancy | undefined {
  const load = pass.loads.get(workerKey ?? '');
  if (load === undefined || !createAllowance(pass, target)(load)) return undefined;
  return vacancyOn(pass, load, target);
}

/**
 * Returns the worker that has room for a task soonest if it gets no further tasks. The one on which
 * the task failed comes last among equals.
 */
export function findVacancy(
  pass: PlacementPass,
  target: PlacedSlot,
  failedOn: string | undefined,
): Vacancy | undefined {
  const vacancies = allowedLoads(pass, target).flatMap((load) => {
    const vacancy = vacancyOn(pass, load, target);
    if (vacancy === undefined) return [];
    return [{ vacancy, rank: [vacancy.waitMs, Number(load.workerKey === failedOn)] }];
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

/** Which runs may be stopped for a task: only filling tasks of less urgent jobs, or all that end. */
export type Clearing = 'preemptible' | 'all';

/** Stops the runs on a worker that keep a task from starting there, those with the least loss first. */
export function clearVacancy(
  pass: PlacementPass,
  { load, runs }: Vacancy,
  needs: Resources,
  clearing: Clearing,
): PlacementPass {
  const rank = ({ ending, tenant }: EndingRun): readonly number[] => [
    Number(ending !== 'stopping'),
    Number(ending !== 'preemptible'),
    ...tenant.lossRank,
  ];
  const byLoss = runs.toSorted((left, right) => compareRanks(rank(left), rank(right)));
  const stops = (takeUntilCovered(byLoss, shortageOf(load, needs)) ?? []).filter(
    ({ ending }) => ending === 'preemptible' || (clearing === 'all' && ending === 'temporary'),
  );
  return {
    ...pass,
    stops: stops.reduce((known, { tenant }) => known.set(tenant.task, 'preempted'), pass.stops),
  };
}
