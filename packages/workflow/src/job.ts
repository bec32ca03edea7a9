import type { JobFailure, JobOutcome, JobStatus, Stage, TaskRef, WorkflowJob } from './types';
import type { TaskProgress } from './run';
import { isAssigned, UNCLAIMED_TASK } from './run';

/** Progress of a job. Tasks that were never claimed have no entry. */
export interface JobProgress {
  readonly tasks: ReadonlyMap<string, TaskProgress>;
  readonly outcome?: JobOutcome;
  /** Present when the outcome is `failed`, but in rows of builds that did not store it. */
  readonly failure?: JobFailure;
  /** Wall-clock time of the outcome. */
  readonly endedAtMs?: number;
}

/** Progress of a job without a claimed task. */
export const NO_PROGRESS: JobProgress = { tasks: new Map() };

/** Returns the slot of a task, which is its key within the job. */
export function slotKey(occurrence: number, stageIndex: number, index: number): string {
  return `${occurrence}.${stageIndex}.${index}`;
}

/** Returns the index of the stage of a slot. */
export function slotStageIndex(slot: string): number {
  return Number(slot.split('.')[1]);
}

/** Returns the name of a task for workers and logs. */
export function taskName(ref: TaskRef): string {
  return `${ref.jobId}.${slotKey(ref.occurrence, ref.stageIndex, ref.index)}`;
}

/** Parses the name of a task; undefined when it is malformed. */
export function parseTaskName(name: string): TaskRef | undefined {
  const [jobId, ...numbers] = name.split('.');
  const [occurrence, stageIndex, index] = numbers.map(Number);
  const areIntegers = [occurrence, stageIndex, index].every((part) => Number.isSafeInteger(part));
  if (jobId === undefined || jobId === '' || numbers.length !== 3 || !areIntegers) return undefined;
  return { jobId, occurrence: occurrence ?? 0, stageIndex: stageIndex ?? 0, index: index ?? 0 };
}

/** Returns the progress of one task. */
export function taskProgress(progress: JobProgress, slot: string): TaskProgress {
  return progress.tasks.get(slot) ?? UNCLAIMED_TASK;
}

/** Replaces the progress of some tasks. */
export function withTasks(
  progress: JobProgress,
  changed: readonly (readonly [string, TaskProgress])[],
): JobProgress {
  return { ...progress, tasks: new Map([...progress.tasks, ...changed]) };
}

/** Returns the slots of a stage in one occurrence. */
export function stageSlots(
  stage: Stage,
  occurrence: number,
  stageIndex: number,
): readonly string[] {
  return Array.from({ length: stage.taskCount }, (_, index) =>
    slotKey(occurrence, stageIndex, index),
  );
}

/**
 * Returns the checkpoint from which all members of a gang start: the one that most members have saved.
 * That of any member is valid for the gang, but all must start from the same one.
 */
export function gangCheckpoint(
  stage: Stage,
  progress: JobProgress,
  occurrence: number,
  stageIndex: number,
): string | undefined {
  const saved = stageSlots(stage, occurrence, stageIndex).flatMap(
    (slot) => taskProgress(progress, slot).checkpoint ?? [],
  );
  const countOf = (value: string): number => saved.filter((other) => other === value).length;
  return saved.reduce<string | undefined>(
    (best, value) => (best === undefined || countOf(value) > countOf(best) ? value : best),
    undefined,
  );
}

/** Returns whether all tasks of a stage are done. */
export function isStageDone(
  job: WorkflowJob,
  progress: JobProgress,
  occurrence: number,
  stageIndex: number,
): boolean {
  const stage = job.stages[stageIndex];
  if (stage === undefined) return true;
  return stageSlots(stage, occurrence, stageIndex).every(
    (slot) => taskProgress(progress, slot).phase === 'done',
  );
}

/** Returns how often the stages of a job run. */
export function occurrenceCount(job: WorkflowJob): number {
  return job.schedule?.occurrences ?? 1;
}

/** Returns the occurrences that are due. */
export function dueOccurrences(job: WorkflowJob, wallMs: number): readonly number[] {
  const { schedule } = job;
  if (schedule === undefined) return [0];
  const { firstAtMs, periodMs, occurrences } = schedule;
  const passed = Math.floor((wallMs - firstAtMs) / Math.max(1, periodMs)) + 1;
  return Array.from({ length: Math.max(0, Math.min(occurrences, passed)) }, (_, index) => index);
}

