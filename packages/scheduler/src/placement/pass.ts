import type { Map } from 'immutable';
import { classifyFills, predictLoad } from '@bronzeyoke/interference';
import type { FillEffects, Foresight, Outlook, WorkerLoad } from '@bronzeyoke/placement';
import { chooseWorker, withTask } from '@bronzeyoke/placement';
import { without } from '@bronzeyoke/types';
import type { ReadyStage, Stage } from '@bronzeyoke/workflow';
import { advanceRun, gangCheckpoint, taskProgress, withTasks } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import type { PassBudget, PassPart } from './passbudget';
import { CLAIM_WORK } from './passbudget';
import type { WriteUrgency } from '../leadership/pending';
import { createRun, putRun } from '../runs';
import { addPostCommitAction, putJob } from '../state';
import { taskTime } from '../jobs/openjob';
import { expectedRunMs } from '../jobs/runtimes';
import { isSuspect, trialMs } from '../jobs/suspects';
import type { Occupancy } from './tenants';
import type { SchedulerState } from '../types';
import type { OpenJob, RunView } from '../views';

function claimUrgency({ isLasting, fillsIdle }: Stage): WriteUrgency {
  if (isLasting) return 'high';
  return fillsIdle ? 'low' : 'normal';
}

/** Returns the checkpoint from which a task starts. */
function startCheckpoint({ progress }: OpenJob, slot: string, stage: Stage): string | undefined {
  const [occurrence = 0, stageIndex = 0] = slot.split('.').map(Number);
  return stage.isGang
    ? gangCheckpoint(stage, progress, occurrence, stageIndex)
    : taskProgress(progress, slot).checkpoint;
}

/** Returns since when searches for the stage of a task have found no worker; undefined if they have. */
function noRoomSince(
  { failedSearches, unplacedSince }: SchedulerState,
  task: string,
): number | undefined {
  const stageKey = task.slice(0, task.lastIndexOf('.'));
  return failedSearches.get(stageKey)?.sinceMs ?? unplacedSince.get(stageKey);
}

function claimTask(
  state: SchedulerState,
  open: OpenJob,
  slot: string,
  stage: Stage,
  workerKey: string,
  attempt: number,
  isLastResort: boolean,
  nowMs: number,
): SchedulerState {
  const { jobId } = open.job;
  const task = taskProgress(open.progress, slot);
  const { crashes } = task;
  const address = state.workers.get(workerKey)?.report?.address;
  const checkpoint = startCheckpoint(open, slot, stage);
  const claimed = {
    ...without(advanceRun(task, 'claim'), 'workerAddress'),
    ...(checkpoint === undefined ? {} : { checkpoint }),
    attempt,
    workerKey,
    ...(address === undefined ? {} : { workerAddress: address }),
  };
  const name = `${jobId}.${slot}`;
  const claim = { jobId, slot, stage, workerKey, attempt, isOrdered: false, isLastResort };
  const run: RunView = {
    ...createRun(claim, nowMs),
    ...(isSuspect(crashes) ? { trial: { crashes, forMs: trialMs(crashes) } } : {}),
  };
  const progress = withTasks(open.progress, [[slot, claimed]]);
  const noRoomSinceMs = noRoomSince(state, name);
  const change = {
    kind: 'claimed',
    ...(noRoomSinceMs === undefined ? {} : { noRoomSinceMs }),
  } as const;
  const changed = { ...open, progress, ...taskTime(open, slot, change, nowMs) };
  const next = putJob(state, jobId, changed, claimUrgency(stage));
  return addPostCommitAction(
    { ...next, runs: putRun(next.runs, name, run), backOff: next.backOff.delete(name) },
    { kind: 'start', task: name, attempt },
    { kind: 'jobs', jobIds: [jobId] },
  );
}

/** Why a run is stopped in favour of another task. */
export type StopReason = 'preempted' | 'moved';

/** State of one placement pass over all candidates. */
export interface PlacementPass {
  readonly state: SchedulerState;
  /** Loads that include the claims and the reservations of this pass. */
  readonly loads: Map<string, WorkerLoad>;
  /** Runs to stop in favour of other tasks. */
  readonly stops: Map<string, StopReason>;
  /** Runs on each worker at the start of the pass. */
  readonly occupancyOf: (workerKey: string) => Occupancy;
  /** Worker on which this pass keeps room for a waiting task, by task. */
  readonly reservations: Map<string, string>;
  /** What waits and ends soon, for the choice of workers. */
  readonly outlook: Outlook;
  /** Tasks that use room that is kept for others meanwhile. */
  readonly backfilled: readonly string[];
  /** Tasks that wait for a trial or begin one. */
  readonly held: ReadonlySet<string>;
  /** Work done so far, and the work after which each part of the pass ends. */
  readonly work: number;
  readonly budget: PassBudget;
}

/** Adds to the work of a pass. */
export function spend(pass: PlacementPass, work: number): PlacementPass {
  return { ...pass, work: pass.work + work };
}

/** Returns whether the rest of a part is left to the next pass. */
export function isSpent({ work, budget }: PlacementPass, part: PassPart): boolean {
  return work >= budget[part];
}

/** Returns whether a task may not be placed yet: after a refusal or a failure, or before its trial. */
export function isBackingOff({ state, held }: PlacementPass, task: string, nowMs: number): boolean {
  return held.has(task) || (state.backOff.get(task) ?? 0) > nowMs;
}

/**
 * Returns the queue's service in the latest configuration that is known: that of this entry, or that by which
 * the job was accepted. An entry on a wide link has a long configuration seconds earlier.
 */
