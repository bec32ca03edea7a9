import { Map } from 'immutable';
import { fitsEmptyWorker } from '@bronzeyoke/placement';
import { chainAfter } from '@bronzeyoke/types';
import { assignedSlots, taskProgress, untilNextDueMs } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import { orderedCandidates } from './candidates';
import { workerLoads } from './loads';
import { stopRun } from './pace';
import type { PlacementPass } from './pass';
import { isBackingOff, placeGang, placeTask } from './pass';
import { preemptFills } from './preempt';
import { placeReturning, reserveForMoves } from './returning';
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

function placeStage(pass: PlacementPass, candidate: StageCandidate, nowMs: number): PlacementPass {
  const { jobId, ready } = candidate;
  if (!pass.loads.some((load) => fitsEmptyWorker(ready.stage, load))) return pass;
  if (ready.stage.isGang) return placeGang(pass, candidate, nowMs);
  const slots = ready.slots.filter((slot) => !isBackingOff(pass, `${jobId}.${slot}`, nowMs));
  // The tasks of a stage have equal needs: when one finds no worker, the next finds none either.
  const placed = slots.reduce<{ readonly pass: PlacementPass; readonly left: readonly string[] }>(
    (current, slot) => {
      if (current.left.length > 0) return { ...current, left: [...current.left, slot] };
      const open = current.pass.state.jobs.get(jobId);
      const attempt = 1 + (open === undefined ? 0 : taskProgress(open.progress, slot).attempt);
      const next = placeTask(current.pass, jobId, ready, slot, attempt, nowMs);
      return next === undefined ? { ...current, left: [slot] } : { pass: next, left: [] };
    },
    { pass, left: [] },
  );
  if (!ready.stage.fillsIdle) return preemptFills(placed.pass, candidate, placed.left);
  const [first] = slots;
  const isNonePlaced = placed.pass === pass && first !== undefined;
  return isNonePlaced && candidate.isOverdue
    ? placeLastResort(pass, candidate, first, nowMs)
    : placed.pass;
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

/** Returns the candidates without the tasks that have run and wait. */
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
  const pass: PlacementPass = reserveForMoves({
    state: { ...state, waits: updateWaits(state, waiting) },
    loads: workerLoads(state, nowMs),
    stops: Map(),
    occupancyOf: createOccupancies(state, nowMs),
    reservations: Map(),
  });
  const returned = placeReturning(pass, waiting, nowMs);
  const placed = withoutReturning(candidates, waiting).reduce(
    (current, candidate) => placeStage(current, candidate, nowMs),
    returned,
  );
  const logged = logWaits(placed, waiting, nowMs);
  const next: SchedulerState = {
    ...logged.state,
    needsPlacement: false,
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
