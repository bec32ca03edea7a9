import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { Map } from 'immutable';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawn } from '@bronzeyoke/actors';
import type { HttpReply, ReceivedRequest, SendReply } from '@bronzeyoke/httpserver';
import type { AdminCommand, AdminReply, Bucket, Failure, Result } from '@bronzeyoke/types';
import { assertNever, fail, succeed, takeToken } from '@bronzeyoke/types';
import type { Principal, TokenEntry } from './auth';
import { authorize, createAuthenticator } from './auth';
import { problemReply } from './exchange';
import { failureProblem } from './problem';
import type { AdminCall, AdminResponse } from './routes';
import { isJobDone, toAdminCall, toAdminResponse } from './routes';

/** Most administration requests in progress, including those that wait for a job. */
const MAX_IN_PROGRESS = 256;
const WAIT_POLL_MS = 500;
const BUSY_RETRY_MS = 1_000;

/** Options of the administration API. */
export interface AdminApiOptions {
  readonly tokens: readonly TokenEntry[];
  /** Whether service calls need a token too. */
  readonly needsCallerToken: boolean;
  readonly entryId: string;
  readonly domain: string;
  readonly administer: (command: AdminCommand) => Promise<Result<AdminReply>>;
  /** Counts every accepted and refused request. */
  readonly count: (kind: string, result: 'accepted' | Failure['kind']) => void;
}

/** Administration API as the front end uses it. */
export interface AdminApi {
  readonly handle: (request: ReceivedRequest, reply: SendReply) => void;
  /** Whether service calls need a token, which is then not forwarded to the upstream. */
  readonly needsCallerToken: boolean;
  /** Returns the failure if a service call is refused. */
  readonly refuseCaller: (authorization: string | undefined) => Failure | undefined;
}

type AdminMessage =
  | {
      readonly kind: 'incoming';
      readonly request: ReceivedRequest;
      readonly reply: SendReply;
    }
  | {
      readonly kind: 'finished';
      readonly reply: SendReply;
      readonly commandKind: string;
      readonly result: Result<AdminResponse>;
    };

interface AdminState {
  readonly buckets: Map<string, Bucket>;
  readonly inProgress: number;
}

function commandKindOf(call: AdminCall): string {
  return call.kind === 'command' ? call.command.kind : call.kind;
}

function failureReply(failure: Failure): HttpReply {
  const isRateLimited = failure.kind === 'rateLimited';
  return problemReply(failureProblem(failure), {
    ...(failure.kind === 'unauthorized' ? { 'www-authenticate': 'Bearer' } : {}),
    ...(isRateLimited ? { 'retry-after': String(Math.ceil(failure.retryAfterMs / 1_000)) } : {}),
  });
}

function resultReply(result: Result<AdminResponse>): HttpReply {
  if (!result.ok) return failureReply(result.failure);
  return {
    kind: 'answer',
    status: result.value.status,
    headers: { 'content-type': 'application/json' },
    body: `${JSON.stringify(result.value.body)}\n`,
  };
}

