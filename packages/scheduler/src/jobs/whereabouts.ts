import type { Stage } from '@bronzeyoke/workflow';
import {
  dueOccurrences,
  isAssigned,
  isStageDone,
  stageSlots,
  taskProgress,
} from '@bronzeyoke/workflow';
import type { PlaceWait } from '../placement/placewait';
import { isClaimedOn } from '../leadership/postcommit';
import type { SchedulerState } from '../types';
import type { OpenJob, RunView } from '../views';

/**
 * A worker whose last report is older than this may have ended with its runs. The lease row names a silent
 * worker earlier (`leases.ts`), so that the next leader waits less; operators should not see each late
 * report.
 */
const OVERDUE_REPORT_MS = 1_500;

/** Why the leader's view of a task contradicts itself. Nothing would ever end such a state. */
export type Contradiction =
  /** The progress names a worker, and no run is known there. */
  | 'noRun'
  /** The known run is another one than that in the progress. */
  | 'otherRun'
  /** The run's worker is not known, so nothing expires the run. */
  | 'noWorker'
  /** The task counts as done although it lasts. */
  | 'done';

/** Where a lasting task of an open job is, by what its leader knows. */
export type Whereabouts =
  | { readonly kind: 'working'; readonly workerKey: string; readonly sinceMs: number }
  /** Its claim is not stored. Ends with the transaction, or with the leadership. */
  | { readonly kind: 'storing'; readonly workerKey: string; readonly sinceMs: number }
  /** Its stored claim waits for the next connection of the agent, until `untilMs` at the latest. */
  | { readonly kind: 'awaitingAgent'; readonly workerKey: string; readonly untilMs: number }
  /** Its start is ordered. Ends when a report lists the run, refuses it, or lacks it. */
  | { readonly kind: 'starting'; readonly workerKey: string; readonly sinceMs: number }
  /** Its run is being stopped. The stop is repeated until a report lists the end. */
  | { readonly kind: 'stopping'; readonly workerKey: string; readonly sinceMs: number }
  /** Its worker does not report. Ends with a report, a proof of the worker's end, or at `untilMs`. */
  | {
      readonly kind: 'silent';
      readonly workerKey: string;
      readonly sinceMs: number;
      readonly untilMs: number;
    }
  /** An earlier stage is not done, the occurrence is not due, or the job needs advice. */
  | { readonly kind: 'notReady' }
  | { readonly kind: 'backingOff'; readonly untilMs: number }
  /** The last pass has found no place for it, and kept none. */
  | { readonly kind: 'searching'; readonly sinceMs: number }
  /** Room on a worker is kept for it until runs there have ended. */
  | { readonly kind: 'reserved'; readonly workerKey: string; readonly sinceMs: number }
  /** The same, and runs there are being stopped or moved. */
  | { readonly kind: 'clearing'; readonly workerKey: string; readonly sinceMs: number }
  /** It has not run yet, or no pass has seen it, and it waits in the order of urgency. */
  | { readonly kind: 'queued' }
  | { readonly kind: 'contradictory'; readonly problem: Contradiction };

/** A lasting task of an open job. */
export interface LastingTask {
  readonly task: string;
  readonly slot: string;
  readonly stage: Stage;
  readonly open: OpenJob;
  readonly isReady: boolean;
}

/** Returns the lasting tasks of a job that are due; none once the job has ended. */
function lastingTasksOf(open: OpenJob, wallMs: number): readonly LastingTask[] {
  const { job, progress } = open;
  if (progress.outcome !== undefined || !job.stages.some(({ isLasting }) => isLasting)) return [];
  return dueOccurrences(job, wallMs).flatMap((occurrence) =>
    job.stages.flatMap((stage, index) => {
      if (!stage.isLasting) return [];
      const isReady =
        !job.policy.needsAdvice &&
        stage.dependsOn.every((earlier) => isStageDone(job, progress, occurrence, earlier));
      return stageSlots(stage, occurrence, index).map((slot): LastingTask => {
        const task = `${job.jobId}.${slot}`;
        return { task, slot, stage, open, isReady };
      });
    }),
  );
}

/** Returns the lasting tasks of all open jobs. */
export function lastingTasks({ jobs }: SchedulerState, wallMs: number): readonly LastingTask[] {
  return [...jobs.values()].flatMap((open) => lastingTasksOf(open, wallMs));
}

/** Returns where a claimed task is, by its run and its worker. */
function claimedWhereabouts(
  state: SchedulerState,
  task: string,
  run: RunView,
  nowMs: number,
): Whereabouts {
  const { workerKey, claimedAtMs, isOrdered, isListed, listedAtMs, stopSentAtMs } = run;
  const worker = state.workers.get(workerKey);
  if (worker === undefined) return { kind: 'contradictory', problem: 'noWorker' };
  const held = state.heldStarts.byTask.get(task);
  if (held !== undefined && isClaimedOn(state, task, held))
    return { kind: 'awaitingAgent', workerKey, untilMs: held.untilMs };
  if (!isOrdered) return { kind: 'storing', workerKey, sinceMs: claimedAtMs };
  const { reportedAtMs = -Infinity, linkId, expiresAtMs, hasEnded = false } = worker;
  const isSilent = nowMs - reportedAtMs > OVERDUE_REPORT_MS;
  if (isSilent || hasEnded || linkId === undefined) {
    const sinceMs = Math.max(reportedAtMs, state.claimedAtMs);
    return { kind: 'silent', workerKey, sinceMs, untilMs: expiresAtMs };
  }
  if (!isListed) return { kind: 'starting', workerKey, sinceMs: claimedAtMs };
  return stopSentAtMs === undefined
    ? { kind: 'working', workerKey, sinceMs: listedAtMs }
    : { kind: 'stopping', workerKey, sinceMs: stopSentAtMs };
}

/** Returns where a task is that waits for a place. */
function waitingWhereabouts(wait: PlaceWait | undefined): Whereabouts {
  if (wait === undefined) return { kind: 'queued' };
  const { phase, sinceMs, workerKey = '' } = wait;
  switch (phase) {
    case 'reserved':
    case 'clearing':
      return { kind: phase, workerKey, sinceMs };
    // After a claim or a move the run has ended since, and the next pass searches a place.
    case 'searching':
    case 'claimed':
    case 'moving':
      return { kind: 'searching', sinceMs };
  }
}

/** Returns where a lasting task of an open job is. */
export function whereaboutsOf(
  state: SchedulerState,
  { task, slot, open, isReady }: LastingTask,
  nowMs: number,
): Whereabouts {
  const stored = taskProgress(open.progress, slot);
  const run = state.runs.byTask.get(task);
  if (stored.phase === 'done') return { kind: 'contradictory', problem: 'done' };
  if (run !== undefined) {
    const isSame =
      isAssigned(stored) && run.attempt === stored.attempt && run.workerKey === stored.workerKey;
    return isSame
      ? claimedWhereabouts(state, task, run, nowMs)
      : { kind: 'contradictory', problem: 'otherRun' };
  }
  if (isAssigned(stored)) return { kind: 'contradictory', problem: 'noRun' };
  if (!isReady) return { kind: 'notReady' };
  const untilMs = state.backOff.get(task) ?? 0;
  return untilMs > nowMs
    ? { kind: 'backingOff', untilMs }
    : waitingWhereabouts(state.waits.get(task));
}
