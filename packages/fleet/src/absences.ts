import { rowId, advanceTaskWorker } from '@bronzeyoke/standins';
import { jobKey, progressKey, TABLES } from '@bronzeyoke/scheduler';
import type { WorkflowJob } from '@bronzeyoke/workflow';
import { decodeJob, decodeProgress, stageSlots } from '@bronzeyoke/workflow';
import { List, Map } from 'immutable';
import type { Fleet, FleetViolation, FleetWorker } from './world';
import { workerClockMs, workerReport } from './world';

/** Time without a fault before the promise counts: a takeover and the leases of silent workers. */
const CALM_MS = 7_000;

/** Longest time for which a task that lasts may run on no worker, and one that does not. */
const MAX_LASTING_AWAY_MS = 9_000;
const MAX_AWAY_MS = 12_000;

/** Workers with room for a task. With one, the room may be kept for another task. */
const MIN_WORKERS_WITH_ROOM = 2;

/** Interval between two looks at the workers. */
const OBSERVE_INTERVAL_MS = 500;

/** A task of an open job that could run, by what workers and the job table show. */
interface RunnableTask {
  readonly task: string;
  readonly processorsMilli: number;
  readonly isLasting: boolean;
}

/** Returns the tasks of a job that are not known to be done and whose earlier stages are. */
function runnableTasks(
  { jobId, stages }: WorkflowJob,
  isDone: (task: string) => boolean,
): readonly RunnableTask[] {
  const tasksOf = (index: number): readonly string[] => {
    const stage = stages[index];
    return stage === undefined ? [] : stageSlots(stage, 0, index).map((slot) => `${jobId}.${slot}`);
  };
  return stages.flatMap(({ dependsOn, needs, isLasting }, index) =>
    dependsOn.every((earlier) => tasksOf(earlier).every(isDone))
      ? tasksOf(index)
          .filter((task) => !isDone(task))
          .map((task) => ({ task, isLasting, processorsMilli: needs.processorsMilli }))
      : [],
  );
}

/** Returns the stored jobs that are neither ended nor cancelled. */
function openJobs(fleet: Fleet): readonly WorkflowJob[] {
  return List(fleet.store.rows.values())
    .flatMap(({ table, key, value }) => {
      const job = table === TABLES.jobs && key.endsWith('/job') ? decodeJob(value) : undefined;
      return job === undefined ? [] : [job];
    })
    .filter(({ jobId }) => {
      const row = fleet.store.rows.get(rowId(progressKey(jobId)));
      const isCancelled = fleet.cancelledJobs.has(jobId);
      return !isCancelled && decodeProgress(row?.value)?.outcome === undefined;
    })
    .toArray();
}

function freeMilli(worker: FleetWorker, needsOf: (task: string) => number): number {
  const { capacity } = workerReport(worker, 0);
  const used = worker.state.runs.keySeq().reduce((sum, task) => sum + needsOf(task), 0);
  return capacity.processorsMilli - used;
}

function needsOfTask(fleet: Fleet): (task: string) => number {
  return (task) => {
    const [jobId = '', , stageIndex] = task.split('.');
    const job = decodeJob(fleet.store.rows.get(rowId(jobKey(jobId)))?.value);
    return job?.stages[Number(stageIndex)]?.needs.processorsMilli ?? 0;
  };
}

/** Records which tasks run, and reports those that are away for too long although two workers have room. */
export function observeAbsences(fleet: Fleet): Fleet {
  const { nowMs, absences } = fleet;
  if (nowMs - absences.observedAtMs < OBSERVE_INTERVAL_MS) return fleet;
  const isDisturbed =
    !fleet.activeFaults.isEmpty() ||
    fleet.frozenUntilMs.some((untilMs) => untilMs > nowMs) ||
    fleet.workers.size < fleet.siteCount ||
    fleet.agents.size < fleet.siteCount ||
    fleet.entries.size < fleet.entryCount;
  const calmSinceMs = isDisturbed ? nowMs : absences.calmSinceMs;
  const workers = fleet.workers
    .valueSeq()
    .map((worker) => ({
      ...worker,
      state: advanceTaskWorker(worker.state, workerClockMs(worker, nowMs)),
    }))
    .toArray();
  const running = new Set(workers.flatMap(({ state }) => [...state.runs.keys()]));
  // A worker lists a success before any leader has recorded it.
  const listed = new Set(
    workers.flatMap(({ state }) =>
      state.ends
        .filter(({ end }) => end === 'done')
        .map(({ task }) => task)
        .toArray(),
    ),
  );
  const isDone = (task: string): boolean => fleet.acknowledgedTasks.has(task);
  const tasks = openJobs(fleet).flatMap((job) => runnableTasks(job, isDone));
  const seenAtMs = Map(
    tasks.map(({ task, isLasting }): readonly [string, number] => {
      const isAtWork = running.has(task) || (!isLasting && listed.has(task));
      const seenMs = isAtWork ? nowMs : absences.seenAtMs.get(task, nowMs);
      // A short run may begin and end between two looks.
      return [task, Math.max(seenMs, fleet.startedAtMs.get(task, 0))];
    }),
  );
  const isCalm = nowMs - calmSinceMs >= CALM_MS;
  const late = tasks.filter(({ task, isLasting }) => {
    const awayMs = nowMs - (seenAtMs.get(task) ?? nowMs);
    return isCalm && awayMs > (isLasting ? MAX_LASTING_AWAY_MS : MAX_AWAY_MS);
  });
  // Rows are decoded for each run, so room is looked at only when a task is late.
  const rooms =
    late.length === 0
      ? []
      : workers
          .filter(({ isDraining }) => !isDraining)
          .map((worker) => freeMilli(worker, needsOfTask(fleet)));
  const away = late.filter(
    ({ processorsMilli }) =>
      rooms.filter((room) => room >= processorsMilli).length >= MIN_WORKERS_WITH_ROOM,
  );
  const known = new Set(
    fleet.violations.flatMap(({ kind, task }) => (kind === 'taskAway' ? [task] : [])),
  );
  const found = away
    .filter(({ task }) => !known.has(task))
    .map(({ task }): FleetViolation => ({ kind: 'taskAway', task, atMs: nowMs }));
  return {
    ...fleet,
    absences: { observedAtMs: nowMs, calmSinceMs, seenAtMs },
    violations: [...fleet.violations, ...found],
  };
}
