import type { StateOf } from '@bronzeyoke/chart';
import { accepts, advance, compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/run.json';

const chart = compileChart(chartFile, {
  states: ['waiting', 'claimed', 'running', 'stopping', 'done'],
  events: ['claim', 'started', 'done', 'release', 'stop'],
  actions: [],
});

/** Phase of a task's current run. */
export type RunPhase = StateOf<typeof chart>;

/** Events of a run's chart. */
export type RunEvent = 'claim' | 'started' | 'done' | 'release' | 'stop';

/** Crashes of workers that a task may have caused. */
export interface CrashRecord {
  /** Crashes at once after a start of the task. */
  readonly prompt: number;
  /** Crashes somewhat later. */
  readonly slow: number;
  /** Crashes of both kinds in trials, which no other task may have caused. */
  readonly alone: number;
  /** Attempt under which the last of the workers crashed. */
  readonly attempt: number;
  /** Longest time from a start of the task to a crash. */
  readonly longestAgeMs: number;
  /** Address of the last worker; empty if it was not known. */
  readonly address: string;
}

/** Progress of one task. The attempt numbers its runs and rises with every claim. */
export interface TaskProgress {
  readonly phase: RunPhase;
  readonly attempt: number;
  /** Runs that ended as failed. */
  readonly failures: number;
  /** Worker of the current run. */
  readonly workerKey?: string;
  /** Address of that worker; absent in claims of builds that did not store it. */
  readonly workerAddress?: string;
  readonly checkpoint?: string;
  /** Worker on which the last run failed; the next run avoids it. */
  readonly failedOn?: string;
  /** Present once workers have crashed shortly after they started the task. */
  readonly crashes?: CrashRecord;
}

/** Progress of a task that was never claimed. */
export const UNCLAIMED_TASK: TaskProgress = { phase: 'waiting', attempt: 0, failures: 0 };

/** Advances a run to its next phase; an event that its phase does not handle changes nothing. */
export function advanceRun(task: TaskProgress, event: RunEvent): TaskProgress {
  return { ...task, phase: advance(chart, task.phase, event).state };
}

/** Returns whether the phase of a run handles an event. */
export function acceptsEvent(task: TaskProgress, event: RunEvent): boolean {
  return accepts(chart, task.phase, event);
}

/** Returns whether the task occupies a worker. */
export function isAssigned(task: TaskProgress): boolean {
  return task.phase === 'claimed' || task.phase === 'running' || task.phase === 'stopping';
}
