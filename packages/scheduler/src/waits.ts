import type { Map } from 'immutable';
import type { StateOf } from '@bronzeyoke/chart';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { ReadyStage } from '@bronzeyoke/workflow';
import { taskProgress } from '@bronzeyoke/workflow';
import chartFile from '../charts/wait.json';
import type { StageCandidate } from './candidates';
import type { SchedulerState } from './types';

/** Chart of the wait of a lasting task for a place. */
export const waitChart = compileChart(chartFile, {
  states: ['searching', 'reserved', 'clearing', 'moving', 'claimed'],
  events: ['reserve', 'clear', 'lose', 'claim', 'end', 'release'],
  actions: [],
});

/** State of the chart of a wait. */
export type WaitPhase = StateOf<typeof waitChart>;

/** Event of the chart of a wait. */
export type WaitEvent = 'reserve' | 'clear' | 'lose' | 'claim' | 'end' | 'release';

/** A run that is to move, and the worker that keeps room for it. */
export interface PlannedMove {
  readonly task: string;
  readonly workerKey: string;
}

/** Wait of a lasting task for a place, from the end of its last run until the next one is listed. */
export interface PlaceWait {
  readonly phase: WaitPhase;
  readonly sinceMs: number;
  /** Worker whose room is kept for the task. */
  readonly workerKey?: string;
  /** Moves of other tasks that make room there. */
  readonly moves?: readonly PlannedMove[];
  /** Time of the last search for runs whose move would make room. */
  readonly movesSoughtAtMs?: number;
  /** Whether the task was stopped in order to move it. It comes first, so that its place is kept. */
  readonly isMoved: boolean;
  readonly isLogged: boolean;
}

/** A lasting task that has run and waits for a place. */
export interface WaitingTask {
  readonly task: string;
  readonly slot: string;
  readonly candidate: StageCandidate;
  readonly wait: PlaceWait;
}

/** Returns a new wait of a task that was last known to be at work at some time. */
export function startWait(sinceMs: number): PlaceWait {
  return { phase: waitChart.initial, sinceMs, isMoved: false, isLogged: false };
}

/** Returns the wait of a task that is stopped in order to move it. */
export function startMove(nowMs: number): PlaceWait {
  return { ...startWait(nowMs), phase: 'moving', isMoved: true };
}

/** Advances a wait to its next phase; an event that its phase does not handle changes nothing. */
export function advanceWait(wait: PlaceWait, event: WaitEvent): PlaceWait {
  return { ...wait, phase: advance(waitChart, wait.phase, event).state };
}

function hasRun(state: SchedulerState, jobId: string, slot: string): boolean {
  const open = state.jobs.get(jobId);
  return open !== undefined && taskProgress(open.progress, slot).attempt > 0;
}

/** Returns the slots of a stage whose lasting tasks have run before. */
function returningSlots(
  state: SchedulerState,
  jobId: string,
  { stage, slots }: ReadyStage,
): readonly string[] {
  return stage.isLasting ? slots.filter((slot) => hasRun(state, jobId, slot)) : [];
}

/** Returns whether a claimed task has not been listed yet, or a run is stopped in order to move it. */
function isUnsettled(state: SchedulerState, task: string): boolean {
  const run = state.runs.byTask.get(task);
  return run !== undefined && (!run.isListed || run.stopSentAtMs !== undefined);
}

function waitOf(known: PlaceWait | undefined, nowMs: number): PlaceWait {
  switch (known?.phase) {
    case undefined:
      return startWait(nowMs);
    case 'claimed':
      return advanceWait(known, 'release');
    case 'moving':
      return advanceWait(known, 'end');
    case 'searching':
    case 'reserved':
    case 'clearing':
      return known;
  }
}

/** Ranks moved tasks first, then those for which others move: their places were made for them. */
function placeRank({ isMoved, moves }: PlaceWait): number {
  if (isMoved) return 0;
  return moves === undefined ? 2 : 1;
}

/** Returns the lasting tasks that have run and wait, the one that is away longest first. */
export function waitingTasks(
  state: SchedulerState,
  candidates: readonly StageCandidate[],
  nowMs: number,
): readonly WaitingTask[] {
  const waiting = candidates.flatMap((candidate) => {
    const { jobId, ready } = candidate;
    return returningSlots(state, jobId, ready).map((slot) => {
      const task = `${jobId}.${slot}`;
      return { task, slot, candidate, wait: waitOf(state.waits.get(task), nowMs) };
    });
  });
  return waiting.toSorted(
    (left, right) =>
      placeRank(left.wait) - placeRank(right.wait) || left.wait.sinceMs - right.wait.sinceMs,
  );
}

/** Adds the waits of waiting tasks, and drops those of tasks that run again or have ended. */
export function updateWaits(
  state: SchedulerState,
  waiting: readonly WaitingTask[],
): Map<string, PlaceWait> {
  return state.waits
    .filter((_, task) => isUnsettled(state, task))
    .merge(waiting.map(({ task, wait }) => [task, wait]));
}

/** Returns the waits without that of a task whose run was listed, at the end of the run. */
export function endClaim(state: SchedulerState, task: string): Map<string, PlaceWait> {
  const isRunning = state.runs.byTask.get(task)?.isListed === true;
  return isRunning && state.waits.get(task)?.phase === 'claimed'
    ? state.waits.delete(task)
    : state.waits;
}
