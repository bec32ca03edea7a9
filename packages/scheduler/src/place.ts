import { Map } from 'immutable';
import { classifyFills } from '@bronzeyoke/interference';
import type { WorkerLoad } from '@bronzeyoke/placement';
import { chooseWorker, fitsEmptyWorker, withTask } from '@bronzeyoke/placement';
import { NO_RESOURCES, without } from '@bronzeyoke/types';
import type { ReadyStage, Stage } from '@bronzeyoke/workflow';
import {
  advanceRun,
  assignedSlots,
  criticalPathMs,
  isStageDone,
  objectiveAtMs,
  readyStages,
  remainingWork,
  taskProgress,
  withTasks,
} from '@bronzeyoke/workflow';
import { stopRun } from './pace';
import { fillsToStop, loadsWithoutFills } from './preempt';
import { putRun } from './runs';
import { addPostCommitAction, chainAll, putJob } from './state';
import type { OpenJob, RunView, SchedulerState, SchedulerStep } from './types';

/** A stage with tasks to place, and the criteria for its place in the order. */
interface StageCandidate {
  readonly jobId: string;
  readonly ready: ReadyStage;
  readonly priority: number;
  readonly isLate: boolean;
  /** Past its objective by `OVERDUE_FACTOR`. */
  readonly isOverdue: boolean;
  readonly workLeft: number;
}

/** Estimated time to place and start a task, for the decision whether a job is late. */
const START_ESTIMATE_MS = 100;

/** A job is overdue after this many times the duration of its objective. */
const OVERDUE_FACTOR = 2;

/** Returns the load of each usable worker. */
export function workerLoads(state: SchedulerState, nowMs: number): Map<string, WorkerLoad> {
  const usable = state.workers.filter(
    ({ report, linkId, quarantinedUntilMs }) =>
      report !== undefined &&
      linkId !== undefined &&
      !report.isDraining &&
      !state.domainsOut.has(report.domain) &&
      nowMs >= quarantinedUntilMs,
  );
  const empty = Map(
    usable.valueSeq().flatMap(({ workerKey, report }): readonly [string, WorkerLoad][] => {
      if (report === undefined) return [];
      const { domain, rack, labels, capacity } = report;
      return [
        [
          workerKey,
          {
            workerKey,
            domain,
            rack,
            labels,
            capacity,
            reserved: NO_RESOURCES,
            fillRequestedMilli: 0,
            fillUsedMilli: 0,
            servingImages: [],
            fills: [],
          },
        ],
      ];
    }),
  );
  const runs = state.runs.byTask.valueSeq();
  return empty.withMutations((loads) => {
    [...runs, ...state.orphans.values()].forEach((run) => {
      const { workerKey, stage } = run;
      const load = loads.get(workerKey);
      if (load === undefined) return;
      const usedMilli = stage.fillsIdle && 'load' in run ? run.load : 0;
      const { fillUsedMilli, ...taken } = withTask(load, stage);
      loads.set(workerKey, { ...taken, fillUsedMilli: fillUsedMilli + usedMilli });
    });
  });
}

