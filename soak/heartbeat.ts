import { request } from 'undici';
import type { StandinPlatform } from '../platform/test/standin';

const TIMEOUT_MS = 1_000;

/** A worker's stand-in, with what its heartbeats say. */
export interface SoakWorker {
  readonly id: string;
  readonly platform: StandinPlatform;
  /** Address at which the agent reaches the worker. */
  readonly address: string;
  readonly domain: number;
  /** Address at which the agent accepts heartbeats from other writers. */
  readonly agentAddress: string;
}

/** Creates a heartbeat of a worker. */
export function createHeartbeat(worker: SoakWorker, state: 'ready' | 'draining'): object {
  return {
    service: 'quoter',
    addr: worker.address,
    zone: `zone-${worker.domain}`,
    version: 'v1',
    slots: 8,
    state,
    coldLeftMs: 0,
    capacity: { cpu: 4_000, memMb: 8_000, gpu: 0 },
    labels: ['a', 'r1'],
    seq: Date.now(),
    born: worker.platform.bornAtMs(),
  };
}

async function call(
  method: 'PUT' | 'DELETE',
  address: string,
  id: string,
  body: string | null,
): Promise<void> {
  const response = await request(`http://${address}/bronzeyoke/instances/${id}`, {
    method,
    body,
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  await response.body.dump();
}

/** Sends a heartbeat; fails when the agent does not answer. */
export async function sendHeartbeat(address: string, id: string, body: string): Promise<void> {
  await call('PUT', address, id, body);
}

/** Sends the message that a worker leaves; fails when the agent does not answer. */
export async function sendLeave(address: string, id: string): Promise<void> {
  await call('DELETE', address, id, null);
}
