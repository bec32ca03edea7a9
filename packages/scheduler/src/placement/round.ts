import { Map } from 'immutable';
import { fitsEmptyWorker } from '@bronzeyoke/placement';
import type { Resources } from '@bronzeyoke/types';
import { fitsIn } from '@bronzeyoke/types';
import { assignedSlots, taskProgress } from '@bronzeyoke/workflow';
import { backfill } from './backfill';
import type { StageCandidate } from './candidates';
import { searchKey } from './candidates';
import type { PlacementPass } from './pass';
import {
  isBackingOff,
  isSpent,
  loadsOfService,
  placeGang,
  placeTask,
  serviceOf,
  spend,
} from './pass';
import { preemptFills } from './preempt';
import { placeOn, searchScope } from './search';
import type { SchedulerState } from '../types';
import type { FailedSearch } from '../views';
import type { WaitingTask } from './waits';

/**
 * Workers that the filling stages of one pass look at, in total. A pass must stay short, because renewals
 * and reports wait for it; the next pass goes on with the stages that are left.
 */
const MAX_LOOKS = 2_000;

/**
 * Places one task of a job beside a task that it harms, at a low pace, if the job has no other task on a
 * worker.
 */
function placeLastResort(
  pass: PlacementPass,
  candidate: StageCandidate,
  slot: string,
  nowMs: number,
): PlacementPass {
  const { jobId, ready } = candidate;
  const open = pass.state.jobs.get(jobId);
  if (open === undefined || !ready.stage.fillsIdle) return pass;
  if (assignedSlots(open.progress).length > 0) return pass;
  const attempt = 1 + taskProgress(open.progress, slot).attempt;
  return placeTask(pass, jobId, ready, slot, attempt, nowMs, { isLastResort: true }) ?? pass;
}

/** A pass over the stages, with the failed searches so far and the workers that it may still look at. */
export interface Round {
  readonly pass: PlacementPass;
  readonly failedSearches: Map<string, FailedSearch>;
  readonly unplacedSince: Map<string, number>;
  readonly looksLeft: number;
  /** A stage was left to the next pass. */
  readonly isCut: boolean;
  /** Pass that first left a stage out for want of work, by `searchKey`. */
  readonly leftOut: Map<string, number>;
  /** Demands of stages for which the pass has found no worker. */
  readonly unmet: readonly Demand[];
}

/** Returns since when the stages have waited for which room is kept. */
function keepUnplaced(
  { unplacedSince }: SchedulerState,
  waiting: readonly WaitingTask[],
): Map<string, number> {
  return waiting.reduce((kept, { candidate, wait }) => {
    const key = searchKey(candidate);
    return wait.cause === 'starved' ? kept.set(key, unplacedSince.get(key, wait.sinceMs)) : kept;
  }, Map<string, number>());
}

/** Returns a round that begins with the stages for which room is kept. */
export function openRound(pass: PlacementPass, waiting: readonly WaitingTask[]): Round {
  return {
    pass,
    failedSearches: Map(),
    unplacedSince: keepUnplaced(pass.state, waiting),
    looksLeft: MAX_LOOKS,
    isCut: false,
    leftOut: Map(),
    unmet: [],
  };
}

/** What a stage without filling tasks and without a limit a worker asks for. */
interface Demand {
  readonly service: string;
  readonly requiredLabel: string | undefined;
  readonly needs: Resources;
}

/** Returns the demand of a stage; undefined if more than room decides whether a worker may run it. */
function demandOf({ state }: PlacementPass, { jobId, ready }: StageCandidate): Demand | undefined {
  const open = state.jobs.get(jobId);
  const { needs, requiredLabel, fillsIdle, maxPerWorker } = ready.stage;
  if (open === undefined || fillsIdle || maxPerWorker !== undefined) return undefined;
  return { service: serviceOf(state, open), requiredLabel, needs };
}

/** Returns whether no worker has room for a demand because there was none for one that asks for less. */
function isKnownUnmet({ unmet }: Round, { service, requiredLabel, needs }: Demand): boolean {
  return unmet.some(
    (other) =>
      other.service === service &&
      other.requiredLabel === requiredLabel &&
      fitsIn(other.needs, needs),
  );
}

/** Keeps the record of the last search of a stage that is not searched in this pass. */
function keepSearch(round: Round, candidate: StageCandidate): Round {
  const key = searchKey(candidate);
  const known = round.pass.state.failedSearches.get(key);
  if (known === undefined) return round;
  return { ...round, failedSearches: round.failedSearches.set(key, known) };
}

/** Records that a filling stage found too few workers. */
function recordFailure(
  round: Round,
  candidate: StageCandidate,
  isFull: boolean,
  nowMs: number,
): Round {
  const key = searchKey(candidate);
  const { state } = round.pass;
  const known = state.failedSearches.get(key);
  const fullAtMs = isFull ? nowMs : (known?.fullAtMs ?? nowMs);
  const sinceMs = known?.sinceMs ?? nowMs;
  const failed = { passNumber: state.passCount, sinceMs, fullAtMs };
  return { ...round, failedSearches: round.failedSearches.set(key, failed) };
}

/** Returns whether a worker could run a task of a stage if it were empty. */
function couldRun(pass: PlacementPass, { jobId, ready }: StageCandidate): boolean {
  const open = pass.state.jobs.get(jobId);
  return (
    open !== undefined &&
    loadsOfService(pass, open).some((load) => fitsEmptyWorker(ready.stage, load))
  );
}

