import { Map } from 'immutable';
import type { JobProgress, WorkflowJob } from '@bronzeyoke/workflow';
import { isAssigned, stageSlots } from '@bronzeyoke/workflow';
import type { Durations } from './durations';
import { addDuration, addDurations, NO_DURATIONS, totalMs } from './durations';
import type { TaskChange, TaskLatency } from './task';
import { changeTask, createTaskLatency, waitDurations } from './task';

/** The time of one job under the present leader. */
export interface JobLatency {
  readonly acceptedAtWallMs: number;
  readonly openedAtMs: number;
  readonly openedAtWallMs: number;
  /** Some of its tasks had been claimed when this leader opened it. */
  readonly hasEarlierLeader: boolean;
  /** Tasks that this leader has claimed, or that an earlier one had claimed and that were not done. */
  readonly tasks: Map<string, TaskLatency>;
}

/** Readings of both clocks at one moment. */
export interface Moment {
  /** Steady clock. */
  readonly nowMs: number;
  readonly wallMs: number;
}

/** Returns the record of a job that a leader opens. */
export function openJobLatency(
  job: WorkflowJob,
  progress: JobProgress,
  { nowMs, wallMs }: Moment,
): JobLatency {
  const begun = [...progress.tasks].filter(([, { phase }]) => phase !== 'done');
  return {
    acceptedAtWallMs: job.acceptedAtMs,
    openedAtMs: nowMs,
    openedAtWallMs: wallMs,
    hasEarlierLeader: progress.tasks.size > 0,
    tasks: Map(
      begun.map(([slot, task]) => [
        slot,
        createTaskLatency(isAssigned(task) ? 'starting' : 'waiting', nowMs),
      ]),
    ),
  };
}

/** Returns the record of a job after a change of one of its tasks. */
export function changeJobTask(
  latency: JobLatency,
  slot: string,
  change: TaskChange,
  nowMs: number,
): JobLatency {
  const known = latency.tasks.get(slot);
  const changed = changeTask(known, change, nowMs);
  if (changed === undefined || changed === known) return latency;
  return { ...latency, tasks: latency.tasks.set(slot, changed) };
}

/** A task that decided when a stage was done, from the time at which the stage could start. */
interface PathTask {
  readonly slot: string;
  readonly readyAtMs: number;
  readonly endedAtMs: number;
}

/** Where the time of a job went, along the tasks that decided when it ended. */
export interface LatencyBreakdown {
  readonly durations: Durations;
  readonly totalMs: number;
  /** The last task of each stage on the critical path, in the order of the stages. */
  readonly path: readonly string[];
  /** Runs of these tasks. */
  readonly runCount: number;
  /** Part of the waits that followed a run of the same task. */
  readonly retryWaitMs: number;
  /** Part of the total during which nine tenths of a stage's tasks were done, and the others were not. */
  readonly lastTasksMs: number;
}

/** Share of a stage's tasks after which the rest are its last tasks. */
const MOST_TASKS_SHARE = 0.9;

function splitSlot(slot: string): { readonly occurrence: number; readonly stageIndex: number } {
  const [occurrence = 0, stageIndex = 0] = slot.split('.').map(Number);
  return { occurrence, stageIndex };
}

/** Returns when a task was done. What has no record was done before this leader. */
function doneAtMs({ tasks, openedAtMs }: JobLatency, slot: string): number {
  return tasks.get(slot)?.sinceMs ?? openedAtMs;
}

/** Returns the task of a stage that was done last. */
function lastTask(
  latency: JobLatency,
  slots: readonly string[],
): Pick<PathTask, 'slot' | 'endedAtMs'> | undefined {
  return slots
    .map((slot) => ({ slot, endedAtMs: doneAtMs(latency, slot) }))
    .reduce<Pick<PathTask, 'slot' | 'endedAtMs'> | undefined>(
      (last, task) => (last === undefined || task.endedAtMs > last.endedAtMs ? task : last),
      undefined,
    );
}