export function serviceOf({ config }: SchedulerState, { job }: OpenJob): string {
  const { policy, configVersion = -Infinity } = job;
  const { service, queue } = policy;
  if (config === undefined || config.version < configVersion) return service;
  const current = config.queues.find((other) => other.queue === queue);
  return current?.service ?? service;
}

/** Returns the workers of the service that a job's queue names. */
export function loadsOfService(
  pass: PlacementPass,
  open: OpenJob,
  loads: Map<string, WorkerLoad> = pass.loads,
): readonly WorkerLoad[] {
  const wanted = serviceOf(pass.state, open);
  return [...loads.values()].filter(({ service }) => service === wanted);
}

/** Counts the tasks of a stage and occurrence on each worker, with those that have a reservation there. */
export function siblingCounter(
  pass: PlacementPass,
  open: OpenJob,
  ready: ReadyStage,
): (workerKey: string) => number {
  // Without a limit nobody looks at the counts.
  if (ready.stage.maxPerWorker === undefined) return () => 0;
  const prefix = `${ready.occurrence}.${ready.stageIndex}.`;
  const assigned = [...open.progress.tasks].flatMap(([slot, { workerKey }]) =>
    workerKey !== undefined && slot.startsWith(prefix) ? [workerKey] : [],
  );
  const reserved = pass.reservations
    .filter((_, task) => task.startsWith(`${open.job.jobId}.${prefix}`))
    .valueSeq();
  const counts = [...assigned, ...reserved].reduce(
    (known, workerKey) => known.set(workerKey, (known.get(workerKey) ?? 0) + 1),
    new globalThis.Map<string, number>(),
  );
  return (workerKey) => counts.get(workerKey) ?? 0;
}

/** Returns the known effects of fills on serving images, by the estimates of this pass. */
export function effectsOf({ state: { pairs } }: PlacementPass): FillEffects {
  return {
    classify: (serving, fills) => classifyFills(pairs, serving, fills),
    predictLoad: (serving, fills) => predictLoad(pairs, serving, fills),
  };
}

/** Quantile of the run time at which a task counts as ended. */
export const TAIL = 0.95;

/** Returns what the tasks of a stage look ahead by; undefined while nothing large waits or is short of room. */
export function foresightOf(
  { state, outlook }: PlacementPass,
  open: OpenJob,
  stage: Stage,
): Foresight | undefined {
  if (outlook.demands.length === 0) return undefined;
  return { outlook, runMs: expectedRunMs(state, open.job.policy.queue, stage, TAIL) };
}

/** Returns the best of some workers for a task. */
export function chooseWorkerFor(
  pass: PlacementPass,
  open: OpenJob,
  ready: ReadyStage,
  slot: string,
  loads: Map<string, WorkerLoad>,
  isLastResort: boolean,
): WorkerLoad | undefined {
  return chooseWorker(
    ready.stage,
    loadsOfService(pass, open, loads),
    effectsOf(pass),
    {
      siblingCount: siblingCounter(pass, open, ready),
      isLastResort,
      foresight: foresightOf(pass, open, ready.stage),
    },
    taskProgress(open.progress, slot).failedOn,
  );
}

/** A task that gets a worker. */
export interface ClaimedTask {
  readonly open: OpenJob;
  readonly ready: ReadyStage;
  readonly slot: string;
  readonly attempt: number;
}

/** Options of a placement. */
export interface PlacementOptions {
  /** Workers to choose from; all by default. */
  readonly loads?: Map<string, WorkerLoad>;
  /** Whether a place beside a task that it harms is allowed. */
  readonly isLastResort?: boolean;
}

/** Claims a worker for a task. */
export function claimOn(
  pass: PlacementPass,
  load: WorkerLoad,
  { open, ready, slot, attempt }: ClaimedTask,
  isLastResort: boolean,
  nowMs: number,
): PlacementPass {
  const { workerKey } = load;
  const { stage } = ready;
  const state = claimTask(pass.state, open, slot, stage, workerKey, attempt, isLastResort, nowMs);
  // Nothing else begins beside a suspect. The members of a gang are tried together.
  const isTried = !stage.isGang && isSuspect(taskProgress(open.progress, slot).crashes);
  const loads = isTried
    ? pass.loads.delete(workerKey)
    : pass.loads.set(workerKey, withTask(load, stage));
  return { ...pass, state, loads, work: pass.work + CLAIM_WORK };
}

/** Claims the best worker for a task; undefined if none has room. */
export function placeTask(
  pass: PlacementPass,
  jobId: string,
  ready: ReadyStage,
  slot: string,
  attempt: number,
  nowMs: number,
  { loads = pass.loads, isLastResort = false }: PlacementOptions = {},
): PlacementPass | undefined {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined) return undefined;
  const chosen = chooseWorkerFor(pass, open, ready, slot, loads, isLastResort);
  if (chosen === undefined) return undefined;
  return claimOn(pass, chosen, { open, ready, slot, attempt }, isLastResort, nowMs);
}

/** Places all members of a gang, or none. They share one attempt number. */
export function placeGang(
  pass: PlacementPass,
  { jobId, ready }: Pick<StageCandidate, 'jobId' | 'ready'>,
  nowMs: number,
): PlacementPass {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || ready.slots.length < ready.stage.taskCount) return pass;
  const attempt =
    1 + Math.max(...ready.slots.map((slot) => taskProgress(open.progress, slot).attempt));
  const placed = ready.slots.reduce<PlacementPass | undefined>(
    (current, slot) =>
      current === undefined ? undefined : placeTask(current, jobId, ready, slot, attempt, nowMs),
    pass,
  );
  return placed ?? pass;
}
