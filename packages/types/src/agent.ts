import type { Resources } from './resources';

/** What an agent announces of itself and of the worker and upstream beside it. */
export interface AgentProfile {
  readonly agentId: string;
  readonly worker: string;
  readonly domain: string;
  readonly region: string;
  readonly rack: string;
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly total: Resources;
}

/** Learned slow-down of a service when a kind of work runs beside it; 1 means none. */
export interface SlowDown {
  readonly service: string;
  readonly workKind: string;
  readonly factor: number;
}
