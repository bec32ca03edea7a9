import { nameSchema } from '@bronzeyoke/settings';
import { z } from 'zod';
import { changeSchema, jobBodySchema, resourcesSchema, ticketBodySchema } from './body';

/** Problem types by HTTP status. */
export const PROBLEMS: Readonly<Record<string, string>> = {
  400: 'invalid: the input is malformed, negative, too large or has unknown fields',
  401: 'unauthorized: there is no valid bearer token',
  403: 'forbidden: the role of the token may not do this',
  404: 'not-found',
  409: 'conflict: `currentNumber` is the number of the ticket in force',
  413: 'too-large: the body is over 1 MiB',
  429: 'rate-limited: see `retryAfterMs` and the header Retry-After',
  503: 'not-run: nothing was changed',
  504: 'outcome-unknown: the change may have taken effect; read it back',
};

const problem = z.object({
  type: z.string(),
  title: z.string(),
  status: z.int(),
  detail: z.string(),
  currentNumber: z.int().optional(),
  retryAfterMs: z.int().optional(),
});

const ticket = z.object({ number: z.int(), author: z.string(), changes: z.array(changeSchema) });
const configuration = z.object({ number: z.int(), entries: z.array(changeSchema) });
const upstream = z.object({
  agentId: z.string(),
  service: z.string(),
  domain: z.string(),
  health: z.string(),
  inFlight: z.int(),
  limit: z.number(),
  latencyMs: z.number(),
});
const worker = z.object({
  profile: z.object({
    agentId: z.string(),
    worker: nameSchema,
    domain: nameSchema,
    region: nameSchema,
    rack: nameSchema,
    service: nameSchema,
    slots: z.int(),
    connections: z.int(),
    total: resourcesSchema,
  }),
  free: resourcesSchema,
  health: z.string(),
  ticketInForce: z.int(),
});
const job = z.object({
  jobId: z.string(),
  team: nameSchema,
  key: z.string(),
  workKind: nameSchema,
  role: z.enum(['batch', 'watcher']),
  declared: resourcesSchema,
  declaredRunMs: z.int(),
  deadlineAtMs: z.int().optional(),
  submittedAtMs: z.number(),
  urgency: z.enum(['urgent', 'normal']),
  taskCount: z.int(),
  payload: z.string(),
  cancelled: z.boolean(),
});
const task = z.object({
  id: z.object({ jobId: z.string(), index: z.int() }),
  row: z.object({ epoch: z.int(), state: z.looseObject({ kind: z.string() }) }),
});
const jobStatus = z
  .object({ job, tasks: z.array(task), isDone: z.boolean() })
  .describe('Tasks that are not listed are pending. A job is done when all of its tasks ended.');

/** Operation of the administration API as the OpenAPI document describes it. */
export interface Operation {
  readonly path: string;
  readonly method: 'get' | 'post';
  readonly operationId: string;
  readonly summary: string;
  readonly role: 'operator' | 'team';
  readonly query?: readonly string[];
  readonly body?: z.ZodType;
  readonly status: 200 | 201;
  readonly response: z.ZodType;
  readonly problems: readonly number[];
}

const COMMON_PROBLEMS = [400, 401, 403, 413, 429, 503];
/** Parameters of paths and queries by name. */
export const PARAMETERS: Readonly<
  Record<string, { readonly text: string; readonly schema: z.ZodType }>
> = {
  after: { text: 'last number or job id of the page before', schema: z.string() },
  limit: { text: 'most items of the page', schema: z.int().min(1).max(200).default(50) },
  team: { text: 'team of the job; a token of a team implies it', schema: nameSchema },
  timeoutMs: { text: 'longest wait in milliseconds', schema: z.int().min(0).max(10_000) },
  number: { text: 'number of a ticket', schema: z.int().min(1) },
  jobId: { text: 'id of a job', schema: nameSchema },
};

