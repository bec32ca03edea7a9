import { Map } from 'immutable';
import type { Resources } from '@bronzeyoke/types';
import { chainAfter, fitsIn } from '@bronzeyoke/types';
import { assignedSlots, taskProgress, untilNextDueMs } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import { orderedCandidates, searchKey } from './candidates';
import { updateLoads } from './loads';
import { stopRun } from './pace';
import type { PlacementPass } from './pass';
import { isBackingOff, placeGang, placeTask, serviceOf } from './pass';
import { preemptFills } from './preempt';
import { placeReturning, reserveForMoves } from './returning';
import type { FailedSearch } from './search';
import { placeOn, searchScope } from './search';
import { withEffects } from './state';
import { createOccupancies } from './tenants';
import type { SchedulerState, SchedulerStep } from './types';
import { logWaits } from './waitlog';
import type { WaitingTask } from './waits';
import { updateWaits, waitingTasks } from './waits';

/** Time after which tasks are placed again while lasting tasks wait, whose plans depend on it. */
const RETURNING_AGAIN_MS = 200;

/**
 * The same while other tasks wait. A quarantine ends and a job becomes overdue without an event. The
 * limit also holds for occurrences to come, because the wall clock may step.
 */
const WAITING_AGAIN_MS = 500;

/**
 * Workers that the filling stages of one pass look at, in total. A pass must stay short, because renewals
 * and reports wait for it; the next pass goes on with the stages that are left.
 */
const MAX_LOOKS = 6_000;

/**
 * Places one task of an overdue job beside a task that it harms, at a low pace, if the job has no other
 * task on a worker.
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
interface Round {
  readonly pass: PlacementPass;
  readonly failedSearches: Map<string, FailedSearch>;
  readonly unplacedSince: Map<string, number>;
  readonly looksLeft: number;
  /** A stage was left to the next pass. */
  readonly isCut: boolean;
  /** Demands of stages for which the pass has found no worker. */
  readonly unmet: readonly Demand[];
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
  const fullAtMs = isFull ? nowMs : (state.failedSearches.get(key)?.fullAtMs ?? nowMs);
  const failed = { passNumber: state.passCount, fullAtMs };
  return { ...round, failedSearches: round.failedSearches.set(key, failed) };
}

/** Records that a stage without filling tasks waits for a worker. */
function recordUnplaced(round: Round, candidate: StageCandidate, nowMs: number): Round {
  const key = searchKey(candidate);
  const sinceMs = round.pass.state.unplacedSince.get(key, nowMs);
  return { ...round, unplacedSince: round.unplacedSince.set(key, sinceMs) };
}

function placeTasksOf(round: Round, candidate: StageCandidate, nowMs: number): Round {
  const { pass } = round;
  const { jobId, ready } = candidate;
  const slots = ready.slots.filter((slot) => !isBackingOff(pass, `${jobId}.${slot}`, nowMs));
  const [first] = slots;
  const demand = demandOf(pass, candidate);
  const isHopeless = demand !== undefined && isKnownUnmet(round, demand);
  if (first === undefined) return round;
  if (isHopeless) return recordUnplaced(round, candidate, nowMs);
  const { loads, isFull } = searchScope(pass, candidate, nowMs);
  const placed = placeOn(pass, candidate, slots, loads, nowMs);
  const looked = { ...round, looksLeft: round.looksLeft - loads.length };
  if (!ready.stage.fillsIdle) {
    const preempted = preemptFills(placed.pass, candidate, placed.left);
    const next =
      placed.left.length === 0
        ? { ...looked, pass: preempted.pass }
        : recordUnplaced({ ...looked, pass: preempted.pass }, candidate, nowMs);
    const isUnmet = demand !== undefined && preempted.left.length > 0;
    return isUnmet ? { ...next, unmet: [...round.unmet, demand] } : next;
  }
  const isNonePlaced = placed.left.length === slots.length;
  const last =
    isNonePlaced && candidate.isOverdue
      ? placeLastResort(pass, candidate, first, nowMs)
      : placed.pass;
  const next = { ...looked, pass: last };
  return placed.left.length === 0 ? next : recordFailure(next, candidate, isFull, nowMs);
}

