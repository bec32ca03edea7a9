import { Map } from 'immutable';
import { chainAfter } from '@bronzeyoke/types';
import { untilNextDueMs } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import { orderedCandidates } from './candidates';
import { updateLoads } from './loads';
import { stopRun } from './pace';
import type { PlacementPass } from './pass';
import { placeReturning, reserveForMoves } from './returning';
import type { Round } from './round';
import { openRound, placeStage } from './round';
import { withEffects } from './state';
import { openSuspects } from './suspects';
import { createOccupancies } from './tenants';
import { placeTrials } from './trials';
import type { SchedulerState, SchedulerStep } from './types';
import { logWaits } from './waitlog';
import type { WaitingTask } from './waits';
import { updateVainSearches, updateWaits, waitingTasks } from './waits';

/** Time after which tasks are placed again while lasting tasks wait, whose plans depend on it. */
const RETURNING_AGAIN_MS = 200;

/**
 * The same while other tasks wait. A quarantine ends and a job becomes overdue without an event. The
 * limit also holds for occurrences to come, because the wall clock may step.
 */
const WAITING_AGAIN_MS = 500;

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
    state: {
      ...state,
      waits: updateWaits(state, waiting),
      suspects: openSuspects(state),
      loads: known,
      passCount,
    },
    loads: known.filter(({ hasTrial }) => !hasTrial).map(({ load }) => load),
    held: new Set(),
    stops: Map(),
    occupancyOf: createOccupancies(state, nowMs),
    reservations: Map(),
  });
  const returned = placeReturning(pass, waiting, nowMs);
  const others = withoutReturning(candidates, waiting);
  const tried = placeTrials(returned, others, nowMs);
  const round = others.reduce<Round>(
    (current, candidate) => placeStage(current, candidate, nowMs),
    openRound(tried, waiting),
  );
  const placed = round.pass;
  const logged = logWaits(placed, waiting, nowMs);
  const { unplacedSince, failedSearches } = round;
  const next: SchedulerState = {
    ...logged.state,
    failedSearches,
    unplacedSince,
    vainSearches: updateVainSearches({ ...logged.state, unplacedSince }, waiting, nowMs),
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
