import type { JobAsk, JobKind } from '@bronzeyoke/jobadmission';
import { jobAsk } from '@bronzeyoke/jobadmission';
import type { JobProgress, WorkflowJob } from '@bronzeyoke/workflow';
import {
  assignedSlots,
  declaredCriticalPathMs,
  objectiveAtMs,
  readyStages,
  remainingWork,
  slotStageIndex,
} from '@bronzeyoke/workflow';
import type { SchedulerState } from '../types';

/** What an open job asks for and what is left of it. */
export interface OpenDemand {
  readonly jobId: string;
  readonly ask: JobAsk;
  readonly service: string;
  readonly priority: number;
  readonly acceptedAtMs: number;
  readonly acceptedBy?: string;
  /** Time from its acceptance within which it has to start to be worth anything. */
  readonly horizonMs: number;
  readonly leftCoreMs: number;
  /** Processors of its tasks that wait for a place, and of those that have one. */
  readonly waitingMilli: number;
  readonly runningMilli: number;
}

/** A job is worth nothing after this many times the duration of its objective. */
const WORTHLESS_FACTOR = 3;
const MIN_HORIZON_MS = 1_000;

/** Last demand of each job, which follows from its progress. */
const demands = new WeakMap<
  WorkflowJob,
  { readonly progress: JobProgress; readonly demand: OpenDemand | undefined }
>();

function computeDemand(job: WorkflowJob, progress: JobProgress): OpenDemand | undefined {
  const ask = jobAsk(job);
  if (ask === undefined) return undefined;
  const { jobId, policy, acceptedAtMs, acceptedBy } = job;
  const objectiveMs = objectiveAtMs(job) - acceptedAtMs;
  const latestMs = WORTHLESS_FACTOR * objectiveMs - declaredCriticalPathMs(job);
  const base = {
    jobId,
    ask,
    service: policy.service,
    priority: policy.priority,
    acceptedAtMs,
    ...(acceptedBy === undefined ? {} : { acceptedBy }),
    horizonMs: Math.max(MIN_HORIZON_MS, latestMs),
  };
  if (ask.jobKind === 'lasting') {
    return { ...base, leftCoreMs: 0, waitingMilli: 0, runningMilli: 0 };
  }
  return {
    ...base,
    leftCoreMs: remainingWork(job, progress),
    // Jobs with a schedule ask for nothing, so the time of day does not matter.
    waitingMilli: readyStages(job, progress, acceptedAtMs).reduce(
      (sum, { stage, slots }) => sum + stage.needs.processorsMilli * slots.length,
      0,
    ),
    runningMilli: assignedSlots(progress).reduce(
      (sum, [slot]) => sum + (job.stages[slotStageIndex(slot)]?.needs.processorsMilli ?? 0),
      0,
    ),
  };
}

function demandOf(job: WorkflowJob, progress: JobProgress): OpenDemand | undefined {
  const known = demands.get(job);
  if (known?.progress === progress) return known.demand;
  const demand = computeDemand(job, progress);
  demands.set(job, { progress, demand });
  return demand;
}

/** Returns what the open jobs ask for. Jobs that are cancelled or have ended ask for nothing. */
export function openDemands({ jobs }: SchedulerState): readonly OpenDemand[] {
  return [...jobs.values()].flatMap(({ job, progress, isCancelled }) => {
    if (isCancelled || progress.outcome !== undefined) return [];
    const demand = demandOf(job, progress);
    return demand === undefined ? [] : [demand];
  });
}

/** Returns the key of the jobs of one kind in one service. */
export function poolKey(jobKind: JobKind, service: string): string {
  return `${jobKind} ${service}`;
}
