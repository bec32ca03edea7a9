import { nameSchema } from '@bronzeyoke/settings';
import { z } from 'zod';
import { changeSchema, jobBodySchema, resourcesSchema, ticketBodySchema } from './body';

/** Problem types by HTTP status. */
const PROBLEMS: Readonly<Record<string, string>> = {
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

interface Operation {
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
const PARAMETERS: Readonly<Record<string, { readonly text: string; readonly schema: z.ZodType }>> =
  {
    after: { text: 'last number or job id of the page before', schema: z.string() },
    limit: { text: 'most items of the page', schema: z.int().min(1).max(200).default(50) },
    team: { text: 'team of the job; a token of a team implies it', schema: nameSchema },
    timeoutMs: { text: 'longest wait in milliseconds', schema: z.int().min(0).max(10_000) },
    number: { text: 'number of a ticket', schema: z.int().min(1) },
    jobId: { text: 'id of a job', schema: nameSchema },
  };

const OPERATIONS: readonly Operation[] = [
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

const SCHEMAS = {
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

const registry = z.registry<{ readonly id: string }>();
Object.entries(SCHEMAS).forEach(([id, schema]) => registry.add(schema, { id }));

/** Returns the JSON Schema of a zod schema, with references to the components. */
function schemaOf(schema: z.ZodType, io: 'input' | 'output'): unknown {
  const { $schema, $defs, ...json } = z.toJSONSchema(schema, { io, metadata: registry });
  const text = JSON.stringify(json).replaceAll('#/$defs/', '#/components/schemas/');
  return JSON.parse(text) as unknown;
}

function componentSchemas(): unknown {
  const { schemas } = z.toJSONSchema(registry, { uri: (id) => `#/components/schemas/${id}` });
  return Object.fromEntries(
    Object.entries(schemas).map(([id, { $schema, $id, id: own, ...schema }]) => [id, schema]),
  );
}

/** Returns a reference to the component of a named schema, or the JSON Schema itself. */
function referenceOrSchema(schema: z.ZodType, io: 'input' | 'output'): unknown {
  const id = registry.get(schema)?.id;
  return id === undefined ? schemaOf(schema, io) : { $ref: `#/components/schemas/${id}` };
}

function parametersOf(operation: Operation): readonly unknown[] {
  const pathKeys = [...operation.path.matchAll(/\{(\w+)\}/g)].map((match) => match[1] ?? '');
  const parameter = (key: string, location: 'path' | 'query') => ({
    name: key,
    in: location,
    required: location === 'path',
    description: PARAMETERS[key]?.text ?? '',
    schema: schemaOf(PARAMETERS[key]?.schema ?? z.string(), 'input'),
  });
  return [
    ...pathKeys.map((key) => parameter(key, 'path')),
    ...(operation.query ?? []).map((key) => parameter(key, 'query')),
  ];
}

function operationOf(operation: Operation): unknown {
  const { operationId, summary, role, body, status, response } = operation;
  const problems = operation.problems
    .toSorted()
    .map((code) => [String(code), { $ref: `#/components/responses/${code}` }]);
  return {
    operationId,
    summary,
    description: role === 'team' ? 'Roles: team (own jobs), operator.' : 'Role: operator.',
    parameters: parametersOf(operation),
    ...(body === undefined
      ? {}
      : {
          requestBody: {
            required: true,
            content: { 'application/json': { schema: referenceOrSchema(body, 'input') } },
          },
        }),
    responses: {
      [status]: {
        description: 'Done.',
        content: { 'application/json': { schema: referenceOrSchema(response, 'output') } },
      },
      ...Object.fromEntries(problems),
    },
  };
}

/** Creates the OpenAPI document of the administration API, docs/openapi.json. */
export function createOpenApiDocument(): unknown {
  const paths = [...new Set(OPERATIONS.map((operation) => operation.path))].map((path) => [
    path,
    Object.fromEntries(
      OPERATIONS.filter((operation) => operation.path === path).map((operation) => [
        operation.method,
        operationOf(operation),
      ]),
    ),
  ]);
  return {
    openapi: '3.1.0',
    info: {
      title: 'bronzeyoke administration API',
      version: '1.0.0',
      license: { name: 'Apache-2.0', identifier: 'Apache-2.0' },
    },
    security: [{ bearer: [] }],
    paths: Object.fromEntries(paths),
    components: {
      schemas: componentSchemas(),
      responses: Object.fromEntries(
        Object.entries(PROBLEMS).map(([code, description]) => [
          code,
          {
            description,
            content: {
              'application/problem+json': { schema: { $ref: '#/components/schemas/problem' } },
            },
          },
        ]),
      ),
      securitySchemes: { bearer: { type: 'http', scheme: 'bearer' } },
    },
  };
}
