import type { DecodeFault } from '@bronzeyoke/decoding';
import { checkValue, decodeJson, describeDecodeFault } from '@bronzeyoke/decoding';
import { nameSchema } from '@bronzeyoke/settings';
import type { ConfigChange, Failure, Result, Submission } from '@bronzeyoke/types';
import { assertNever, fail, succeed } from '@bronzeyoke/types';
import { z } from 'zod';

const MAX_CHANGES = 1_000;
const MAX_TEXT_CHARS = 65_536;
const MAX_RUN_MS = 366 * 24 * 3_600_000;
const MAX_TASKS = 100_000;
/** End of the year 9999, so that a time in nanoseconds is refused. */
const MAX_TIME_MS = 253_402_300_799_000;

const keySchema = z
  .string()
  .max(128)
  .regex(/^[A-Za-z0-9_.:-]+$/, 'only letters, digits, "_", ".", ":" and "-"');
const payloadSchema = z.string().max(MAX_TEXT_CHARS);
/** Schema of the resources that a worker has or a task declares. */
export const resourcesSchema = z.strictObject({
  processorsMilli: z.int().min(0).max(1_000_000_000),
  memoryMb: z.int().min(0).max(1_000_000_000),
  accelerators: z.int().min(0).max(1_000_000),
});

/** Schema of one change of a ticket, with the complete new state of its object. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('domain'), name: nameSchema, state: z.enum(['in', 'out']) }),
  z.strictObject({
    kind: z.literal('service'),
    name: nameSchema,
    reserved: resourcesSchema,
    targetLatencyMs: z.number().positive().max(600_000),
    defaultTimeoutMs: z.int().min(1).max(600_000),
  }),
  z.strictObject({ kind: z.literal('team'), name: nameSchema, quota: resourcesSchema }),
  z.strictObject({
    kind: z.literal('watcher'),
    name: nameSchema,
    team: nameSchema,
    workKind: nameSchema,
    reserved: resourcesSchema,
    payload: payloadSchema,
    instances: z.int().min(0).max(10_000),
  }),
]);

/** Schema of the body of a new ticket. */
export const ticketBodySchema = z.strictObject({
  number: z.int().min(1).max(Number.MAX_SAFE_INTEGER),
  changes: z.array(changeSchema).min(1).max(MAX_CHANGES),
});

/** Schema of the body of a new job. */
export const jobBodySchema = z
  .strictObject({
    team: nameSchema,
    key: keySchema,
    workKind: nameSchema,
    role: z.enum(['batch', 'watcher']).default('batch'),
    declared: resourcesSchema,
    declaredRunMs: z.int().min(1).max(MAX_RUN_MS),
    deadlineAtMs: z.int().min(0).max(MAX_TIME_MS).optional(),
    urgency: z.enum(['urgent', 'normal']).default('normal'),
    taskCount: z.int().min(1).max(MAX_TASKS).default(1),
    payload: payloadSchema.default(''),
  })
  .refine((job) => (job.role === 'batch') === (job.deadlineAtMs !== undefined), {
    path: ['deadlineAtMs'],
    message: 'required for batch, and not allowed for a watcher',
  });

function refusalOf(fault: DecodeFault): Failure {
  const field = 'body';
  switch (fault.kind) {
    case 'unreadable':
      return { kind: 'invalid', field, problem: 'not JSON' };
    case 'notAccepted':
      return { kind: 'invalid', field: fault.field, problem: fault.problem };
    case 'tooDeep':
    case 'tooCostly':
    case 'unsupported':
      return { kind: 'invalid', field, problem: describeDecodeFault(fault) };
    default:
      return assertNever(fault);
  }
}

function parseBody<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): Result<z.infer<Schema>> {
  const json = decodeJson(Buffer.from(text));
  if (!json.ok) return fail(refusalOf(json.failure));
  const checked = checkValue(schema, json.value);
  return checked.ok ? checked : fail(refusalOf(checked.failure));
}

/** Parses and validates the body of a ticket. */
export function parseTicket(
  text: string,
): Result<{ readonly number: number; readonly changes: readonly ConfigChange[] }> {
  return parseBody(ticketBodySchema, text);
}

/** Parses and validates the body of a job. */
export function parseJob(text: string): Result<Submission> {
  const parsed = parseBody(jobBodySchema, text);
  if (!parsed.ok) return parsed;
  const { deadlineAtMs, ...job } = parsed.value;
  return succeed({ ...job, ...(deadlineAtMs === undefined ? {} : { deadlineAtMs }) });
}