/** All operations of the administration API. */
export const OPERATIONS: readonly Operation[] = [
  {
    path: '/v1/admin/tickets',
    method: 'post',
    operationId: 'applyTicket',
    summary: 'Applies a ticket. Its number must be the number in force plus one.',
    role: 'operator',
    body: ticketBodySchema,
    status: 201,
    response: ticket,
    problems: [...COMMON_PROBLEMS, 409, 504],
  },
  {
    path: '/v1/admin/tickets',
    method: 'get',
    operationId: 'listTickets',
    summary: 'Lists tickets in order of their numbers.',
    role: 'operator',
    query: ['after', 'limit'],
    status: 200,
    response: z.object({ tickets: z.array(ticket) }),
    problems: COMMON_PROBLEMS,
  },
  {
    path: '/v1/admin/tickets/{number}',
    method: 'get',
    operationId: 'showTicket',
    summary: 'Shows a ticket.',
    role: 'operator',
    status: 200,
    response: ticket,
    problems: [...COMMON_PROBLEMS, 404],
  },
  {
    path: '/v1/admin/tickets/{number}/where',
    method: 'get',
    operationId: 'whereTicket',
    summary: 'Shows the number in force at this entry and at the agents connected to it.',
    role: 'operator',
    status: 200,
    response: z.object({
      processes: z.array(
        z.object({
          process: z.enum(['entry', 'agent']),
          id: z.string(),
          domain: nameSchema,
          number: z.int(),
        }),
      ),
    }),
    problems: [...COMMON_PROBLEMS, 404],
  },
  {
    path: '/v1/admin/configuration',
    method: 'get',
    operationId: 'showConfiguration',
    summary: 'Shows the configuration in force at this entry.',
    role: 'operator',
    status: 200,
    response: configuration,
    problems: COMMON_PROBLEMS,
  },
  {
    path: '/v1/admin/upstreams',
    method: 'get',
    operationId: 'listUpstreams',
    summary: 'Lists the upstreams that this entry knows.',
    role: 'operator',
    status: 200,
    response: z.object({ upstreams: z.array(upstream) }),
    problems: COMMON_PROBLEMS,
  },
  {
    path: '/v1/admin/workers',
    method: 'get',
    operationId: 'listWorkers',
    summary: 'Lists the workers that this entry knows.',
    role: 'operator',
    status: 200,
    response: z.object({ workers: z.array(worker) }),
    problems: COMMON_PROBLEMS,
  },
  {
    path: '/v1/admin/status',
    method: 'get',
    operationId: 'status',
    summary: 'Shows this entry, its configuration, its upstreams and its workers.',
    role: 'operator',
    status: 200,
    response: z.object({
      entryId: z.string(),
      domain: nameSchema,
      uptimeMs: z.int(),
      configuration,
      upstreams: z.array(upstream),
      workers: z.array(worker),
    }),
    problems: COMMON_PROBLEMS,
  },
  {
    path: '/v1/jobs',
    method: 'post',
    operationId: 'submitJob',
    summary: 'Submits a job. The same team and key give the same job.',
    role: 'team',
    body: jobBodySchema,
    status: 201,
    response: jobStatus,
    problems: [...COMMON_PROBLEMS, 409, 504],
  },
  {
    path: '/v1/jobs',
    method: 'get',
    operationId: 'listJobs',
    summary: 'Lists jobs of a team.',
    role: 'team',
    query: ['team', 'after', 'limit'],
    status: 200,
    response: z.object({ jobs: z.array(job) }),
    problems: COMMON_PROBLEMS,
  },
  {
    path: '/v1/jobs/{jobId}',
    method: 'get',
    operationId: 'showJob',
    summary: 'Shows a job with its tasks.',
    role: 'team',
    query: ['team'],
    status: 200,
    response: jobStatus,
    problems: [...COMMON_PROBLEMS, 404],
  },
  {
    path: '/v1/jobs/{jobId}/wait',
    method: 'get',
    operationId: 'waitJob',
    summary: 'Shows a job when it is done, or as it is after the longest wait.',
    role: 'team',
    query: ['team', 'timeoutMs'],
    status: 200,
    response: jobStatus,
    problems: [...COMMON_PROBLEMS, 404],
  },
  {
    path: '/v1/jobs/{jobId}/cancel',
    method: 'post',
    operationId: 'cancelJob',
    summary: 'Cancels a job. Tasks that run are stopped; ended ones stay as they are.',
    role: 'team',
    query: ['team'],
    status: 200,
    response: jobStatus,
    problems: [...COMMON_PROBLEMS, 404, 504],
  },
];

/** Schemas that the document names as components. */
export const SCHEMAS = {
  change: changeSchema,
  resources: resourcesSchema,
  ticket,
  configuration,
  upstream,
  worker,
  job,
  task,
  jobStatus,
  problem,
};
