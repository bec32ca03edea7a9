import { List, Map } from 'immutable';
import { logEffect } from '@bronzeyoke/telemetry';
import { chainAfter } from '@bronzeyoke/types';
import { untilNextDueMs } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import { orderedCandidates, searchKey } from './candidates';
import { updateLoads } from '../fleet/loads';
import { openOutlook, withSizes } from './foresight';
import { passSlowdown } from '../leadership/handover';
import { stopRun } from './runorders';
import type { PlacementPass } from './pass';
import { listedWork, passBudget, passWork, withOthersShare } from './passbudget';
import { reserveForMoves } from './movedplace';
import { placeReturning } from './returning';
import type { Round } from './round';
import { openRound, placeStage } from './round';
import { withEffects } from '../state';
import { openSuspects } from '../jobs/suspects';
import { createOccupancies } from './tenants';
import { placeTrials } from './trials';
import type { SchedulerState, SchedulerStep } from '../types';
import type { KnownLoads } from '../views';
import { logWaits } from './waitlog';
import type { WaitingTask } from './waits';
import { compareSince, updateMissedTurns, updateWaits, waitingTasks } from './waits';

/** Time after which tasks are placed again while lasting tasks wait, whose plans depend on it. */
const RETURNING_AGAIN_MS = 200;

/**
 * The same while other tasks wait. A quarantine ends and a job becomes overdue without an event. The
 * limit also holds for occurrences to come, because the wall clock may step.
 */
const WAITING_AGAIN_MS = 500;

/** Time for which all others wait while passes cannot reach all lasting tasks that have run. */
const MAX_HELD_MS = 1_000;

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
 * Returns the candidates in the order of their turns while passes leave some out: in turn the most urgent
 * one, and the one that has been left out longest. The first ones must not wait for a backlog of others,
 * and the last ones not for urgent stages that find no room.
 */
function orderedTurns(
  { leftOut }: SchedulerState,
  candidates: readonly StageCandidate[],
): readonly StageCandidate[] {
  if (leftOut.isEmpty()) return candidates;
  const passOf = (candidate: StageCandidate): number | undefined =>
    leftOut.get(searchKey(candidate));
  const byAge = candidates.toSorted((left, right) => compareSince(passOf(left), passOf(right)));
  const byUrgency = byAge.toSorted((left, right) => left.priority - right.priority);
  return [...new Set(List(byUrgency).interleave(List(byAge)))];
}

/** Returns the work of a pass before it places anything, and the limits of its parts. */
function openBudget(
  state: SchedulerState,
  listedCount: number,
  demandCount: number,
): Pick<PlacementPass, 'work' | 'budget'> {
  const { workers, passPace, settings } = state;
  const work = listedWork(workers.size, listedCount) + workers.size * demandCount;
  const placingWork = passWork(passPace, settings.capacity, passSlowdown(state));
  return { work, budget: passBudget(placingWork, work) };
}

/** Returns the loads of the workers on which tasks may begin. */
function loadsWithoutTrials(known: KnownLoads): PlacementPass['loads'] {
  const hasTrials = known.some(({ hasTrial }) => hasTrial);
  const usable = hasTrials ? known.filter(({ hasTrial }) => !hasTrial) : known;
  return usable.map(({ load }) => load);
}

/** Returns the pass for all others; held ones are left to a later pass. */
function passForOthers(pass: PlacementPass, isHeld: boolean): PlacementPass {
  const budget = isHeld ? { ...pass.budget, others: 0 } : withOthersShare(pass.budget, pass.work);
  return { ...pass, budget };
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
  const loads = loadsWithoutTrials(known);
  const occupancyOf = createOccupancies(state, nowMs);
  const sized = withSizes(state, nowMs);
  const outlook = openOutlook(sized, candidates, { loads, occupancyOf });
  const pass: PlacementPass = reserveForMoves({
    state: {
      ...sized,
      waits: updateWaits(state, waiting),
      suspects: openSuspects(state),
      loads: known,
      passCount,
    },
    loads,
    outlook,
    backfilled: [],
    held: new Set(),
    stops: Map(),
    occupancyOf,
    reservations: Map(),
    ...openBudget(state, candidates.length + waiting.length, outlook.demands.length),
  });
  const heldSinceMs = Math.min(state.othersHeldSinceMs, nowMs);
  const mayHold = nowMs - heldSinceMs < MAX_HELD_MS;
  const { pass: returned, isCut, isHeld } = placeReturning(pass, waiting, mayHold, nowMs);
  const others = orderedTurns(state, withoutReturning(candidates, waiting));
  const tried = placeTrials(passForOthers(returned, isHeld), others, nowMs);
  const round = others.reduce<Round>(
    (current, candidate) => placeStage(current, candidate, nowMs),
    openRound(tried, waiting),
  );
  const placed = round.pass;
  const logged = logWaits(placed, waiting, nowMs);
  const { failedSearches, unplacedSince, leftOut } = round;
  const next: SchedulerState = {
    ...logged.state,
    failedSearches,
    unplacedSince,
    leftOut,
    missedTurns: updateMissedTurns({ ...logged.state, unplacedSince }, waiting, nowMs),
    needsPlacement: isCut || round.isCut,
    othersHeldSinceMs: isHeld ? heldSinceMs : Infinity,
    passWork: placed.work,
    lastPassAtMs: nowMs,
    placeAgainAtMs: nowMs + untilNextPassMs(logged.state, candidates, wallMs),
  };
  return chainAfter(
    withEffects(next, [
      ...logged.effects,
      ...placed.backfilled.map((task) => logEffect('taskBackfilled', { task })),
    ]),
    [...placed.stops].map(
      ([task, reason]) =>
        (current: SchedulerState) =>
          stopRun(current, task, reason, nowMs),
    ),
  );
}
