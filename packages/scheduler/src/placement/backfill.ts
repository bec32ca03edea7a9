import type { KeptRoom } from '@bronzeyoke/placement';
import { fitsAfterMs, freeRoom, mayBackfill } from '@bronzeyoke/placement';
import { parseTaskName, taskProgress } from '@bronzeyoke/workflow';
import type { StageCandidate } from './candidates';
import type { PlacementPass } from './pass';
import { claimOn, serviceOf, siblingCounter, spend, TAIL } from './pass';
import { VACANCY_WORK } from './passbudget';
import { roomBesideClaims } from '../fleet/loads';
import { expectedRunMs, isTailKnown } from '../jobs/runtimes';
import type { StageSearch } from './search';

/** Returns what a task for which room is kept needs; undefined once its job has ended. */
function needsOf({ state }: PlacementPass, task: string) {
  const ref = parseTaskName(task);
  return ref === undefined
    ? undefined
    : state.jobs.get(ref.jobId)?.job.stages[ref.stageIndex]?.needs;
}

/** Returns the room of a worker that is free until a task can start for which it is kept. */
function keptRoomOn(pass: PlacementPass, workerKey: string): KeptRoom | undefined {
  const { state, occupancyOf, stops, reservations } = pass;
  const before = state.loads.get(workerKey)?.load;
  const room = roomBesideClaims(state, workerKey);
  if (before === undefined || room === undefined) return undefined;
  const ends = occupancyOf(workerKey).tenants.flatMap(
    ({ task, isLasting, isStopping, returned, earliestEndMs }) => {
      const isEnding = isStopping || stops.has(task);
      if (isLasting && !isEnding) return [];
      return [{ returned, inMs: isEnding ? 0 : earliestEndMs }];
    },
  );
  const neededInMs = [...reservations]
    .filter(([, keptOn]) => keptOn === workerKey)
    .map(([task]) => {
      const needs = needsOf(pass, task);
      return needs === undefined ? 0 : fitsAfterMs(needs, freeRoom(before), ends);
    });
  // Room of which nothing tells when it is needed is left alone.
  const soonestMs = Math.min(...neededInMs);
  return Number.isFinite(soonestMs) ? { room, neededInMs: soonestMs } : undefined;
}

/**
 * Claims room that is kept for other tasks, for tasks that nearly always end before it is needed. Only
 * learned run times tell that: estimates are off by too much.
 */
export function backfill(
  pass: PlacementPass,
  { jobId, ready }: StageCandidate,
  slots: readonly string[],
  nowMs: number,
): StageSearch {
  const { state, reservations } = pass;
  const { stage } = ready;
  const open = state.jobs.get(jobId);
  if (state.settings.policy?.looksAhead !== true || reservations.isEmpty()) {
    return { pass, left: slots };
  }
  if (open === undefined || stage.isLasting || stage.isGang) return { pass, left: slots };
  const { queue } = open.job.policy;
  if (!isTailKnown(state, queue, stage)) return { pass, left: slots };
  const tailMs = expectedRunMs(state, queue, stage, TAIL);
  const service = serviceOf(state, open);
  const workerKeys = [...new Set(reservations.values())].filter((workerKey) => {
    const load = pass.loads.get(workerKey);
    const hasLabel =
      stage.requiredLabel === undefined || load?.labels.includes(stage.requiredLabel) === true;
    return load?.service === service && hasLabel;
  });
  const looked = spend(pass, workerKeys.length * VACANCY_WORK);
  return slots.reduce<StageSearch>(
    (current, slot) => {
      const known = current.pass.state.jobs.get(jobId) ?? open;
      const siblingCount = siblingCounter(current.pass, known, ready);
      const workerKey = workerKeys.find((key) => {
        const kept = keptRoomOn(current.pass, key);
        const hasSiblingRoom = siblingCount(key) < (stage.maxPerWorker ?? Infinity);
        return hasSiblingRoom && kept !== undefined && mayBackfill(stage, tailMs, kept);
      });
      const load = current.pass.loads.get(workerKey ?? '');
      if (load === undefined) return { ...current, left: [...current.left, slot] };
      const attempt = 1 + taskProgress(known.progress, slot).attempt;
      const claimed = claimOn(
        current.pass,
        load,
        { open: known, ready, slot, attempt },
        false,
        nowMs,
      );
      const backfilled = [...claimed.backfilled, `${jobId}.${slot}`];
      return { ...current, pass: { ...claimed, backfilled } };
    },
    { pass: looked, left: [] },
  );
}
