import type { Resources, TaskSpec } from '@bronzeyoke/types';
import type { TaskReport } from '@bronzeyoke/wire';

/** A run of a task on a worker. */
export interface Run {
  readonly key: string;
  readonly epoch: number;
  readonly worker: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly end: TaskReport['kind'] | 'running';
}

/** A task at a fake agent. */
export interface FakeTask {
  readonly spec: TaskSpec;
  readonly epoch: number;
  readonly offerId: string;
  readonly acceptedAtMs: number;
  readonly spareMs: number;
  readonly phase: 'reserved' | 'running' | 'ended';
  readonly report?: TaskReport;
}

/** An agent of the test world. */
export interface FakeAgent {
  readonly agentId: string;
  readonly worker: string;
  readonly domain: string;
  incarnation: number;
  isDead: boolean;
  preemptedFor?: string | undefined;
  total: Resources;
  readonly tasks: Map<string, FakeTask>;
}
