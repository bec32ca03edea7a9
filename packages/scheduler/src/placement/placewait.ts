import type { StateOf } from '@bronzeyoke/chart';
import { advance, compileChart } from '@bronzeyoke/chart';
import chartFile from '../../charts/wait.json';

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

/**
 * Why a task waits for a place: it lasts and has run before, so that users count on it, or tasks that
 * need less have kept it from a place for long.
 */
export type WaitCause = 'returning' | 'starved';

/** Wait of a task for a place, until its next run is listed. */
export interface PlaceWait {
  readonly phase: WaitPhase;
  readonly cause: WaitCause;
  readonly sinceMs: number;
  /** Address of the worker whose end has released the task. A later instance there may take it back. */
  readonly formerAddress?: string;
  /** Worker whose room is kept for the task. */
  readonly workerKey?: string;
  /** Moves of other tasks that make room there. */
  readonly moves?: readonly PlannedMove[];
  /** Time of the last search for runs whose move would make room. */
  readonly movesSoughtAtMs?: number;
  /** Time of the last search that found no place, while passes cannot search for all waiting tasks. */
  readonly searchedAtMs?: number;
  /** Time of the first of the passes that have left the task to a later one. */
  readonly leftOutSinceMs?: number;
  /** Whether the task was stopped in order to move it. It comes first, so that its place is kept. */
  readonly isMoved: boolean;
  readonly isLogged: boolean;
}

/** Returns a new wait that counts from some time. */
export function startWait(sinceMs: number, cause: WaitCause = 'returning'): PlaceWait {
  return { phase: waitChart.initial, cause, sinceMs, isMoved: false, isLogged: false };
}

/** Returns the wait of a task that is stopped in order to move it. */
export function startMove(nowMs: number): PlaceWait {
  return { ...startWait(nowMs), phase: 'moving', isMoved: true };
}

/** Advances a wait to its next phase; an event that its phase does not handle changes nothing. */
export function advanceWait(wait: PlaceWait, event: WaitEvent): PlaceWait {
  return { ...wait, phase: advance(waitChart, wait.phase, event).state };
}
