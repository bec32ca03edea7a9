import type { TaskSpec } from '@bronzeyoke/types';
import { z } from 'zod';
import type { TaskBehaviour } from './machine';

const DEFAULT_RUN_MS = 1_000;

const amount = z.number().min(0).max(1e9);
const truthSchema = z.object({
  runMs: amount.default(DEFAULT_RUN_MS),
  fails: z.boolean().default(false),
  used: z
    .object({ processorsMilli: amount, memoryMb: amount, accelerators: amount })
    .exactOptional(),
});

function parse(payload: string): unknown {
  try {
    return JSON.parse(payload);
  } catch {
    return {};
  }
}

/** What a task does, as its payload says: `{"runMs": 500, "used": {...}, "fails": false}`. */
export function behaviourFromPayload(task: TaskSpec): TaskBehaviour {
  const parsed = truthSchema.safeParse(parse(task.payload));
  const truth = parsed.success ? parsed.data : { runMs: DEFAULT_RUN_MS, fails: false };
  return { used: task.reserved, ...truth };
}
