import type { Map } from 'immutable';
import { without } from '@bronzeyoke/types';
import type { ReadyStage } from '@bronzeyoke/workflow';
import { taskProgress } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import { searchKey } from './candidates';
import type { SchedulerState } from '../types';
import type { PlaceWait, WaitCause } from './placewait';
import { advanceWait, startWait } from './placewait';

/** A task that waits for a place. */
export interface WaitingTask {
  readonly task: string;
  readonly slot: string;
  readonly candidate: StageCandidate;
  readonly wait: PlaceWait;
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

function waitOf(known: PlaceWait | undefined, sinceMs: number, cause: WaitCause): PlaceWait {
  switch (known?.phase) {
    case undefined:
      return startWait(sinceMs, cause);
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

/** Ranks those first for which others move, unless they were moved themselves. */
function movesRank({ isMoved, moves }: PlaceWait): number {
  return Number(!isMoved && moves === undefined);
}

/** Ranks tasks whose place was made for them first, and those that have not run last. */
function searchClass({ isMoved, cause }: PlaceWait): number {
  if (isMoved) return 0;
  return cause === 'starved' ? 2 : 1;
}

/** Compares two times, or passes, since which something was left out; what was not comes last. */
export function compareSince(left = Infinity, right = Infinity): number {
  return left === right ? 0 : left - right;
}

/**
 * Compares two waits by the order of their searches. Within a class, those that earlier passes had no
 * work left for come first. Those that a pass has searched in vain come after those that it did not get
 * to: otherwise tasks that fit nowhere use up the searches of every pass.
 */
function compareWaits(left: PlaceWait, right: PlaceWait): number {
  return (
    searchClass(left) - searchClass(right) ||
    compareSince(left.leftOutSinceMs, right.leftOutSinceMs) ||
    (left.searchedAtMs ?? 0) - (right.searchedAtMs ?? 0) ||
    movesRank(left) - movesRank(right) ||
    left.sinceMs - right.sinceMs
  );
}

/** Time without a place after which room is kept for a task that needs more than falls free at once. */
const STARVED_AFTER_MS = 5_000;

/** Stages for which room is kept at a time, so that most of the fleet is left to the order of urgency. */
const MAX_STARVED_STAGES = 4;

/**
 * Returns the stages that smaller tasks have kept from a place for long, the longest wait first. Those for
 * which no worker could keep room come last, the latest turn at the end: otherwise a few of them would
 * take all turns.
 */
function starvedStages(
  { unplacedSince, missedTurns }: SchedulerState,
  candidates: readonly StageCandidate[],
  nowMs: number,
): readonly StageCandidate[] {
  const sinceOf = (candidate: StageCandidate): number =>
    unplacedSince.get(searchKey(candidate), Infinity);
  const missedAtMs = (candidate: StageCandidate): number =>
    missedTurns.get(searchKey(candidate), 0);
  return candidates
    .filter((candidate) => nowMs - sinceOf(candidate) >= STARVED_AFTER_MS)
    .toSorted(
      (left, right) => missedAtMs(left) - missedAtMs(right) || sinceOf(left) - sinceOf(right),
    )
    .slice(0, MAX_STARVED_STAGES);
}

/** Returns the tasks for which room is kept, lasting ones that have run first, then by their wait. */
export function waitingTasks(
  state: SchedulerState,
  candidates: readonly StageCandidate[],
  nowMs: number,
): readonly WaitingTask[] {
  const waitingSlots = (
    candidate: StageCandidate,
    slots: readonly string[],
    sinceMs: number,
    cause: WaitCause,
  ): readonly WaitingTask[] =>
    slots.map((slot) => {
      const task = `${candidate.jobId}.${slot}`;
      const wait = waitOf(state.waits.get(task), sinceMs, cause);
      return { task, slot, candidate, wait };
    });
  const returning = candidates.flatMap((candidate) => {
    const { jobId, ready } = candidate;
    return waitingSlots(candidate, returningSlots(state, jobId, ready), nowMs, 'returning');
  });
  const starved = starvedStages(state, candidates, nowMs).flatMap((candidate) => {
    const { jobId, ready } = candidate;
    const returned = new Set(returningSlots(state, jobId, ready));
    const slots = ready.slots.filter((slot) => !returned.has(slot));
    const sinceMs = state.unplacedSince.get(searchKey(candidate), nowMs);
    return waitingSlots(candidate, slots, sinceMs, 'starved');
  });
  return [...returning, ...starved].toSorted((left, right) => compareWaits(left.wait, right.wait));
}

/** Returns the missed turns after a pass, of the stages that still wait and for which no room is kept. */
export function updateMissedTurns(
  { missedTurns, unplacedSince, waits }: SchedulerState,
  waiting: readonly WaitingTask[],
  nowMs: number,
): Map<string, number> {
  const turns = waiting.filter(
    ({ task, wait }) => wait.cause === 'starved' && waits.get(task)?.leftOutSinceMs === undefined,
  );
  const keyOf = ({ candidate }: WaitingTask): string => searchKey(candidate);
  const kept = new Set(
    turns.filter(({ task }) => waits.get(task)?.phase !== 'searching').map(keyOf),
  );
  return missedTurns
    .merge(turns.map((turn) => [keyOf(turn), nowMs]))
    .filter((_, key) => unplacedSince.has(key) && !kept.has(key));
}

/** Returns a task whose turn has come. */
export function reachedTask(waiting: WaitingTask): WaitingTask {
  return { ...waiting, wait: without(waiting.wait, 'leftOutSinceMs') };
}

/** Forgets the searches in vain after a pass that has searched for all: the longest wait comes first again. */
export function forgetSearches(state: SchedulerState): SchedulerState {
  const { waits } = state;
  if (!waits.some(({ searchedAtMs }) => searchedAtMs !== undefined)) return state;
  return { ...state, waits: waits.map((wait) => without(wait, 'searchedAtMs')) };
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
