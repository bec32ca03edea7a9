import { Map } from 'immutable';
import type { RunRef } from '@bronzeyoke/wire';
import type { OrphanRun, RunView } from './views';

/** A run that occupies a worker. */
interface Placed {
  readonly workerKey: string;
}

/** Runs by a key (`byTask`: the task, with the attempt for orphans), and by worker with the same runs. */
export interface TaskTable<Run extends Placed> {
  readonly byTask: Map<string, Run>;
  readonly byWorker: Map<string, Map<string, Run>>;
}

/** Runs of open jobs, by task. */
export type RunTable = TaskTable<RunView>;

/** Runs that no open job wants, by task and attempt: a task may have several. */
export type OrphanTable = TaskTable<OrphanRun>;

/** What is known of a run before any report tells of it. */
type Claim = Pick<
  RunView,
  'jobId' | 'slot' | 'stage' | 'workerKey' | 'attempt' | 'isOrdered' | 'isLastResort'
>;

/** Returns a run that no report has told of. */
export function createRun(claim: Claim, nowMs: number): RunView {
  return {
    ...claim,
    order: 0,
    claimedAtMs: nowMs,
    percent: 0,
    percentAtMs: nowMs,
    load: 0,
    isListed: false,
    listedAtMs: nowMs,
    pace: 100,
    pacedAtMs: nowMs,
  };
}

/** Returns the key of a run among all runs of its task. */
export function runKey({ task, attempt }: RunRef): string {
  return `${task}#${attempt}`;
}

/** A table without runs. */
export const NO_RUNS = { byTask: Map<string, never>(), byWorker: Map<string, never>() } as const;

const NO_WORKER_RUNS: Map<string, never> = Map();

/** Returns the runs of a worker by task. */
export function runsOn<Run extends Placed>(
  table: TaskTable<Run>,
  workerKey: string,
): Map<string, Run> {
  return table.byWorker.get(workerKey, NO_WORKER_RUNS);
}

/** Removes the run of a task. */
export function dropRun<Run extends Placed>(table: TaskTable<Run>, task: string): TaskTable<Run> {
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
export function putRun<Run extends Placed>(
  table: TaskTable<Run>,
  task: string,
  run: Run,
): TaskTable<Run> {
  const previous = table.byTask.get(task);
  const rest =
    previous === undefined || previous.workerKey === run.workerKey ? table : dropRun(table, task);
  return {
    byTask: rest.byTask.set(task, run),
    byWorker: rest.byWorker.set(run.workerKey, runsOn(rest, run.workerKey).set(task, run)),
  };
}

/** Replaces some runs of one worker, of which the table has earlier versions. */
export function updateRuns<Run extends Placed>(
  table: TaskTable<Run>,
  workerKey: string,
  changed: readonly (readonly [task: string, run: Run])[],
): TaskTable<Run> {
  if (changed.length === 0) return table;
  const replace = (runs: Map<string, Run>): Map<string, Run> =>
    runs.withMutations((open) => changed.forEach(([task, run]) => open.set(task, run)));
  return {
    byTask: replace(table.byTask),
    byWorker: table.byWorker.set(workerKey, replace(runsOn(table, workerKey))),
  };
}

/** Removes the runs of some tasks. */
export function dropRuns<Run extends Placed>(
  table: TaskTable<Run>,
  tasks: Iterable<string>,
): TaskTable<Run> {
  return [...tasks].reduce<TaskTable<Run>>(dropRun, table);
}