/** Returns when an occurrence is due, but not before the leader has opened the job. */
function dueAtMs({ schedule }: WorkflowJob, latency: JobLatency, occurrence: number): number {
  if (schedule === undefined) return latency.openedAtMs;
  const dueWallMs = schedule.firstAtMs + occurrence * schedule.periodMs;
  return latency.openedAtMs + Math.max(0, dueWallMs - latency.openedAtWallMs);
}

/** Returns the tasks that decided when a task could start, and the task itself. */
function pathTo(
  job: WorkflowJob,
  latency: JobLatency,
  { slot, endedAtMs }: Pick<PathTask, 'slot' | 'endedAtMs'>,
): readonly PathTask[] {
  const { occurrence, stageIndex } = splitSlot(slot);
  const earlier = (job.stages[stageIndex]?.dependsOn ?? []).flatMap((index) => {
    const stage = job.stages[index];
    return stage === undefined ? [] : stageSlots(stage, occurrence, index);
  });
  const last = lastTask(latency, earlier);
  if (last === undefined) {
    return [{ slot, readyAtMs: dueAtMs(job, latency, occurrence), endedAtMs }];
  }
  return [...pathTo(job, latency, last), { slot, readyAtMs: last.endedAtMs, endedAtMs }];
}

function pathTaskDurations(latency: JobLatency, { slot, readyAtMs }: PathTask): Durations {
  const task = latency.tasks.get(slot);
  if (task === undefined) return NO_DURATIONS;
  const { firstClaimAtMs, firstNoRoomSinceMs, past } = task;
  const firstWait =
    firstClaimAtMs <= readyAtMs
      ? NO_DURATIONS
      : waitDurations(readyAtMs, firstNoRoomSinceMs, firstClaimAtMs);
  return addDurations(firstWait, past);
}

/** Returns for how long most tasks of a stage were done while its last ones were not. */
function lastTasksMs(job: WorkflowJob, latency: JobLatency, { slot, endedAtMs }: PathTask): number {
  const { occurrence, stageIndex } = splitSlot(slot);
  const stage = job.stages[stageIndex];
  if (stage === undefined) return 0;
  const doneTimes = stageSlots(stage, occurrence, stageIndex)
    .map((other) => doneAtMs(latency, other))
    .toSorted((left, right) => left - right);
  const mostDoneAtMs = doneTimes[Math.ceil(doneTimes.length * MOST_TASKS_SHARE) - 1];
  return Math.max(0, endedAtMs - (mostDoneAtMs ?? endedAtMs));
}

/** Returns the time from the acceptance until the first stage could start. */
function openingDurations(latency: JobLatency, readyAtMs: number): Durations {
  const { acceptedAtWallMs, openedAtWallMs, openedAtMs, hasEarlierLeader } = latency;
  const cause = hasEarlierLeader ? 'earlierLeader' : 'admission';
  const opening = addDuration(NO_DURATIONS, cause, openedAtWallMs - acceptedAtWallMs);
  return addDuration(opening, 'notDue', readyAtMs - openedAtMs);
}

/** Explains the time of a job that has ended with the end of a task. */
export function explainLatency(
  job: WorkflowJob,
  latency: JobLatency,
  endedSlot: string,
  nowMs: number,
): LatencyBreakdown {
  const path = pathTo(job, latency, { slot: endedSlot, endedAtMs: nowMs });
  const tasks = path.flatMap(({ slot }) => latency.tasks.get(slot) ?? []);
  const durations = path.reduce<Durations>(
    (sum, task) => addDurations(sum, pathTaskDurations(latency, task)),
    openingDurations(latency, path[0]?.readyAtMs ?? latency.openedAtMs),
  );
  return {
    durations,
    totalMs: totalMs(durations),
    path: path.map(({ slot }) => slot),
    runCount: tasks.reduce((sum, { runCount }) => sum + runCount, 0),
    retryWaitMs: tasks.reduce((sum, task) => sum + task.retryWaitMs, 0),
    lastTasksMs: path.reduce((sum, task) => sum + lastTasksMs(job, latency, task), 0),
  };
}
