import type { Resources, TaskSpec } from '@bronzeyoke/types';
import type { TaskReport } from '@bronzeyoke/wire';

/** Run of a task on a worker. */
export interface Run {
  readonly key: string;
  readonly epoch: number;
  readonly worker: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly end: TaskReport['kind'] | 'running';
}

/** Task at a fake agent. */
export interface FakeTask {
  readonly spec: TaskSpec;
  readonly epoch: number;
  readonly offerId: string;
  readonly acceptedAtMs: number;
  readonly spareMs: number;
  readonly phase: 'reserved' | 'running' | 'ended';
  readonly report?: TaskReport;
}

/** Fake agent of a simulation. */
export interface FakeAgent {
  readonly agentId: string;
  readonly worker: string;
  readonly domain: string;
  incarnation: number;
  isDead: boolean;
  /** Key of the task for which the resources of an evicted task are reserved. */
  preemptedFor?: string | undefined;
  total: Resources;
  readonly tasks: Map<string, FakeTask>;
}
