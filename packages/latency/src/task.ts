import type { StateOf } from '@bronzeyoke/chart';
import { accepts, advance, compileChart } from '@bronzeyoke/chart';
import { assertNever } from '@bronzeyoke/types';
import chartFile from '../charts/task.json';
import type { Durations } from './durations';
import { addDuration, addDurations, NO_DURATIONS, totalMs } from './durations';

/** Chart of what a task spends its time on. */
export const taskChart = compileChart(chartFile, {
  states: ['waiting', 'storing', 'noAgent', 'starting', 'running', 'stopping', 'done'],
  events: ['claimed', 'held', 'ordered', 'started', 'stopped', 'released', 'done'],
  actions: [],
});

/** What a task spends its time on. */
export type TaskPhase = StateOf<typeof taskChart>;

/** Why a run was of no use. */
export type WastedCause = 'failed' | 'stopped' | 'lost' | 'notStarted';

/** A change of what a task spends its time on. */
export type TaskChange =
  /** `noRoomSinceMs`: since when searches for the stage have found no worker. */
  | { readonly kind: 'claimed'; readonly noRoomSinceMs?: number }
  | { readonly kind: 'held' }
  | { readonly kind: 'ordered' }
  | { readonly kind: 'started' }
  | { readonly kind: 'paced'; readonly percent: number }
  /** A stop order was sent. */
  | { readonly kind: 'stopped' }
  /** `keepsWork`: the next run goes on from what this one has saved. */
  | { readonly kind: 'released'; readonly cause: WastedCause; readonly keepsWork?: boolean }
  | { readonly kind: 'done' };

/** The time of one task since its first claim. */
export interface TaskLatency {
  readonly phase: TaskPhase;
  readonly sinceMs: number;
  readonly firstClaimAtMs: number;
  /** Since when searches had found no worker at the first claim. */
  readonly firstNoRoomSinceMs: number;
  /** Times before the current run. */
  readonly past: Durations;
  /** Times of the current run before `sinceMs`. */
  readonly run: Durations;
  readonly pacePercent: number;
  readonly runCount: number;
  /** Part of `past` that the task has waited after its first run. */
  readonly retryWaitMs: number;
}

const FULL_PACE_PERCENT = 100;

/** Returns the record of a task whose first claim is of some time, or is not known to be earlier. */
export function createTaskLatency(phase: TaskPhase, nowMs: number): TaskLatency {
  return {
    phase,
    sinceMs: nowMs,
    firstClaimAtMs: nowMs,
    firstNoRoomSinceMs: nowMs,
    past: NO_DURATIONS,
    run: NO_DURATIONS,
    pacePercent: FULL_PACE_PERCENT,
    runCount: phase === 'waiting' ? 0 : 1,
    retryWaitMs: 0,
  };
}

/** Splits a wait into the time before and after the searches began to find no worker. */
export function waitDurations(sinceMs: number, noRoomSinceMs: number, untilMs: number): Durations {
  const splitMs = Math.min(untilMs, Math.max(sinceMs, noRoomSinceMs));
  const unsearched = addDuration(NO_DURATIONS, 'unsearched', splitMs - sinceMs);
  return addDuration(unsearched, 'noRoom', untilMs - splitMs);
}

/** Returns the times of the current run up to now. */
function runUntil(task: TaskLatency, nowMs: number): Durations {
  const { phase, run, sinceMs, pacePercent } = task;
  const elapsedMs = nowMs - sinceMs;
  switch (phase) {
    case 'done':
      return run;
    case 'waiting':
      return addDuration(run, 'unsearched', elapsedMs);
    case 'storing':
    case 'noAgent':
    case 'starting':
    case 'stopping':
      return addDuration(run, phase, elapsedMs);
    case 'running': {
      const workingMs = (elapsedMs * pacePercent) / FULL_PACE_PERCENT;
      const working = addDuration(run, 'running', workingMs);
      return addDuration(working, 'paced', elapsedMs - workingMs);
    }
    default:
      return assertNever(phase);
  }
}

function claimTask(task: TaskLatency, noRoomSinceMs: number, nowMs: number): TaskLatency {
  const waited = waitDurations(task.sinceMs, noRoomSinceMs, nowMs);
  return {
    ...task,
    past: addDurations(task.past, waited),
    retryWaitMs: task.retryWaitMs + totalMs(waited),
    run: NO_DURATIONS,
    pacePercent: FULL_PACE_PERCENT,
    runCount: task.runCount + 1,
  };
}

/** Applies what a change says beside the next phase. */
function applyChange(task: TaskLatency, change: TaskChange, nowMs: number): TaskLatency {
  const run = runUntil(task, nowMs);
  switch (change.kind) {
    case 'claimed':
      return claimTask(task, change.noRoomSinceMs ?? nowMs, nowMs);
    case 'held':
    case 'ordered':
    case 'started':
    case 'stopped':
      return { ...task, run };
    case 'paced':
      return { ...task, run, pacePercent: change.percent };
    case 'released': {
      const past =
        change.keepsWork === true
          ? addDurations(task.past, run)
          : addDuration(task.past, change.cause, totalMs(run));
      return { ...task, past, run: NO_DURATIONS };
    }
    case 'done':
      return { ...task, past: addDurations(task.past, run), run: NO_DURATIONS };
    default:
      return assertNever(change);
  }
}

/** Returns a task after a change; one that its phase does not handle changes nothing. */
function advanceTask(task: TaskLatency, change: TaskChange, nowMs: number): TaskLatency {
  if (change.kind === 'paced') {
    return task.phase === 'running'
      ? { ...applyChange(task, change, nowMs), sinceMs: nowMs }
      : { ...task, pacePercent: change.percent };
  }
  if (!accepts(taskChart, task.phase, change.kind)) return task;
  const { state: phase } = advance(taskChart, task.phase, change.kind);
  return { ...applyChange(task, change, nowMs), phase, sinceMs: nowMs };
}

/** Returns the record of a task after a change. The first claim creates it. */
export function changeTask(
  known: TaskLatency | undefined,
  change: TaskChange,
  nowMs: number,
): TaskLatency | undefined {
  if (known !== undefined) return advanceTask(known, change, nowMs);
  if (change.kind !== 'claimed') return undefined;
  const firstNoRoomSinceMs = change.noRoomSinceMs ?? nowMs;
  return { ...createTaskLatency('storing', nowMs), firstNoRoomSinceMs };
}