function orderedCandidates(state: SchedulerState, wallMs: number): readonly StageCandidate[] {
  const candidates = state.jobs
    .valueSeq()
    .flatMap(({ job, progress, isCancelled }): readonly StageCandidate[] => {
      if (isCancelled || job.policy.needsAdvice) return [];
      const { jobId } = job;
      const ready = readyStages(job, progress, wallMs);
      if (ready.length === 0) return [];
      const leftMs = criticalPathMs(job, (stageIndex, stage) =>
        isStageDone(job, progress, 0, stageIndex) ? 0 : stage.estimateMs,
      );
      const isLate = wallMs + leftMs + START_ESTIMATE_MS > objectiveAtMs(job);
      const objectiveMs = objectiveAtMs(job) - job.acceptedAtMs;
      const isOverdue = wallMs - job.acceptedAtMs > objectiveMs * OVERDUE_FACTOR;
      const workLeft = remainingWork(job, progress);
      return ready.map((stage) => ({
        jobId,
        ready: stage,
        priority: job.policy.priority,
        isLate,
        isOverdue,
        workLeft,
      }));
    });
  return candidates
    .sort(
      (left, right) =>
        left.priority - right.priority ||
        Number(left.isLate) - Number(right.isLate) ||
        left.workLeft - right.workLeft,
    )
    .toArray();
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
  const address = state.workers.get(workerKey)?.report?.address;
  const claimed = {
    ...without(advanceRun(task, 'claim'), 'workerAddress'),
    attempt,
    workerKey,
    ...(address === undefined ? {} : { workerAddress: address }),
  };
  const name = `${jobId}.${slot}`;
  const run: RunView = {
    jobId,
    slot,
    stage,
    workerKey,
    attempt,
    order: 0,
    isOrdered: false,
    claimedAtMs: nowMs,
    percent: 0,
    percentAtMs: nowMs,
    load: 0,
    isListed: false,
    listedAtMs: nowMs,
    isLastResort,
    pace: 100,
    pacedAtMs: nowMs,
  };
  const next = putJob(state, jobId, {
    ...open,
    progress: withTasks(open.progress, [[slot, claimed]]),
  });
  return addPostCommitAction(
    { ...next, runs: putRun(next.runs, name, run), backOff: next.backOff.delete(name) },
    { kind: 'start', task: name, attempt },
  );
}

/** State of one placement pass over all candidates. */
interface PlacementPass {
  readonly state: SchedulerState;
  readonly loads: Map<string, WorkerLoad>;
  /** Filling tasks to stop in favour of more urgent ones. */
  readonly stops: ReadonlySet<string>;
}

function siblingCounter(open: OpenJob, ready: ReadyStage): (workerKey: string) => number {
  const prefix = `${ready.occurrence}.${ready.stageIndex}.`;
  const counts = [...open.progress.tasks].reduce((known, [slot, { workerKey }]) => {
    if (workerKey === undefined || !slot.startsWith(prefix)) return known;
    return known.set(workerKey, (known.get(workerKey) ?? 0) + 1);
  }, new globalThis.Map<string, number>());
  return (workerKey) => counts.get(workerKey) ?? 0;
}

function chooseWorkerFor(
  pass: PlacementPass,
  open: OpenJob,
  ready: ReadyStage,
  slot: string,
  loads: Map<string, WorkerLoad>,
  isLastResort: boolean,
): WorkerLoad | undefined {
  const { state } = pass;
  const { service, queue } = open.job.policy;
  const current = state.config?.queues.find((other) => other.queue === queue);
  const wanted = current?.service ?? service;
  const { failedOn } = taskProgress(open.progress, slot);
  return chooseWorker(
    ready.stage,
    loads
      .valueSeq()
      .filter(({ workerKey }) => state.workers.get(workerKey)?.report?.service === wanted)
      .toArray(),
    (serving, fills) => classifyFills(state.pairs, serving, fills),
    {
      siblingCount: siblingCounter(open, ready),
      isLastResort,
      ...(failedOn === undefined ? {} : { avoidWorkerKey: failedOn }),
    },
  );
}

function placeTask(
  pass: PlacementPass,
  jobId: string,
  ready: ReadyStage,
  slot: string,
  attempt: number,
  nowMs: number,
  isLastResort = false,
): PlacementPass | undefined {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined) return undefined;
  const chosen = chooseWorkerFor(pass, open, ready, slot, pass.loads, isLastResort);
  if (chosen === undefined) return undefined;
  return {
    ...pass,
    state: claimTask(
      pass.state,
      open,
      slot,
      ready.stage,
      chosen.workerKey,
      attempt,
      isLastResort,
      nowMs,
    ),
    loads: pass.loads.set(chosen.workerKey, withTask(chosen, ready.stage)),
  };
}

/**
 * Reserves workers for tasks that lack only memory held by less urgent filling tasks, and adds these
 * to the tasks to stop. A later pass places the tasks once the stopped ones have ended.
 */
