import { Map } from 'immutable';
import type { RunView } from './types';

/** Index of runs by task and by worker. */
export interface RunTable {
  readonly byTask: Map<string, RunView>;
  readonly byWorker: Map<string, Map<string, RunView>>;
}

/** A table without runs. */
export const NO_RUNS: RunTable = { byTask: Map(), byWorker: Map() };

const NO_WORKER_RUNS: Map<string, RunView> = Map();

/** Returns the runs of a worker by task. */
export function runsOn(table: RunTable, workerKey: string): Map<string, RunView> {
  return table.byWorker.get(workerKey, NO_WORKER_RUNS);
}

/** Removes the run of a task. */
export function dropRun(table: RunTable, task: string): RunTable {
  const run = table.byTask.get(task);
  if (run === undefined) return table;
  const remaining = runsOn(table, run.workerKey).delete(task);
  return {
    byTask: table.byTask.delete(task),
    byWorker:
      remaining.size === 0
        ? table.byWorker.delete(run.workerKey)
        : table.byWorker.set(run.workerKey, remaining),
  };
}

/** Adds or replaces the run of a task. */
export function putRun(table: RunTable, task: string, run: RunView): RunTable {
  const previous = table.byTask.get(task);
  const rest =
    previous === undefined || previous.workerKey === run.workerKey ? table : dropRun(table, task);
  return {
    byTask: rest.byTask.set(task, run),
    byWorker: rest.byWorker.set(run.workerKey, runsOn(rest, run.workerKey).set(task, run)),
  };
}

/** Removes the runs of some tasks. */
export function dropRuns(table: RunTable, tasks: readonly string[]): RunTable {
  return tasks.reduce(dropRun, table);
}