/** Starts the actor that owns the rate limits and the number of requests in progress. */
export function spawnAdminApi(system: ActorSystemRef, options: AdminApiOptions): AdminApi {
  const { administer, count, entryId, domain } = options;
  const authenticate = createAuthenticator(options.tokens);

  const collectStatus = async (call: AdminCall): Promise<Result<AdminResponse>> => {
    const [configuration, upstreams, workers] = await Promise.all([
      administer({ kind: 'showConfiguration' }),
      administer({ kind: 'listUpstreams' }),
      administer({ kind: 'listWorkers' }),
    ]);
    if (!configuration.ok) return configuration;
    if (!upstreams.ok) return upstreams;
    if (!workers.ok) return workers;
    const bodies = [upstreams.value, workers.value].map(
      (reply) => toAdminResponse(call, reply).body,
    );
    const body = {
      entryId,
      domain,
      uptimeMs: Math.round(performance.now()),
      configuration: toAdminResponse(call, configuration.value).body,
      ...(bodies[0] as object),
      ...(bodies[1] as object),
    };
    return succeed({ status: 200, body });
  };

  const waitJob = async (
    call: Extract<AdminCall, { readonly kind: 'waitJob' }>,
    untilMs: number,
  ): Promise<Result<AdminResponse>> => {
    const reply = await administer(call.command);
    if (!reply.ok) return reply;
    const isDone = reply.value.kind === 'job' && isJobDone(reply.value.status);
    if (isDone || performance.now() + WAIT_POLL_MS > untilMs) {
      return succeed(toAdminResponse(call, reply.value));
    }
    await sleep(WAIT_POLL_MS);
    return waitJob(call, untilMs);
  };

  const execute = async (call: AdminCall): Promise<Result<AdminResponse>> => {
    switch (call.kind) {
      case 'command': {
        const reply = await administer(call.command);
        return reply.ok ? succeed(toAdminResponse(call, reply.value)) : reply;
      }
      case 'waitJob':
        return waitJob(call, performance.now() + call.timeoutMs);
      case 'status':
        return collectStatus(call);
      default:
        return assertNever(call);
    }
  };

  const checkPermission = (principal: Principal, call: AdminCall): Result<unknown> => {
    const command =
      call.kind === 'status' ? ({ kind: 'showConfiguration' } as const) : call.command;
    return authorize(principal, command);
  };

  const handleRequest = async (
    principal: Principal,
    request: ReceivedRequest,
    reply: SendReply,
    self: Ref<AdminMessage>,
  ): Promise<void> => {
    const finish = (commandKind: string, result: Result<AdminResponse>): void =>
      dispatch(self, { kind: 'finished', reply, commandKind, result });
    const call = toAdminCall(
      { method: request.method, url: request.url, body: request.body.toString('utf8') },
      principal,
    );
    if (!call.ok) return finish('none', call);
    const commandKind = commandKindOf(call.value);
    const permission = checkPermission(principal, call.value);
    return finish(commandKind, permission.ok ? await execute(call.value) : permission);
  };

  const admit = (
    state: AdminState,
    request: ReceivedRequest,
  ): { readonly state: AdminState; readonly result: Result<Principal> } => {
    const principal = authenticate(request.headers.authorization);
    if (!principal.ok) return { state, result: principal };
    const { name, limit } = principal.value;
    const { bucket, retryAfterMs } = takeToken(state.buckets.get(name), limit, performance.now());
    const next = { ...state, buckets: state.buckets.set(name, bucket) };
    if (retryAfterMs !== undefined) {
      return { state: next, result: fail({ kind: 'rateLimited', retryAfterMs }) };
    }
    return state.inProgress >= MAX_IN_PROGRESS
      ? { state: next, result: fail({ kind: 'rateLimited', retryAfterMs: BUSY_RETRY_MS }) }
      : { state: { ...next, inProgress: state.inProgress + 1 }, result: principal };
  };

  const handle = (
    state: AdminState,
    message: AdminMessage,
    context: { readonly self: Ref<AdminMessage> },
  ): AdminState => {
    switch (message.kind) {
      case 'incoming': {
        const { request, reply } = message;
        const admitted = admit(state, request);
        if (!admitted.result.ok) {
          count('none', admitted.result.failure.kind);
          reply(failureReply(admitted.result.failure));
          return admitted.state;
        }
        handleRequest(admitted.result.value, request, reply, context.self).catch(() => {
          const failure = { kind: 'outcomeUnknown', reason: 'connectionLost' } as const;
          const result = fail(failure);
          dispatch(context.self, { kind: 'finished', reply, commandKind: 'none', result });
        });
        return admitted.state;
      }
      case 'finished': {
        const { result, reply, commandKind } = message;
        count(commandKind, result.ok ? 'accepted' : result.failure.kind);
        reply(resultReply(result));
        return { ...state, inProgress: state.inProgress - 1 };
      }
      default:
        return assertNever(message);
    }
  };

  const actor: Ref<AdminMessage> = spawn(system, handle, 'admin', {
    initialState: { buckets: Map<string, Bucket>(), inProgress: 0 },
  });
  return {
    needsCallerToken: options.needsCallerToken,
    handle: (request, reply) => dispatch(actor, { kind: 'incoming', request, reply }),
    refuseCaller: (authorization) => {
      if (!options.needsCallerToken) return undefined;
      const principal = authenticate(authorization);
      return principal.ok ? undefined : principal.failure;
    },
  };
}