function preemptFills(
  pass: PlacementPass,
  { jobId, ready, priority }: StageCandidate,
  slots: readonly string[],
): PlacementPass {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || slots.length === 0) return pass;
  const withoutFills = loadsWithoutFills(pass.state, pass.loads, priority);
  return slots.reduce<{
    readonly pass: PlacementPass;
    readonly withoutFills: PlacementPass['loads'];
    readonly isFull: boolean;
  }>(
    (current, slot) => {
      if (current.isFull) return current;
      const chosen = chooseWorkerFor(current.pass, open, ready, slot, current.withoutFills, false);
      const load = chosen === undefined ? undefined : current.pass.loads.get(chosen.workerKey);
      if (chosen === undefined || load === undefined) return { ...current, isFull: true };
      const { workerKey } = chosen;
      const reserved = withTask(load, ready.stage);
      const stops = fillsToStop(pass.state, reserved, priority, current.pass.stops);
      return {
        pass: {
          ...current.pass,
          loads: current.pass.loads.set(workerKey, reserved),
          stops: new Set([...current.pass.stops, ...stops]),
        },
        withoutFills: current.withoutFills.set(workerKey, withTask(chosen, ready.stage)),
        isFull: false,
      };
    },
    { pass, withoutFills, isFull: false },
  ).pass;
}

/** Places all members of a gang, or none. They share one attempt number. */
function placeGang(
  pass: PlacementPass,
  { jobId, ready }: StageCandidate,
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

/**
 * Places one task of an overdue job beside a task that it harms, at a low pace, if the job has no other
 * task on a worker.
 */
function placeLastResort(
  pass: PlacementPass,
  candidate: StageCandidate,
  slot: string,
  nowMs: number,
): PlacementPass {
  const { jobId, ready } = candidate;
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || !ready.stage.fillsIdle) return pass;
  if (assignedSlots(open.progress).length > 0) return pass;
  const attempt = 1 + taskProgress(open.progress, slot).attempt;
  return placeTask(pass, jobId, ready, slot, attempt, nowMs, true) ?? pass;
}

function placeStage(pass: PlacementPass, candidate: StageCandidate, nowMs: number): PlacementPass {
  const { jobId, ready } = candidate;
  if (!pass.loads.some((load) => fitsEmptyWorker(ready.stage, load))) return pass;
  if (ready.stage.isGang) return placeGang(pass, candidate, nowMs);
  const isBackingOff = (slot: string): boolean =>
    (pass.state.backOff.get(`${jobId}.${slot}`) ?? 0) > nowMs;
  const slots = ready.slots.filter((slot) => !isBackingOff(slot));
  // The tasks of a stage have equal needs: when one finds no worker, the next finds none either.
  const placed = slots.reduce<{ readonly pass: PlacementPass; readonly left: readonly string[] }>(
    (current, slot) => {
      if (current.left.length > 0) return { ...current, left: [...current.left, slot] };
      const open = current.pass.state.jobs.get(jobId);
      const attempt = 1 + (open === undefined ? 0 : taskProgress(open.progress, slot).attempt);
      const next = placeTask(current.pass, jobId, ready, slot, attempt, nowMs);
      return next === undefined ? { ...current, left: [slot] } : { pass: next, left: [] };
    },
    { pass, left: [] },
  );
  if (!ready.stage.fillsIdle) return preemptFills(placed.pass, candidate, placed.left);
  const [first] = slots;
  const isNonePlaced = placed.pass === pass && first !== undefined;
  return isNonePlaced && candidate.isOverdue
    ? placeLastResort(pass, candidate, first, nowMs)
    : placed.pass;
}

/** Claims workers for the waiting tasks that fit. The claims are stored before any start order. */
export function placeTasks(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const candidates = orderedCandidates(state, wallMs);
  const pass: PlacementPass = { state, loads: workerLoads(state, nowMs), stops: new Set() };
  const placed = candidates.reduce(
    (current, candidate) => placeStage(current, candidate, nowMs),
    pass,
  );
  return chainAll(
    { ...placed.state, needsPlacement: false },
    [...placed.stops].map(
      (task) => (current: SchedulerState) => stopRun(current, task, 'preempted', nowMs),
    ),
  );
}
