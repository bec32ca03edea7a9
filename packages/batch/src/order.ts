import type { Job } from '@bronzeyoke/types';
import type { LearnState } from './learn';
import { runTimes } from './learn';

/** Slack of work without a deadline, or that will most likely miss it. */
const DEFAULT_SLACK_MS = 3_600_000;
/** Milliseconds of slack that a job loses for each millisecond of waiting. */
const AGING_FACTOR = 4;
/** Jobs within one step of slack rank equal, and the share of their team decides. */
const SLACK_STEP_MS = 5_000;

/** Sort key of a job; the smallest rank is served first. */
export interface Rank {
  readonly isUrgent: boolean;
  readonly slackStep: number;
  readonly share: number;
  readonly submittedAtMs: number;
}

/** Returns how long a job can still wait: the time to its deadline less the expected run time. */
export function slackMs(job: Job, learned: LearnState, wallMs: number): number {
  if (job.role === 'watcher') return 0;
  if (job.deadlineAtMs === undefined) return DEFAULT_SLACK_MS;
  const leftMs = job.deadlineAtMs - wallMs;
  const { p50Ms, p90Ms } = runTimes(learned, job.team, job.workKind, job.declaredRunMs);
  // A task that will most likely miss its deadline must not make others miss theirs.
  return leftMs < p50Ms ? DEFAULT_SLACK_MS : leftMs - p90Ms;
}

/** Ranks a job by urgency, slack, waiting time and the dominant share of its team. */
export function rankOf(
  job: Job,
  learned: LearnState,
  wallMs: number,
  waitedMs: number,
  share: number,
): Rank {
  const agedSlackMs = slackMs(job, learned, wallMs) - AGING_FACTOR * waitedMs;
  return {
    isUrgent: job.urgency === 'urgent',
    slackStep: Math.floor(agedSlackMs / SLACK_STEP_MS),
    share,
    submittedAtMs: job.submittedAtMs,
  };
}

/** Compares ranks, with the first to serve in front. */
export function compareRanks(left: Rank, right: Rank): number {
  if (left.isUrgent !== right.isUrgent) return left.isUrgent ? -1 : 1;
  if (left.slackStep !== right.slackStep) return left.slackStep - right.slackStep;
  if (left.share !== right.share) return left.share - right.share;
  return left.submittedAtMs - right.submittedAtMs;
}
