import type { EntryCapacity } from '../times';

/**
 * Time that a pass should spend on placing, beside what it needs to go through workers and tasks. No
 * report, renewal or connection is handled meanwhile.
 */
const TARGET_PLACING_MS = 100;

/** Processor time of one unit of work, which is a look at one worker for one task. */
const WORK_MS = 0.004;

/** Work of placing that a pass may do in any case, also after one that took very long. */
const MIN_BUDGET = 1_500;

/** Work that others may do in any case, as the search in vain of a lasting task may exceed its part. */
const MIN_OTHERS_WORK = 500;

/** Units of work of a claim, of a task or stage that a pass goes through, and of a worker in it. */
export const CLAIM_WORK = 50;
const LISTED_WORK = 1;
const WORKER_WORK = 22;

/**
 * Units of work for each worker in a search for a filling task, for filling tasks to stop, for a trial, for
 * room to keep, and for moves.
 */
export const FILL_WORK = 3;
export const PREEMPTION_WORK = 2;
export const TRIAL_WORK = 3;
export const VACANCY_WORK = 3;
export const MOVES_WORK = 16;

/** Weight of earlier passes beside the last one, and work for which the first estimate counts. */
const KEPT_SHARE = 0.7;
const ESTIMATED_WORK = 5_000;

/** What earlier passes of a leader have done, and the time that they took. Later ones weigh more. */
export interface PassPace {
  readonly work: number;
  readonly tookMs: number;
}

/** Pace of a leader before its first pass. */
export const NO_PACE: PassPace = { work: 0, tookMs: 0 };

/** Returns the pace after another pass. */
export function recordPass(pace: PassPace, work: number, tookMs: number): PassPace {
  return { work: pace.work * KEPT_SHARE + work, tookMs: pace.tookMs * KEPT_SHARE + tookMs };
}

/**
 * Returns the work of placing that a pass should do, by the pace of earlier ones and the entry's processors.
 * A leader whose events wait does less in each pass, by a factor.
 */
export function passWork(
  { work, tookMs }: PassPace,
  { processors }: EntryCapacity,
  slowdown = 1,
): number {
  const estimatedMs = (ESTIMATED_WORK * WORK_MS) / Math.min(1, processors);
  const workMs = (estimatedMs + tookMs) / (ESTIMATED_WORK + work);
  return TARGET_PLACING_MS / slowdown / workMs;
}

/** Parts of a pass, in their order: lasting tasks that have run, starved stages, and all others. */
export type PassPart = 'returning' | 'starved' | 'others';

/** Work after which a pass leaves the rest of a part to the next one. */
export type PassBudget = Readonly<Record<PassPart, number>>;

/** Share of the work after which no further task or stage of a part gets its turn. */
const PART_SHARES: PassBudget = { returning: 0.75, starved: 0.85, others: 1 };

/** Returns the budget of a pass that has to go through some workers, tasks and stages in any case. */
export function passBudget(work: number, baseWork: number): PassBudget {
  const placingWork = Math.max(MIN_BUDGET, work);
  return {
    returning: baseWork + placingWork * PART_SHARES.returning,
    starved: baseWork + placingWork * PART_SHARES.starved,
    others: baseWork + placingWork * PART_SHARES.others,
  };
}

/** Returns a budget that leaves something to others after the work of the parts before. */
export function withOthersShare(budget: PassBudget, work: number): PassBudget {
  return { ...budget, others: Math.max(budget.others, work + MIN_OTHERS_WORK) };
}

/** Returns the work of a pass apart from the placing. */
export function listedWork(workerCount: number, listedCount: number): number {
  return workerCount * WORKER_WORK + listedCount * LISTED_WORK;
}
