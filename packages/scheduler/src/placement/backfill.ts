import type { KeptRoom, WorkerLoad } from '@bronzeyoke/placement';
import { fitsAfterMs, freeRoom, mayBackfill } from '@bronzeyoke/placement';
import type { Resources } from '@bronzeyoke/types';
import { fitsIn } from '@bronzeyoke/types';
import { parseTaskName, taskProgress } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import { CLEAR_AFTER_MS } from './keptplace';
import type { PlacementPass } from './pass';
import { claimOn, isSpent, serviceOf, siblingCounter, spend } from './pass';
import { VACANCY_WORK } from './passbudget';
import { roomBesideClaims } from '../fleet/loads';
import { earliestRestMs, latestRunMs } from '../jobs/runtimes';
import { policyOf } from '../policy';
import type { StageSearch } from './search';
import type { OpenJob } from '../views';

/** Returns what a task for which room is kept needs; undefined once its job has ended. */
function needsOf({ state }: PlacementPass, task: string): Resources | undefined {
  const ref = parseTaskName(task);
  return ref === undefined
    ? undefined
    : state.jobs.get(ref.jobId)?.job.stages[ref.stageIndex]?.needs;
}

/** Returns when the runs in the way of a task may be stopped. Starved tasks wait until they end. */
function stopsInMs({ state }: PlacementPass, task: string, nowMs: number): number {
  const wait = state.waits.get(task);
  return wait?.cause === 'starved'
    ? Infinity
    : Math.max(0, (wait?.sinceMs ?? nowMs) + CLEAR_AFTER_MS - nowMs);
}

/** Returns the time before which none of the tasks can start for which room is kept on a worker. */
function neededInMs(pass: PlacementPass, { workerKey }: WorkerLoad, nowMs: number): number {
  const { state, occupancyOf, stops, reservations } = pass;
  const before = state.loads.get(workerKey)?.load;
  if (before === undefined) return 0;
  const ends = occupancyOf(workerKey).tenants.flatMap(
    ({ task, isLasting, isStopping, returned }) => {
      const isEnding = isStopping || stops.has(task);
      if (isLasting && !isEnding) return [];
      return [{ returned, inMs: isEnding ? 0 : earliestRestMs(state, task, nowMs) }];
    },
  );
  const soonest = [...reservations]
    .filter(([, keptOn]) => keptOn === workerKey)
    .map(([task]) => {
      const needs = needsOf(pass, task);
      if (needs === undefined) return 0;
      const fitsInMs = fitsAfterMs(needs, freeRoom(before), ends);
      return Math.min(fitsInMs, stopsInMs(pass, task, nowMs));
    });
  const soonestMs = Math.min(...soonest);
  // Room of which nothing tells when it is needed is left alone.
  return Number.isFinite(soonestMs) ? soonestMs : 0;
}

/** Returns the kept room of a worker that is free meanwhile, if it is enough for some needs. */
function keptRoomFor(
  pass: PlacementPass,
  load: WorkerLoad,
  needs: Resources,
  nowMs: number,
): KeptRoom | undefined {
  const room = roomBesideClaims(pass.state, load.workerKey);
  if (room === undefined || !fitsIn(needs, room)) return undefined;
  return { room, neededInMs: neededInMs(pass, load, nowMs) };
}

/** Returns the workers on which room is kept and of whose kind a stage asks for. */
function keptLoads(
  { state, loads, reservations }: PlacementPass,
  open: OpenJob,
  { ready: { stage } }: StageCandidate,
): readonly WorkerLoad[] {
  const service = serviceOf(state, open);
  return [...new Set(reservations.values())].flatMap((workerKey) => {
    const load = loads.get(workerKey);
    if (load?.service !== service) return [];
    const { requiredLabel } = stage;
    return requiredLabel === undefined || load.labels.includes(requiredLabel) ? [load] : [];
  });
}

/**
 * Claims room that is kept for other tasks, for tasks that nearly always end before it is needed. Only
 * learned run times tell that: estimates are off by too much. The tasks have equal needs: when one finds
 * no room, the next finds none either.
 */
export function backfill(
  pass: PlacementPass,
  candidate: StageCandidate,
  slots: readonly string[],
  nowMs: number,
): StageSearch {
  const { state, reservations } = pass;
  const { jobId, ready } = candidate;
  const { stage } = ready;
  const open = state.jobs.get(jobId);
  const isOff = !policyOf(state.settings).looksAhead || reservations.isEmpty();
  if (isOff || open === undefined || stage.isLasting || stage.isGang) return { pass, left: slots };
  const latestMs = latestRunMs(state, open.job.policy.queue, stage);
  if (latestMs === undefined) return { pass, left: slots };
  const workerKeys = keptLoads(pass, open, candidate).map(({ workerKey }) => workerKey);
  return slots.reduce<StageSearch>(
    (current, slot, index) => {
      if (current.left.length > 0) return current;
      if (isSpent(current.pass, 'others')) return { ...current, left: slots.slice(index) };
      const looked = spend(current.pass, workerKeys.length * VACANCY_WORK);
      const known = looked.state.jobs.get(jobId) ?? open;
      const { attempt, failedOn } = taskProgress(known.progress, slot);
      const siblingCount = siblingCounter(looked, known, ready);
      const found = workerKeys.flatMap((workerKey) => looked.loads.get(workerKey) ?? []);
      const load = found
        .toSorted(
          (left, right) =>
            Number(left.workerKey === failedOn) - Number(right.workerKey === failedOn),
        )
        .find((kept) => {
          if (siblingCount(kept.workerKey) >= (stage.maxPerWorker ?? Infinity)) return false;
          const room = keptRoomFor(looked, kept, stage.needs, nowMs);
          return room !== undefined && mayBackfill(stage, latestMs, room);
        });
      if (load === undefined) return { pass: looked, left: slots.slice(index) };
      const task = { open: known, ready, slot, attempt: attempt + 1 };
      const claimed = claimOn(looked, load, task, false, nowMs);
      const backfilled = [...claimed.backfilled, `${jobId}.${slot}`];
      return { left: [], pass: { ...claimed, backfilled } };
    },
    { pass, left: [] },
  );
}
