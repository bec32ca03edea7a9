import type { Resources } from './resources';

/** Description of an agent with its worker and upstream, which the agent sends to entries. */
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

/** Estimated slow-down of a service by a colocated kind of work; 1 means none. */
export interface SlowDown {
  readonly service: string;
  readonly workKind: string;
  readonly factor: number;
}
