import type { AdminCommand, AdminReply, JobDetails, Result } from '@bronzeyoke/types';
import { assertNever, fail, succeed } from '@bronzeyoke/types';
import type { Principal } from './auth';
import { parseJob, parseTicket } from './body';

/** Request to the administration API without HTTP objects. */
export interface AdminRequest {
  readonly method: string;
  readonly url: string;
  readonly body: string;
}

/** Operation of a request. `waitJob` and `status` run several commands. */
export type AdminCall =
  | { readonly kind: 'command'; readonly command: AdminCommand }
  | {
      readonly kind: 'waitJob';
      readonly command: Extract<AdminCommand, { readonly kind: 'showJob' }>;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'status' };

/** Status and body of a response, which is sent as JSON. */
export interface AdminResponse {
  readonly status: number;
  readonly body: unknown;
}

const MAX_PAGE_SIZE = 200;
const DEFAULT_PAGE_SIZE = 50;
/** Shorter than the limit of a planned stop, which waits for requests in progress. */
const MAX_WAIT_MS = 10_000;
const NAME_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;

type QueryParameters = Readonly<Record<string, string>>;

function parseInteger(
  query: QueryParameters,
  field: string,
  fallback: number,
  range: readonly [min: number, max: number],
): Result<number> {
  const text = query[field];
  if (text === undefined) return succeed(fallback);
  const value = Number(text);
  const [min, max] = range;
  const isValid = /^\d{1,16}$/.test(text) && Number.isSafeInteger(value);
  return isValid && value >= min && value <= max
    ? succeed(value)
    : fail({ kind: 'invalid', field, problem: `not a whole number in ${min}..${max}` });
}

function teamOf(query: QueryParameters, principal: Principal): Result<string> {
  const own = principal.role === 'team' ? principal.team : undefined;
  const team = query.team ?? own;
  return team !== undefined && NAME_PATTERN.test(team)
    ? succeed(team)
    : fail({ kind: 'invalid', field: 'team', problem: 'a team is required' });
}

function commandCall(value: AdminCommand): Result<AdminCall> {
  return succeed({ kind: 'command', command: value });
}

function ticketCall(
  request: AdminRequest,
  parts: readonly string[],
  query: QueryParameters,
  principal: Principal,
): Result<AdminCall> | undefined {
  const [numberText, action, ...rest] = parts;
  if (numberText === undefined && request.method === 'POST') {
    const ticket = parseTicket(request.body);
    return ticket.ok
      ? commandCall({ kind: 'applyTicket', author: principal.name, ...ticket.value })
      : ticket;
  }
  if (request.method !== 'GET' || rest.length > 0) return undefined;
  if (numberText === undefined) {
    const afterNumber = parseInteger(query, 'after', 0, [0, Number.MAX_SAFE_INTEGER]);
    if (!afterNumber.ok) return afterNumber;
    const limit = parseInteger(query, 'limit', DEFAULT_PAGE_SIZE, [1, MAX_PAGE_SIZE]);
    if (!limit.ok) return limit;
    return commandCall({ kind: 'listTickets', afterNumber: afterNumber.value, limit: limit.value });
  }
  const number = parseInteger({ number: numberText }, 'number', 0, [1, Number.MAX_SAFE_INTEGER]);
  if (!number.ok) return number;
  if (action === undefined) return commandCall({ kind: 'showTicket', number: number.value });
  return action === 'where'
    ? commandCall({ kind: 'whereTicket', number: number.value })
    : undefined;
}

