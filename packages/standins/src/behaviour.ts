import type { TaskSpec } from '@bronzeyoke/types';
import { z } from 'zod';
import type { TaskBehaviour } from './machine';

const DEFAULT_RUN_MS = 1_000;

const amount = z.number().min(0).max(1e9);
const behaviourSchema = z.object({
  runMs: amount.default(DEFAULT_RUN_MS),
  fails: z.boolean().default(false),
  used: z
    .object({ processorsMilli: amount, memoryMb: amount, accelerators: amount })
    .exactOptional(),
});

function parseJson(payload: string): unknown {
  try {
    return JSON.parse(payload);
  } catch {
    return {};
  }
}

/**
 * Reads a task's behaviour from its payload: `{"runMs": 500, "used": {...}, "fails": false}`.
 * A payload that does not parse gives the default behaviour.
 */
export function behaviourFromPayload(task: TaskSpec): TaskBehaviour {
  const parsed = behaviourSchema.safeParse(parseJson(task.payload));
  const behaviour = parsed.success ? parsed.data : { runMs: DEFAULT_RUN_MS, fails: false };
  return { used: task.reserved, ...behaviour };
}
