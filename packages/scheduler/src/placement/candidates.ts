import type { JobProgress, ReadyStage, Stage, WorkflowJob } from '@bronzeyoke/workflow';
import {
  criticalPathMs,
  encodeProgress,
  isStageDone,
  objectiveAtMs,
  progressBytes,
  readyStages,
  remainingWork,
} from '@bronzeyoke/workflow';
import { expectedRunMs } from '../jobs/runtimes';
import type { SchedulerState } from '../types';

/** A stage with tasks to place, and the criteria for its place in the order. */
export interface StageCandidate {
  readonly jobId: string;
  readonly ready: ReadyStage;
  readonly priority: number;
  readonly isLate: boolean;
  /** Past its objective by `OVERDUE_FACTOR`. */
  readonly isOverdue: boolean;
  readonly workLeft: number;
}

/** Returns the key of a stage among those that wait. */
export function searchKey({ jobId, ready }: StageCandidate): string {
  return `${jobId}.${ready.occurrence}.${ready.stageIndex}`;
}

/** Estimated time to place and start a task, for the decision whether a job is late. */
const START_ESTIMATE_MS = 100;

/** A job is overdue after this many times the duration of its objective. */
const OVERDUE_FACTOR = 2;

/**
 * Bytes of the progress of a job up to which tasks are claimed. A row of the store takes 48 KB before Base64;
 * the rest is left to what claimed tasks add later, such as where they failed.
 */
const MAX_PROGRESS_BYTES = 40 * 1_024;

/** Bytes that a claimed task adds at most to the progress of its job. */
const CLAIM_BYTES = 85;

/** Share of the row from which the size is computed rather than estimated. */
const ESTIMATED_SHARE = 1 / 2;

/**
 * Returns how many further tasks the row with a job's progress holds. The store refuses a larger row, and
 * with it the lease of the leader. Checkpoints that running tasks save later are counted from the start.
 */
function claimsLeft(progress: JobProgress, { savesCheckpoints }: Stage): number {
  const estimatedBytes = (progressBytes(progress) * 3) / 4;
  const isEstimated = savesCheckpoints || estimatedBytes < MAX_PROGRESS_BYTES * ESTIMATED_SHARE;
  const bytes = isEstimated
    ? estimatedBytes
    : Buffer.byteLength(JSON.stringify(encodeProgress(progress)));
  return Math.max(0, Math.floor((MAX_PROGRESS_BYTES - bytes) / CLAIM_BYTES));
}

/** Returns a stage with as many of its tasks as the row with the job's progress holds. */
function claimableStage(ready: ReadyStage, progress: JobProgress): readonly ReadyStage[] {
  // The members of a gang are claimed together.
  if (ready.stage.isGang) return [ready];
  const slots = ready.slots.slice(0, claimsLeft(progress, ready.stage));
  return slots.length === 0 ? [] : [{ ...ready, slots }];
}

/** What a job's progress says about the tasks to place. */
interface JobOutlook {
  readonly ready: readonly ReadyStage[];
  /** Estimated time of the longest chain of stages that are not done. */
  readonly leftMs: number;
  readonly workLeft: number;
}

/** Last outlook of each job. It follows from the progress, which a placement leaves alone for most jobs. */
const outlooks = new WeakMap<
  WorkflowJob,
  { readonly progress: JobProgress; readonly learnedCount: number; readonly outlook: JobOutlook }
>();

/** Observed run times after which known outlooks are computed anew. */
const RELEARNED_AFTER = 50;

/** Quantile of the run time that counts for the work left. */
const MEDIAN = 0.5;

/** Highest quantile of the run time that counts for a stage: above it lies the rare long task. */
const MAX_STAGE_QUANTILE = 0.9;

/** Returns the run time of the slowest of a stage's tasks, as its median is expected to be. */
function stageMs(state: SchedulerState, { policy }: WorkflowJob, stage: Stage): number {
  const quantile = Math.min(MAX_STAGE_QUANTILE, 0.5 ** (1 / Math.max(1, stage.taskCount)));
  return expectedRunMs(state, policy.queue, stage, quantile);
}

function computeOutlook(
  state: SchedulerState,
  job: WorkflowJob,
  progress: JobProgress,
  wallMs: number,
): JobOutlook {
  const ready = readyStages(job, progress, wallMs).flatMap((stage) =>
    claimableStage(stage, progress),
  );
  if (ready.length === 0) return { ready, leftMs: 0, workLeft: 0 };
  const leftMs = criticalPathMs(job, (stageIndex, stage) =>
    isStageDone(job, progress, 0, stageIndex) ? 0 : stageMs(state, job, stage),
  );
  const workLeft = remainingWork(job, progress, (stage) =>
    expectedRunMs(state, job.policy.queue, stage, MEDIAN),
  );
  return { ready, leftMs, workLeft };
}

function outlookOf(
  state: SchedulerState,
  job: WorkflowJob,
  progress: JobProgress,
  wallMs: number,
): JobOutlook {
  const known = outlooks.get(job);
  const learnedCount = Math.floor(state.runTimes.recordCount / RELEARNED_AFTER);
  // The stages of a scheduled job also become ready as time passes.
  const isSame = known?.progress === progress && known.learnedCount === learnedCount;
  if (isSame && job.schedule === undefined) return known.outlook;
  const outlook = computeOutlook(state, job, progress, wallMs);
  outlooks.set(job, { progress, learnedCount, outlook });
  return outlook;
}

/** Returns the stages with tasks to place, the most urgent first. */
export function orderedCandidates(
  state: SchedulerState,
  wallMs: number,
): readonly StageCandidate[] {
  const candidates = state.jobs
    .valueSeq()
    .flatMap(({ job, progress, isCancelled }): readonly StageCandidate[] => {
      if (isCancelled || job.policy.needsAdvice) return [];
      const { jobId } = job;
      const { ready, leftMs, workLeft } = outlookOf(state, job, progress, wallMs);
      if (ready.length === 0) return [];
      const isLate = wallMs + leftMs + START_ESTIMATE_MS > objectiveAtMs(job);
      const objectiveMs = objectiveAtMs(job) - job.acceptedAtMs;
      const isOverdue = wallMs - job.acceptedAtMs > objectiveMs * OVERDUE_FACTOR;
      return ready.map((stage) => ({
        jobId,
        ready: stage,
        priority: job.policy.priority,
        isLate,
        isOverdue,
        workLeft,
      }));
    });
  return candidates
    .sort(
      (left, right) =>
        left.priority - right.priority ||
        Number(left.isLate) - Number(right.isLate) ||
        left.workLeft - right.workLeft,
    )
    .toArray();
}