function jobCall(
  request: AdminRequest,
  parts: readonly string[],
  query: QueryParameters,
  principal: Principal,
): Result<AdminCall> | undefined {
  const [jobId, action, ...rest] = parts;
  if (rest.length > 0) return undefined;
  if (jobId === undefined && request.method === 'POST') {
    const submission = parseJob(request.body);
    return submission.ok
      ? commandCall({ kind: 'submitJob', submission: submission.value })
      : submission;
  }
  const team = teamOf(query, principal);
  if (!team.ok) return team;
  if (jobId === undefined) {
    if (request.method !== 'GET') return undefined;
    const limit = parseInteger(query, 'limit', DEFAULT_PAGE_SIZE, [1, MAX_PAGE_SIZE]);
    if (!limit.ok) return limit;
    const afterJobId = query.after ?? '';
    if (afterJobId !== '' && !NAME_PATTERN.test(afterJobId)) {
      return fail({ kind: 'invalid', field: 'after', problem: 'not a job id' });
    }
    return commandCall({ kind: 'listJobs', team: team.value, afterJobId, limit: limit.value });
  }
  if (!NAME_PATTERN.test(jobId))
    return fail({ kind: 'invalid', field: 'jobId', problem: 'not a job id' });
  const show = { kind: 'showJob', team: team.value, jobId } as const;
  switch (`${request.method} ${action ?? ''}`) {
    case 'GET ':
      return commandCall(show);
    case 'GET wait': {
      const timeoutMs = parseInteger(query, 'timeoutMs', MAX_WAIT_MS, [0, MAX_WAIT_MS]);
      return timeoutMs.ok
        ? succeed({ kind: 'waitJob', command: show, timeoutMs: timeoutMs.value })
        : timeoutMs;
    }
    case 'POST cancel':
      return commandCall({ kind: 'cancelJob', team: team.value, jobId });
    default:
      return undefined;
  }
}

function readCall(request: AdminRequest, parts: readonly string[]): Result<AdminCall> | undefined {
  switch (`${request.method} ${parts.join('/')}`) {
    case 'GET configuration':
      return commandCall({ kind: 'showConfiguration' });
    case 'GET upstreams':
      return commandCall({ kind: 'listUpstreams' });
    case 'GET workers':
      return commandCall({ kind: 'listWorkers' });
    case 'GET status':
      return succeed({ kind: 'status' });
    default:
      return undefined;
  }
}

/** Returns whether a URL belongs to the administration API. */
export function isAdminPath(url: string | undefined): boolean {
  return /^\/v1\/(admin|jobs)(\/|\?|$)/.test(url ?? '');
}

/** Returns the operation of a request, or the failure if its path or parameters are invalid. */
export function toAdminCall(request: AdminRequest, principal: Principal): Result<AdminCall> {
  const [path = '', search = ''] = request.url.split('?', 2);
  const query = Object.fromEntries(new URLSearchParams(search));
  const [, , area, ...parts] = path.split('/');
  const notFound = fail({
    kind: 'notFound',
    what: `${request.method} ${path}`.slice(0, 256),
  } as const);
  if (area === 'jobs') return jobCall(request, parts, query, principal) ?? notFound;
  const [first, ...rest] = parts;
  const call =
    first === 'tickets' ? ticketCall(request, rest, query, principal) : readCall(request, parts);
  return call ?? notFound;
}

/** Returns whether all tasks of a job have ended. */
export function isJobDone(status: JobDetails): boolean {
  const ended = status.tasks.filter(
    ({ row }) => row.state.kind !== 'pending' && row.state.kind !== 'claimed',
  );
  return ended.length >= status.job.taskCount;
}

/** Converts a reply to the response of a call. */
export function toAdminResponse(call: AdminCall, reply: AdminReply): AdminResponse {
  const isCreated =
    call.kind === 'command' &&
    (call.command.kind === 'applyTicket' || call.command.kind === 'submitJob');
  const status = isCreated ? 201 : 200;
  switch (reply.kind) {
    case 'ticket':
      return { status, body: reply.ticket };
    case 'tickets':
      return { status, body: { tickets: reply.tickets } };
    case 'where':
      return { status, body: { processes: reply.processes } };
    case 'configuration':
      return { status, body: reply.configuration };
    case 'job':
      return { status, body: { ...reply.status, isDone: isJobDone(reply.status) } };
    case 'jobs':
      return { status, body: { jobs: reply.jobs } };
    case 'upstreams':
      return { status, body: { upstreams: reply.upstreams } };
    case 'workers':
      return { status, body: { workers: reply.workers } };
    default:
      return assertNever(reply);
  }
}
