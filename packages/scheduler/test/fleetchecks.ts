import type { Resources } from '@bronzeyoke/types';
import { parseTaskName } from '@bronzeyoke/workflow';
import type { Stage } from '@bronzeyoke/workflow';

const MIN_PLACES = 2;

/** A rule that was broken. */
export type FleetViolation =
  | { readonly kind: 'awayWithPlaces'; readonly task: string; readonly sinceMs: number }
  | { readonly kind: 'awayWithMove'; readonly task: string; readonly sinceMs: number }
  | { readonly kind: 'stoppedBeyondLimit'; readonly task: string; readonly othersAway: number }
  | { readonly kind: 'overCapacity'; readonly worker: string; readonly atMs: number }
  | { readonly kind: 'doubleRun'; readonly task: string; readonly workers: readonly string[] }
  | { readonly kind: 'ranAfterEnd'; readonly task: string }
  | { readonly kind: 'crashedTooOften'; readonly task: string; readonly starts: number };

/** A lasting task that runs on a worker or is claimed there. */
export interface PlacedTask {
  readonly task: string;
  readonly stage: Stage;
  /** Whether the scheduler may stop it now: the others of its stage that are away allow it. */
  readonly isMovable: boolean;
}

/** A worker that takes tasks, with its lasting tasks alone. */
export interface WorkerRoom {
  readonly key: string;
  readonly capacity: Resources;
  readonly placed: readonly PlacedTask[];
}

/** Returns the name of a task's stage. */
export function stageNameOf(task: string): string {
  const ref = parseTaskName(task);
  return `${ref?.jobId}.${ref?.occurrence}.${ref?.stageIndex}`;
}

/** Returns whether tasks fit a worker together. Filling tasks share the processors of the others. */
export function fitTogether(stages: readonly Stage[], capacity: Resources): boolean {
  const processorsMilli = stages
    .filter(({ fillsIdle }) => !fillsIdle)
    .reduce((sum, { needs }) => sum + needs.processorsMilli, 0);
  const memoryMb = stages.reduce((sum, { needs }) => sum + needs.memoryMb, 0);
  return processorsMilli <= capacity.processorsMilli && memoryMb <= capacity.memoryMb;
}

/** Returns whether a lasting task fits a worker beside its lasting tasks, within its limit a worker. */
export function isPlaceFor(task: string, stage: Stage, { capacity, placed }: WorkerRoom): boolean {
  const name = stageNameOf(task);
  const siblings = placed.filter((other) => stageNameOf(other.task) === name);
  return (
    siblings.length < (stage.maxPerWorker ?? Infinity) &&
    fitTogether([stage, ...placed.map((other) => other.stage)], capacity)
  );
}

/** Counts the workers that have a place for a lasting task. */
export function countPlaces(task: string, stage: Stage, rooms: readonly WorkerRoom[]): number {
  return rooms.filter((room) => isPlaceFor(task, stage, room)).length;
}

/** Counts the tasks of a stage that fit a worker beside its lasting tasks. */
function countSlots(task: string, stage: Stage, room: WorkerRoom): number {
  if (!isPlaceFor(task, stage, room)) return 0;
  const taken = { task, stage, isMovable: false };
  return 1 + countSlots(task, stage, { ...room, placed: [...room.placed, taken] });
}

/**
 * Returns whether a waiting task has two places, since another task that waits may need the first one.
 * The members of a gang need a place each at the same time, and one more.
 */
export function hasPlaces(task: string, stage: Stage, rooms: readonly WorkerRoom[]): boolean {
  if (!stage.isGang) return countPlaces(task, stage, rooms) >= MIN_PLACES;
  const slots = rooms.reduce((sum, room) => sum + countSlots(task, stage, room), 0);
  return slots >= stage.taskCount - 1 + MIN_PLACES;
}

/** Returns whether a worker has a place for a lasting task once another one has moved. */
export function hasPlaceByMove(task: string, stage: Stage, rooms: readonly WorkerRoom[]): boolean {
  return rooms.some((room) =>
    room.placed.some((moved) => {
      const left = { ...room, placed: room.placed.filter((other) => other !== moved) };
      return (
        moved.isMovable &&
        isPlaceFor(task, stage, left) &&
        rooms.some((other) => other !== room && isPlaceFor(moved.task, moved.stage, other))
      );
    }),
  );
}

/** Returns whether the scheduler may stop a lasting task while others of its stage are away. */
export function mayStop(stage: Stage, othersAway: number): boolean {
  const { maxUnavailable = 0, isGang, taskCount } = stage;
  // The stop of one member ends the whole gang.
  return isGang ? taskCount <= maxUnavailable : othersAway < maxUnavailable;
}
