import { Map } from 'immutable';
import type { JobAsk, JobKind } from '@bronzeyoke/jobadmission';
import { jobAsk } from '@bronzeyoke/jobadmission';
import type { JobProgress, Stage, WorkflowJob } from '@bronzeyoke/workflow';
import {
  declaredCriticalPathMs,
  isAssigned,
  objectiveAtMs,
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

/** Numbers of a stage's tasks that are done, and that have a place. */
interface StageCounts {
  readonly done: number;
  readonly assigned: number;
}

const NO_COUNTS: StageCounts = { done: 0, assigned: 0 };

/** Counts in one pass over the claimed tasks, as most open jobs change from one look to the next. */
function countTasks({ tasks }: JobProgress): Map<number, StageCounts> {
  return Map<number, StageCounts>().withMutations((counts) => {
    tasks.forEach((task, slot) => {
      const stageIndex = slotStageIndex(slot);
      const known = counts.get(stageIndex, NO_COUNTS);
      const done = known.done + (task.phase === 'done' ? 1 : 0);
      counts.set(stageIndex, { done, assigned: known.assigned + (isAssigned(task) ? 1 : 0) });
    });
  });
}

/** Returns the work left of a job that runs once, and the processors of its tasks. */
function stageAmounts(
  stages: readonly Stage[],
  progress: JobProgress,
): Pick<OpenDemand, 'leftCoreMs' | 'waitingMilli' | 'runningMilli'> {
  const counts = countTasks(progress);
  const isDone = (stageIndex: number): boolean =>
    counts.get(stageIndex, NO_COUNTS).done >= (stages[stageIndex]?.taskCount ?? 0);
  return stages.reduce(
    (sum, { taskCount, needs, estimateMs, dependsOn }, stageIndex) => {
      const { done, assigned } = counts.get(stageIndex, NO_COUNTS);
      const left = taskCount - done;
      const waiting = dependsOn.every(isDone) ? left - assigned : 0;
      const { processorsMilli } = needs;
      return {
        leftCoreMs: sum.leftCoreMs + (left * processorsMilli * estimateMs) / 1_000,
        waitingMilli: sum.waitingMilli + waiting * processorsMilli,
        runningMilli: sum.runningMilli + assigned * processorsMilli,
      };
    },
    { leftCoreMs: 0, waitingMilli: 0, runningMilli: 0 },
  );
}

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
  return { ...base, ...stageAmounts(job.stages, progress) };
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

/**
 * Returns the processors that the filling runs of each job use. Several times what is idle may be requested at
 * once, so what they request says nothing about the room. A run that is not listed yet counts in full.
 */
export function fillUseMilli({ runs }: SchedulerState): Map<string, number> {
  return Map<string, number>().withMutations((used) => {
    runs.byTask.forEach(({ jobId, stage, isListed, load }) => {
      if (!stage.fillsIdle) return;
      const { processorsMilli } = stage.needs;
      const useMilli = isListed ? Math.min(load, processorsMilli) : processorsMilli;
      used.set(jobId, used.get(jobId, 0) + useMilli);
    });
  });
}

/** Returns the key of the jobs of one kind in one service. */
export function poolKey(jobKind: JobKind, service: string): string {
  return `${jobKind} ${service}`;
}
