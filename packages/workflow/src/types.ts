import type { Resources } from '@bronzeyoke/types';

/** One step of a job: tasks of the same size that may start once earlier stages are done. */
export interface Stage {
  readonly taskCount: number;
  /** Resources of one task. */
  readonly needs: Resources;
  /** Declared run time of one task; a rough estimate. */
  readonly estimateMs: number;
  /** Indexes of the stages whose tasks must all be done first. */
  readonly dependsOn: readonly number[];
  readonly savesCheckpoints: boolean;
  /** All tasks run at the same time and end together. */
  readonly isGang: boolean;
  /** Tasks are slowed down when they run on more than one rack. */
  readonly prefersOneRack: boolean;
  readonly requiredLabel?: string;
  /** Rack that holds the input; tasks elsewhere are slowed down. */
  readonly dataRack?: string;
  readonly maxPerWorker?: number;
  /** Several copies of a task may run; the first to finish counts. */
  readonly allowsCopies: boolean;
  /** Tasks run until the job is cancelled. */
  readonly isLasting: boolean;
  /** Program that the tasks run; tasks of one image behave alike. */
  readonly image?: string;
  /** Tail latency that a lasting task has to stay below. */
  readonly latencyTargetMs?: number;
  /** Tasks use processors that others leave idle, and are not counted against the capacity. */
  readonly fillsIdle: boolean;
  /** Lasting tasks that scheduling may make unavailable at the same time. */
  readonly maxUnavailable?: number;
}

/** Due times of a job that runs repeatedly, in Unix milliseconds. */
export interface Schedule {
  readonly firstAtMs: number;
  readonly periodMs: number;
  readonly occurrences: number;
}

/** Rules of the queue that a job was submitted to. */
export interface QueuePolicy {
  readonly queue: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** The objective is this factor times the critical path, plus `targetDurationMs`. */
  readonly slackFactor: number;
  readonly targetDurationMs: number;
  /** Tasks need a start ticket of an advice service. */
  readonly needsAdvice: boolean;
}

/** A queue of the configuration, with the host and the path that select it. */
export interface Queue extends QueuePolicy {
  readonly host: string;
  readonly pathPrefix: string;
}

/** A service of the configuration. */
export interface ServicePool {
  readonly service: string;
  /** Workers refuse tasks that do not fit. */
  readonly refusesOvercommit: boolean;
  readonly isStandby: boolean;
}

/** The operators' configuration. */
export interface FleetConfig {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly services: readonly ServicePool[];
  readonly maxBodyBytes: number;
}

/** A job as it was accepted. */
export interface WorkflowJob {
  readonly jobId: string;
  readonly policy: QueuePolicy;
  readonly payload: string;
  readonly stages: readonly Stage[];
  readonly schedule?: Schedule;
  /** Wall-clock time of the acceptance. */
  readonly acceptedAtMs: number;
  /** Version of the configuration by which it was accepted. */
  readonly configVersion?: number;
  /** Entry that accepted it; absent unless the leader limits what entries accept. */
  readonly acceptedBy?: string;
}

/** Reference to one task: occurrence of the job, stage, index within the stage. */
export interface TaskRef {
  readonly jobId: string;
  readonly occurrence: number;
  readonly stageIndex: number;
  readonly index: number;
}

/** How a run ended, as the worker lists it. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'expired' | 'gangBroken' | 'gangIncomplete';

/** How a job ended. */
export type JobOutcome = 'complete' | 'failed' | 'cancelled';

/** Why a job failed: a task used up its attempts, or workers crashed whenever they started it. */
export type JobFailure = 'attemptsUsed' | 'workersCrashed';

/** Status of a job for callers. */
export type JobStatus = 'queued' | 'active' | JobOutcome;
