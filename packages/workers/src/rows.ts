import { z } from 'zod';
import { acceptValue } from '@bronzeyoke/decoding';
import type { Row } from '@bronzeyoke/ports';
import type { WorkerRow } from './types';

/** Key prefix of the rows of workers. */
export const WORKER_PREFIX = 'worker/';

/** Returns the key of the row that holds the incarnation of a worker. */
export function workerKey(worker: string): string {
  return `${WORKER_PREFIX}${worker}`;
}

/** Returns the key of the row that each renewal of a worker's lease writes. */
export function leaseKey(worker: string): string {
  return `workerlease/${worker}`;
}

const schema = z.object({
  incarnation: z.int().min(0),
  agentId: z.string(),
  fenced: z.boolean(),
  token: z.string(),
});

/** Returns the value of the row of a worker. The token distinguishes writes of the row. */
export function workerValue(
  incarnation: number,
  agentId: string,
  fenced: boolean,
  token: string,
): z.infer<typeof schema> {
  return { incarnation, agentId, fenced, token };
}

/** Parses the row of a worker. An absent or invalid row yields a fenced worker of incarnation 0. */
export function workerRowOf(row: Row | undefined, seenAtMs: number): WorkerRow {
  const stored = acceptValue(schema, row?.value);
  return {
    version: row?.version ?? 0,
    incarnation: stored?.incarnation ?? 0,
    agentId: stored?.agentId ?? '',
    isFenced: stored?.fenced ?? true,
    token: stored?.token ?? '',
    seenAtMs,
  };
}
