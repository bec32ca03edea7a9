import { z } from 'zod';
import { listOf } from '@bronzeyoke/decoding';

/** Schemas of the answers of the API. Unknown fields are ignored, so that entries may be newer. */

const change = z.looseObject({ kind: z.string(), name: z.string() });

export const ticketSchema = z.looseObject({
  number: z.number(),
  author: z.string(),
  changes: listOf(change),
});

export const ticketsSchema = z.looseObject({ tickets: listOf(ticketSchema) });

export const configurationSchema = z.looseObject({ number: z.number(), entries: listOf(change) });

export const whereSchema = z.looseObject({
  processes: listOf(
    z.looseObject({
      process: z.string(),
      id: z.string(),
      domain: z.string(),
      number: z.number(),
    }),
  ),
});

export const upstreamsSchema = z.looseObject({
  upstreams: listOf(
    z.looseObject({
      agentId: z.string(),
      service: z.string(),
      domain: z.string(),
      health: z.string(),
      inFlight: z.number(),
      limit: z.number(),
      latencyMs: z.number(),
    }),
  ),
});

const resources = z.looseObject({
  processorsMilli: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

export const workersSchema = z.looseObject({
  workers: listOf(
    z.looseObject({
      profile: z.looseObject({
        worker: z.string(),
        domain: z.string(),
        rack: z.string(),
        service: z.string(),
        total: resources,
      }),
      free: resources,
      health: z.string(),
      ticketInForce: z.number(),
    }),
  ),
});

export const statusSchema = z.looseObject({
  entryId: z.string(),
  domain: z.string(),
  uptimeMs: z.number(),
  configuration: configurationSchema,
  ...upstreamsSchema.shape,
  ...workersSchema.shape,
});

const job = z.looseObject({
  jobId: z.string(),
  team: z.string(),
  key: z.string(),
  workKind: z.string(),
  urgency: z.string(),
  taskCount: z.number(),
  cancelled: z.boolean(),
  deadlineAtMs: z.number().optional(),
});

export const jobsSchema = z.looseObject({ jobs: listOf(job) });

export const jobStatusSchema = z.looseObject({
  job,
  tasks: listOf(
    z.looseObject({
      id: z.looseObject({ index: z.number() }),
      row: z.looseObject({ epoch: z.number(), state: z.looseObject({ kind: z.string() }) }),
    }),
  ),
  isDone: z.boolean(),
});

/** Ticket in an answer of the API. */
export type TicketAnswer = z.infer<typeof ticketSchema>;

/** Job with its tasks in an answer of the API. */
export type JobAnswer = z.infer<typeof jobStatusSchema>;

/** Job in a list of the API, without its tasks. */
export type JobListItem = z.infer<typeof job>;

/** Processes and the number of the ticket in force at each of them. */
export type WhereAnswer = z.infer<typeof whereSchema>;