/** Returns the time until the next occurrence of a job is due; infinite if there is none. */
export function untilNextDueMs(job: WorkflowJob, wallMs: number): number {
  const { schedule } = job;
  const dueCount = dueOccurrences(job, wallMs).length;
  if (schedule === undefined || dueCount >= schedule.occurrences) return Infinity;
  return schedule.firstAtMs + dueCount * schedule.periodMs - wallMs;
}

/** A stage that may start, with the slots that wait for a worker. */
export interface ReadyStage {
  readonly occurrence: number;
  readonly stageIndex: number;
  readonly stage: Stage;
  readonly slots: readonly string[];
}

/** Returns the stages that may start now and have waiting tasks. */
export function readyStages(
  job: WorkflowJob,
  progress: JobProgress,
  wallMs: number,
): readonly ReadyStage[] {
  if (progress.outcome !== undefined) return [];
  return dueOccurrences(job, wallMs).flatMap((occurrence) =>
    job.stages.flatMap((stage, stageIndex) => {
      const slots = stageSlots(stage, occurrence, stageIndex).filter(
        (slot) => taskProgress(progress, slot).phase === 'waiting',
      );
      const mayStart =
        slots.length > 0 &&
        stage.dependsOn.every((earlier) => isStageDone(job, progress, occurrence, earlier));
      return mayStart ? [{ occurrence, stageIndex, stage, slots }] : [];
    }),
  );
}

/** Returns whether every task of every occurrence is done. */
export function isComplete(job: WorkflowJob, progress: JobProgress): boolean {
  return Array.from({ length: occurrenceCount(job) }, (_, index) => index).every((occurrence) =>
    job.stages.every((_, stageIndex) => isStageDone(job, progress, occurrence, stageIndex)),
  );
}

/** Makes lasting tasks wait again that a row of an earlier build counts as done. */
export function restartLasting(job: WorkflowJob, progress: JobProgress): JobProgress {
  const ended = [...progress.tasks].filter(
    ([slot, { phase }]) => phase === 'done' && job.stages[slotStageIndex(slot)]?.isLasting === true,
  );
  const waiting = ended.map(
    ([slot, { attempt }]) => [slot, { ...UNCLAIMED_TASK, attempt }] as const,
  );
  return waiting.length === 0 ? progress : withTasks(progress, waiting);
}

/** Returns the status of a job for callers. */
export function statusOf(progress: JobProgress): JobStatus {
  if (progress.outcome !== undefined) return progress.outcome;
  return [...progress.tasks.values()].some((task) => task.attempt > 0) ? 'active' : 'queued';
}

/** Returns the length of a job's critical path, given the remaining time of each stage. */
export function criticalPathMs(
  job: WorkflowJob,
  remainingMsOf: (stageIndex: number, stage: Stage) => number,
): number {
  const ends = job.stages.reduce<readonly number[]>((known, stage, stageIndex) => {
    const start = Math.max(0, ...stage.dependsOn.map((earlier) => known[earlier] ?? 0));
    return [...known, start + remainingMsOf(stageIndex, stage)];
  }, []);
  return Math.max(0, ...ends);
}

/** Returns the declared length of the critical path of the whole job. */
export function declaredCriticalPathMs(job: WorkflowJob): number {
  return criticalPathMs(job, (_, stage) => stage.estimateMs);
}

/** Returns the wall-clock time by which the job should be complete. */
export function objectiveAtMs(job: WorkflowJob): number {
  const { slackFactor, targetDurationMs } = job.policy;
  return job.acceptedAtMs + slackFactor * declaredCriticalPathMs(job) + targetDurationMs;
}

/** Returns the processor time that is not done yet, in core-milliseconds; by default the declared one. */
export function remainingWork(
  job: WorkflowJob,
  progress: JobProgress,
  runMsOf: (stage: Stage) => number = ({ estimateMs }) => estimateMs,
): number {
  const doneCounts = [...progress.tasks].reduce((counts, [slot, task]) => {
    const stageIndex = slotStageIndex(slot);
    return task.phase === 'done'
      ? counts.set(stageIndex, (counts.get(stageIndex) ?? 0) + 1)
      : counts;
  }, new Map<number, number>());
  return job.stages.reduce((sum, stage, stageIndex) => {
    const remaining = stage.taskCount * occurrenceCount(job) - (doneCounts.get(stageIndex) ?? 0);
    return sum + (remaining * stage.needs.processorsMilli * runMsOf(stage)) / 1_000;
  }, 0);
}

/** Returns the slots whose tasks occupy a worker, with their progress. */
export function assignedSlots(progress: JobProgress): readonly (readonly [string, TaskProgress])[] {
  return [...progress.tasks].filter(([, task]) => isAssigned(task));
}