function placeStage(round: Round, candidate: StageCandidate, nowMs: number): Round {
  const { pass, looksLeft } = round;
  const { stage } = candidate.ready;
  if (stage.isGang) {
    const placed = placeGang(pass, candidate, nowMs);
    return placed === pass ? recordUnplaced(round, candidate, nowMs) : { ...round, pass: placed };
  }
  // Other stages are few, and their users wait.
  if (stage.fillsIdle && looksLeft <= 0) return { ...keepSearch(round, candidate), isCut: true };
  return placeTasksOf(round, candidate, nowMs);
}

/** Returns the time until tasks have to be placed again, even if nothing else happens. */
function untilNextPassMs(
  { jobs, waits }: SchedulerState,
  candidates: readonly StageCandidate[],
  wallMs: number,
): number {
  if (!waits.isEmpty()) return RETURNING_AGAIN_MS;
  if (candidates.length > 0) return WAITING_AGAIN_MS;
  const dueMs = jobs.valueSeq().map(({ job }) => untilNextDueMs(job, wallMs));
  const nextMs = dueMs.min() ?? Infinity;
  return Number.isFinite(nextMs) ? Math.min(nextMs, WAITING_AGAIN_MS) : Infinity;
}

/** Returns the candidates without the tasks for which room is kept. */
function withoutReturning(
  candidates: readonly StageCandidate[],
  waiting: readonly WaitingTask[],
): readonly StageCandidate[] {
  if (waiting.length === 0) return candidates;
  const names = new Set(waiting.map(({ task }) => task));
  return candidates.flatMap((candidate) => {
    const { jobId, ready } = candidate;
    const slots = ready.slots.filter((slot) => !names.has(`${jobId}.${slot}`));
    return slots.length === 0 ? [] : [{ ...candidate, ready: { ...ready, slots } }];
  });
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

/**
 * Claims workers for the waiting tasks that fit. The claims are stored before any start order.
 * Lasting tasks that have run come first, because their users count on them.
 */
export function placeTasks(state: SchedulerState, nowMs: number, wallMs: number): SchedulerStep {
  const candidates = orderedCandidates(state, wallMs);
  const waiting = waitingTasks(state, candidates, nowMs);
  const passCount = state.passCount + 1;
  const known = updateLoads(state, passCount, nowMs);
  const pass: PlacementPass = reserveForMoves({
    state: { ...state, waits: updateWaits(state, waiting), loads: known, passCount },
    loads: known.map(({ load }) => load),
    stops: Map(),
    occupancyOf: createOccupancies(state, nowMs),
    reservations: Map(),
  });
  const returned = placeReturning(pass, waiting, nowMs);
  const round = withoutReturning(candidates, waiting).reduce<Round>(
    (current, candidate) => placeStage(current, candidate, nowMs),
    {
      pass: returned,
      failedSearches: Map(),
      unplacedSince: keepUnplaced(state, waiting),
      looksLeft: MAX_LOOKS,
      isCut: false,
      unmet: [],
    },
  );
  const placed = round.pass;
  const logged = logWaits(placed, waiting, nowMs);
  const next: SchedulerState = {
    ...logged.state,
    failedSearches: round.failedSearches,
    unplacedSince: round.unplacedSince,
    needsPlacement: round.isCut,
    lastPassAtMs: nowMs,
    placeAgainAtMs: nowMs + untilNextPassMs(logged.state, candidates, wallMs),
  };
  return chainAfter(
    withEffects(next, logged.effects),
    [...placed.stops].map(
      ([task, reason]) =>
        (current: SchedulerState) =>
          stopRun(current, task, reason, nowMs),
    ),
  );
}
