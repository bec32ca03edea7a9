import { Map } from 'immutable';
import { classifyFills } from '@bronzeyoke/interference';
import type { WorkerLoad } from '@bronzeyoke/placement';
import { chooseWorker, fitsEmptyWorker, withTask } from '@bronzeyoke/placement';
import { NO_RESOURCES } from '@bronzeyoke/types';
import type { ReadyStage, Stage } from '@bronzeyoke/workflow';
import {
  assignedSlots,
  criticalPathMs,
  isStageDone,
  advanceRun,
  objectiveAtMs,
  readyStages,
  remainingWork,
  taskProgress,
  withTasks,
} from '@bronzeyoke/workflow';
import { stopRun } from './pace';
import { fillsToStop, loadsWithoutFills } from './preempt';
import { putRun } from './runs';
import { addPostCommitAction, chain, putJob } from './state';
import type { OpenJob, RunView, SchedulerState, SchedulerStep } from './types';

/** A stage of a job that has tasks to place, with what decides its turn. */
interface Turn {
  readonly jobId: string;
  readonly ready: ReadyStage;
  readonly priority: number;
  readonly isLate: boolean;
  /** Long past its objective. */
  readonly isOverdue: boolean;
  readonly workLeft: number;
}

/** Time that placing and starting a task takes, for the estimate of what can still be in time. */
const START_MS = 100;

/** A job is overdue after this many times the duration of its objective. */
const OVERDUE_FACTOR = 2;

/** What runs on each usable worker of a service. */
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

function turnsOf(state: SchedulerState, wallMs: number): readonly Turn[] {
  const turns = state.jobs.valueSeq().flatMap(({ job, progress, isCancelled }): readonly Turn[] => {
    if (isCancelled || job.policy.needsAdvice) return [];
    const { jobId } = job;
    const ready = readyStages(job, progress, wallMs);
    if (ready.length === 0) return [];
    const leftMs = criticalPathMs(job, (stageIndex, stage) =>
      isStageDone(job, progress, 0, stageIndex) ? 0 : stage.estimateMs,
    );
    const isLate = wallMs + leftMs + START_MS > objectiveAtMs(job);
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
  return turns
    .sort(
      (left, right) =>
        left.priority - right.priority ||
        Number(left.isLate) - Number(right.isLate) ||
        left.workLeft - right.workLeft,
    )
    .toArray();
}

function claimSlot(
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
  const claimed = { ...advanceRun(task, 'claim'), attempt, workerKey };
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

/** State of one pass over all that waits. */
interface Pass {
  readonly state: SchedulerState;
  readonly loads: Map<string, WorkerLoad>;
  /** Filling tasks that make room for more urgent ones. */
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

function chooseFor(
  pass: Pass,
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

function placeSlot(
  pass: Pass,
  jobId: string,
  ready: ReadyStage,
  slot: string,
  attempt: number,
  nowMs: number,
  isLastResort = false,
): Pass | undefined {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined) return undefined;
  const chosen = chooseFor(pass, open, ready, slot, pass.loads, isLastResort);
  if (chosen === undefined) return undefined;
  return {
    ...pass,
    state: claimSlot(
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
 * Keeps places for tasks that only the memory of less urgent filling tasks keeps out, and notes which
 * of these to stop. The tasks are placed by the pass after their ends.
 */
function makeRoom(pass: Pass, { jobId, ready, priority }: Turn, slots: readonly string[]): Pass {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || slots.length === 0) return pass;
  const emptied = loadsWithoutFills(pass.state, pass.loads, priority);
  return slots.reduce<{
    readonly pass: Pass;
    readonly emptied: Pass['loads'];
    readonly isFull: boolean;
  }>(
    (current, slot) => {
      if (current.isFull) return current;
      const chosen = chooseFor(current.pass, open, ready, slot, current.emptied, false);
      const load = chosen === undefined ? undefined : current.pass.loads.get(chosen.workerKey);
      if (chosen === undefined || load === undefined) return { ...current, isFull: true };
      const { workerKey } = chosen;
      const kept = withTask(load, ready.stage);
      const stops = fillsToStop(pass.state, kept, priority, current.pass.stops);
      return {
        pass: {
          ...current.pass,
          loads: current.pass.loads.set(workerKey, kept),
          stops: new Set([...current.pass.stops, ...stops]),
        },
        emptied: current.emptied.set(workerKey, withTask(chosen, ready.stage)),
        isFull: false,
      };
    },
    { pass, emptied, isFull: false },
  ).pass;
}

/** Places all members of a gang, or none. They share one attempt. */
function placeGang(pass: Pass, { jobId, ready }: Turn, nowMs: number): Pass {
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || ready.slots.length < ready.stage.taskCount) return pass;
  const attempt =
    1 + Math.max(...ready.slots.map((slot) => taskProgress(open.progress, slot).attempt));
  const placed = ready.slots.reduce<Pass | undefined>(
    (current, slot) =>
      current === undefined ? undefined : placeSlot(current, jobId, ready, slot, attempt, nowMs),
    pass,
  );
  return placed ?? pass;
}

/** Starts one task of an overdue job that runs nowhere beside a task that it harms, at a low pace. */
function placeLastResort(pass: Pass, turn: Turn, slot: string, nowMs: number): Pass {
  const { jobId, ready } = turn;
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || !ready.stage.fillsIdle) return pass;
  if (assignedSlots(open.progress).length > 0) return pass;
  const attempt = 1 + taskProgress(open.progress, slot).attempt;
  return placeSlot(pass, jobId, ready, slot, attempt, nowMs, true) ?? pass;
}

function placeTurn(pass: Pass, turn: Turn, nowMs: number): Pass {
  const { jobId, ready } = turn;
  if (!pass.loads.some((load) => fitsEmptyWorker(ready.stage, load))) return pass;
  if (ready.stage.isGang) return placeGang(pass, turn, nowMs);
  const isBackingOff = (slot: string): boolean =>
    (pass.state.backOff.get(`${jobId}.${slot}`) ?? 0) > nowMs;
  const slots = ready.slots.filter((slot) => !isBackingOff(slot));
  // Tasks of a stage are alike: when one finds no worker, the next finds none either.
  const placed = slots.reduce<{ readonly pass: Pass; readonly left: readonly string[] }>(
    (current, slot) => {
      if (current.left.length > 0) return { ...current, left: [...current.left, slot] };
      const open = current.pass.state.jobs.get(jobId);
      const attempt = 1 + (open === undefined ? 0 : taskProgress(open.progress, slot).attempt);
      const next = placeSlot(current.pass, jobId, ready, slot, attempt, nowMs);
      return next === undefined ? { ...current, left: [slot] } : { pass: next, left: [] };
    },
    { pass, left: [] },
  );
  if (!ready.stage.fillsIdle) return makeRoom(placed.pass, turn, placed.left);
  const [first] = slots;
  const hasNothing = placed.pass === pass && first !== undefined;
  return hasNothing && turn.isOverdue ? placeLastResort(pass, turn, first, nowMs) : placed.pass;
}

/** Places what waits and fits. The claims are stored before any start order is sent. */
export function placeTasks(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const turns = turnsOf(state, wallMs);
  const pass: Pass = { state, loads: workerLoads(state, nowMs), stops: new Set() };
  const placed = turns.reduce((current, turn) => placeTurn(current, turn, nowMs), pass);
  return chain(
    { ...placed.state, needsPlacement: false },
    [...placed.stops].map(
      (task) => (current: SchedulerState) => stopRun(current, task, 'preempted', nowMs),
    ),
  );
}
