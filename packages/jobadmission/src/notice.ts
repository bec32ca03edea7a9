import { z } from 'zod';
import { acceptValue } from '@bronzeyoke/decoding';
import type { Resources } from '@bronzeyoke/types';
import type { QueueVerdict } from './types';

const amount = z.number().min(-1e12).max(1e12);
const retryAfterMs = z.number().min(0).max(600_000);

const resourcesSchema = z.object({
  processorsMilli: amount,
  memoryMb: amount,
  accelerators: amount,
}) satisfies z.ZodType<Resources>;

const allowanceSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('work'), coreMs: amount }),
  z.object({ kind: z.literal('room'), resources: resourcesSchema }),
]);

const verdictSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('acceptAll') }),
  z.object({ kind: z.literal('limit'), allowance: allowanceSchema, retryAfterMs }),
  z.object({ kind: z.literal('refuse'), retryAfterMs }),
]);

const noticeSchema = z.object({
  /** Entries that share each allowance. */
  entryCount: z.int().min(1).max(10_000),
  verdicts: z
    .array(
      z.object({
        queue: z.string(),
        jobKind: z.enum(['lasting', 'reserving', 'filling']),
        verdict: verdictSchema,
      }),
    )
    .max(10_000),
});

/** The leader's verdicts as the store holds them. Queues that are open are left out. */
export interface AdmissionNotice {
  readonly entryCount: number;
  readonly verdicts: readonly QueueVerdict[];
}

/** Decodes the row of the verdicts; undefined when it is malformed. */
export function decodeNotice(value: unknown): AdmissionNotice | undefined {
  return acceptValue(noticeSchema, value);
}

/** Part of an allowance by which it has to change to be written again before it is refreshed. */
const CHANGED_SHARE = 0.2;

function differs(left: number, right: number): boolean {
  return Math.abs(left - right) > CHANGED_SHARE * Math.max(Math.abs(left), Math.abs(right));
}

function isSameVerdict({ verdict: left }: QueueVerdict, right: QueueVerdict['verdict']): boolean {
  if (left.kind !== 'limit' || right.kind !== 'limit') return left.kind === right.kind;
  const [before, after] = [left.allowance, right.allowance];
  if (before.kind === 'work' && after.kind === 'work') return !differs(before.coreMs, after.coreMs);
  if (before.kind === 'room' && after.kind === 'room') {
    const { processorsMilli, memoryMb, accelerators } = after.resources;
    return (
      !differs(before.resources.processorsMilli, processorsMilli) &&
      !differs(before.resources.memoryMb, memoryMb) &&
      !differs(before.resources.accelerators, accelerators)
    );
  }
  return false;
}

/** Returns whether entries would decide much the same by two notices. */
export function isSameNotice(left: AdmissionNotice, right: AdmissionNotice): boolean {
  return (
    left.verdicts.length === right.verdicts.length &&
    left.verdicts.every((known, index) => {
      const other = right.verdicts[index];
      return (
        other !== undefined &&
        known.queue === other.queue &&
        known.jobKind === other.jobKind &&
        isSameVerdict(known, other.verdict)
      );
    })
  );
}