/** Records that a stage without filling tasks waits for a worker. One that fits none waits for nothing. */
function recordUnplaced(round: Round, candidate: StageCandidate, nowMs: number): Round {
  const pass = spend(round.pass, round.pass.loads.size);
  if (!couldRun(pass, candidate)) return { ...round, pass };
  const key = searchKey(candidate);
  const sinceMs = pass.state.unplacedSince.get(key, nowMs);
  return { ...round, pass, unplacedSince: round.unplacedSince.set(key, sinceMs) };
}

/** Leaves a stage, or the rest of its tasks, to the next pass, with what is known of its wait. */
function leaveTo(round: Round, candidate: StageCandidate, sincePass: number): Round {
  const key = searchKey(candidate);
  const sinceMs = round.pass.state.unplacedSince.get(key);
  return {
    ...keepSearch(round, candidate),
    unplacedSince:
      sinceMs === undefined ? round.unplacedSince : round.unplacedSince.set(key, sinceMs),
    leftOut: round.leftOut.set(key, sincePass),
    isCut: true,
  };
}

/** Leaves out a stage whose turn has not come. It keeps its place among those left out. */
function leaveOut(round: Round, candidate: StageCandidate): Round {
  const { leftOut, passCount } = round.pass.state;
  return leaveTo(round, candidate, leftOut.get(searchKey(candidate), passCount));
}

/** Leaves out the rest of a stage. Stages that had no turn yet come before it. */
function leaveRest(round: Round, candidate: StageCandidate): Round {
  return leaveTo(round, candidate, round.pass.state.passCount);
}

/** Places tasks that need room of their own, or stops filling tasks that keep them from it. */
function placeOwnRoom(
  round: Round,
  candidate: StageCandidate,
  slots: readonly string[],
  nowMs: number,
): Round {
  const { pass } = round;
  const demand = demandOf(pass, candidate);
  if (demand !== undefined && isKnownUnmet(round, demand)) {
    const filled = backfill(pass, candidate, slots, nowMs);
    const next = { ...round, pass: filled.pass };
    return filled.left.length === 0 ? next : recordUnplaced(next, candidate, nowMs);
  }
  const { loads } = searchScope(pass, candidate, nowMs);
  const placed = placeOn(pass, candidate, slots, loads, nowMs);
  if (placed.isCut) return leaveRest({ ...round, pass: placed.pass }, candidate);
  if (placed.left.length === 0) return { ...round, pass: placed.pass };
  const filled = backfill(placed.pass, candidate, placed.left, nowMs);
  if (filled.left.length === 0) return { ...round, pass: filled.pass };
  const preempted = preemptFills(filled.pass, candidate, filled.left);
  const next = recordUnplaced({ ...round, pass: preempted.pass }, candidate, nowMs);
  const isUnmet = demand !== undefined && preempted.left.length > 0;
  return isUnmet ? { ...next, unmet: [...next.unmet, demand] } : next;
}

/** Time without a place after which a job with nothing at work gets one beside a task that it harms. */
const LAST_RESORT_AFTER_MS = 5_000;

/** Returns whether a filling stage has found no worker for long, or its job is far behind its objective. */
function needsLastResort(
  { pass: { state } }: Round,
  candidate: StageCandidate,
  nowMs: number,
): boolean {
  const sinceMs = state.failedSearches.get(searchKey(candidate))?.sinceMs ?? nowMs;
  return candidate.isOverdue || nowMs - sinceMs >= LAST_RESORT_AFTER_MS;
}

/** Places tasks that use what others leave idle. */
function placeFills(
  round: Round,
  candidate: StageCandidate,
  slots: readonly [string, ...string[]],
  nowMs: number,
): Round {
  const { pass } = round;
  // A pass has to end, and the users of other tasks wait.
  if (round.looksLeft <= 0) return { ...keepSearch(round, candidate), isCut: true };
  const { loads, isFull } = searchScope(pass, candidate, nowMs);
  const placed = placeOn(pass, candidate, slots, loads, nowMs);
  const isNonePlaced = placed.left.length === slots.length;
  const last =
    isNonePlaced && needsLastResort(round, candidate, nowMs)
      ? placeLastResort(pass, candidate, slots[0], nowMs)
      : placed.pass;
  const next = { ...round, pass: last, looksLeft: round.looksLeft - loads.length };
  if (placed.isCut) return leaveRest(next, candidate);
  return placed.left.length === 0 ? next : recordFailure(next, candidate, isFull, nowMs);
}

/** Places the tasks of a stage for which there is room. */
export function placeStage(round: Round, candidate: StageCandidate, nowMs: number): Round {
  const { pass } = round;
  const { jobId, ready } = candidate;
  if (ready.stage.isGang) {
    if (isSpent(pass, 'others')) return leaveOut(round, candidate);
    const placed = placeGang(pass, candidate, nowMs);
    const searched = spend(placed, ready.slots.length * pass.loads.size);
    const next = { ...round, pass: searched };
    return placed === pass ? recordUnplaced(next, candidate, nowMs) : next;
  }
  const [first, ...others] = ready.slots.filter(
    (slot) => !isBackingOff(pass, `${jobId}.${slot}`, nowMs),
  );
  if (first === undefined) return round;
  if (isSpent(pass, 'others')) return leaveOut(round, candidate);
  const slots = [first, ...others] as const;
  return ready.stage.fillsIdle
    ? placeFills(round, candidate, slots, nowMs)
    : placeOwnRoom(round, candidate, slots, nowMs);
}
