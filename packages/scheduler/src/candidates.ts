import type { ReadyStage } from '@bronzeyoke/workflow';
import {
  criticalPathMs,
  isStageDone,
  objectiveAtMs,
  readyStages,
  remainingWork,
} from '@bronzeyoke/workflow';
import type { SchedulerState } from './types';

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

/** Estimated time to place and start a task, for the decision whether a job is late. */
const START_ESTIMATE_MS = 100;

/** A job is overdue after this many times the duration of its objective. */
const OVERDUE_FACTOR = 2;

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
      const ready = readyStages(job, progress, wallMs);
      if (ready.length === 0) return [];
      const leftMs = criticalPathMs(job, (stageIndex, stage) =>
        isStageDone(job, progress, 0, stageIndex) ? 0 : stage.estimateMs,
      );
      const isLate = wallMs + leftMs + START_ESTIMATE_MS > objectiveAtMs(job);
      const objectiveMs = objectiveAtMs(job) - job.acceptedAtMs;
      const isOverdue = wallMs - job.acceptedAtMs > objectiveMs * OVERDUE_FACTOR;
      const workLeft = remainingWork(job, progress);
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
