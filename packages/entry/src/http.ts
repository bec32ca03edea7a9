import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawn } from '@bronzeyoke/actors';
import type {
  HttpLimits,
  HttpReply,
  HttpServers,
  ReceivedRequest,
  SendReply,
} from '@bronzeyoke/httpserver';
import { createHttpServers, defaultLimits } from '@bronzeyoke/httpserver';
import type { CallerRequest, Failure, Headers, Outcome, Result } from '@bronzeyoke/types';
import { assertNever, fail, succeed } from '@bronzeyoke/types';
import { MAX_BODY_BYTES } from '@bronzeyoke/wire';
import type { AdminApi } from './api';
import { describeProblem, problemReply, refusalFailure } from './exchange';
import { failureProblem, outcomeProblem } from './problem';
import { isAdminPath } from './routes';

const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9_-]{1,64})(\/.*)$/;
const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_TIMEOUT_MS = 600_000;

// Agents refuse frames with longer fields and close the connection, which affects other callers.
const MAX_KEY_CHARS = 200;
const MAX_PATH_CHARS = 8_192;
const MAX_HEADERS = 128;
const MAX_HEADER_NAME_CHARS = 256;
const MAX_TRACEPARENT_CHARS = 100;

/** Headers that apply to one hop and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'host',
  'expect',
  'content-length',
  'proxy-authorization',
]);

/** Commands to the front end. `attach` sets the receiver of its requests. */
export type FrontEndCommand =
  | {
      readonly kind: 'attach';
      readonly onRequest: (request: CallerRequest) => void;
      readonly admin?: AdminApi;
    }
  | { readonly kind: 'reply'; readonly requestId: string; readonly outcome: Outcome }
  | { readonly kind: 'close' };

type FrontEndMessage =
  | FrontEndCommand
  | {
      readonly kind: 'incoming';
      readonly request: ReceivedRequest;
      readonly reply: SendReply;
    };

interface FrontEndState {
  readonly pendingReplies: ReadonlyMap<string, SendReply>;
  readonly onRequest: (request: CallerRequest) => void;
  readonly admin?: AdminApi;
}

function headersOf(request: ReceivedRequest): Headers {
  return Object.fromEntries(
    Object.entries(request.headers).flatMap(([name, value]) => {
      if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) return [];
      return [[name, Array.isArray(value) ? value.join(', ') : value]];
    }),
  );
}

function timeoutOf(header: string | undefined): Result<number> {
  if (header === undefined) return succeed(DEFAULT_TIMEOUT_MS);
  const value = Number(header);
  const isValid = Number.isFinite(value) && value > 0 && value <= MAX_TIMEOUT_MS;
  return isValid
    ? succeed(value)
    : fail({ kind: 'invalid', field: 'bronzeyoke-timeout-ms', problem: 'not in 1..600000' });
}

/** Refuses a request with a field that is longer than agents accept. */
function checkLimits(request: CallerRequest): Result<CallerRequest> {
  const { idempotencyKey, path, headers, traceparent } = request;
  const isKeyValid = idempotencyKey === undefined || idempotencyKey.length > 0;
  const names = Object.keys(headers);
  const areNamesShort = names.every((name) => name.length <= MAX_HEADER_NAME_CHARS);
  const checks: readonly (readonly [string, boolean])[] = [
    ['idempotency-key', isKeyValid && (idempotencyKey ?? '').length <= MAX_KEY_CHARS],
    ['path', path.length <= MAX_PATH_CHARS],
    ['headers', areNamesShort && names.length <= MAX_HEADERS],
    ['traceparent', (traceparent ?? '').length <= MAX_TRACEPARENT_CHARS],
  ];
  const invalid = checks.find(([, isValid]) => !isValid);
  return invalid === undefined
    ? succeed(request)
    : fail({ kind: 'invalid', field: invalid[0], problem: 'empty or too long' });
}

function parseRequest(request: ReceivedRequest, dropsToken: boolean): Result<CallerRequest> {
  const match = SERVICE_PATH.exec(request.url);
  const [, service, path] = match ?? [];
  if (service === undefined || path === undefined) {
    return fail({ kind: 'notFound', what: request.url });
  }
  const { authorization, ...others } = headersOf(request);
  const headers: Headers =
    authorization === undefined || dropsToken ? others : { ...others, authorization };
  const timeoutMs = timeoutOf(headers['bronzeyoke-timeout-ms']);
  if (!timeoutMs.ok) return timeoutMs;
  const idempotencyKey = headers['idempotency-key'];
  const { traceparent } = headers;
  return checkLimits({
    requestId: randomUUID(),
    service,
    method: request.method,
    path,
    headers,
    body: request.body,
    timeoutMs: timeoutMs.value,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...(traceparent === undefined ? {} : { traceparent }),
  });
}

function outcomeReply(requestId: string, outcome: Outcome): HttpReply {
  const named = { 'bronzeyoke-request-id': requestId };
  switch (outcome.kind) {
    case 'answered': {
      const { status, headers, body } = outcome.answer;
      return { kind: 'answer', status, headers: { ...named, ...headers }, body };
    }
    case 'notRun':
    case 'unknown':
    case 'keyReused':
      return problemReply(outcomeProblem(outcome), named);
    default:
      return assertNever(outcome);
  }
}

/** HTTP server for callers and the actor that owns it. */
export interface FrontEnd {
  readonly actor: Ref<FrontEndCommand>;
  readonly server: Server;
}

/** Servers of a process, and the limits that they share. */
export interface LimitedServers {
  readonly servers: HttpServers;
  readonly limits: HttpLimits;
}

/** Returns servers with the default limits. */
export function defaultServers(): LimitedServers {
  const limits = defaultLimits();
  return { servers: createHttpServers(limits, () => undefined), limits };
}

/** Starts the actor that owns the HTTP server and the pending replies. */
export function spawnFrontEnd(
  system: ActorSystemRef,
  countFailure: (failure: Failure) => void,
  { servers, limits: { maxHeadBytes } }: LimitedServers = defaultServers(),
): FrontEnd {
  const late: { send: (message: FrontEndMessage) => void } = { send: () => undefined };
  const server = servers.create({
    maxBodyBytes: () => MAX_BODY_BYTES,
    onRequest: (request, reply) => late.send({ kind: 'incoming', request, reply }),
    describe: (refusal) => describeProblem(refusal, maxHeadBytes),
    onRefused: (refusal) => countFailure(refusalFailure(refusal, maxHeadBytes)),
  });

  const handle = (state: FrontEndState, message: FrontEndMessage): FrontEndState => {
    switch (message.kind) {
      case 'attach':
        return {
          ...state,
          onRequest: message.onRequest,
          ...(message.admin === undefined ? {} : { admin: message.admin }),
        };
      case 'incoming': {
        const { request, reply } = message;
        if (state.admin !== undefined && isAdminPath(request.url)) {
          state.admin.handle(request, reply);
          return state;
        }
        const refusal = state.admin?.refuseCaller(request.headers.authorization);
        const result =
          refusal === undefined
            ? parseRequest(request, state.admin?.needsCallerToken === true)
            : fail(refusal);
        if (!result.ok) {
          countFailure(result.failure);
          reply(problemReply(failureProblem(result.failure)));
          return state;
        }
        state.onRequest(result.value);
        return {
          ...state,
          pendingReplies: new Map(state.pendingReplies).set(result.value.requestId, reply),
        };
      }
      case 'reply': {
        const reply = state.pendingReplies.get(message.requestId);
        if (reply === undefined) return state;
        reply(outcomeReply(message.requestId, message.outcome));
        const pendingReplies = new Map(state.pendingReplies);
        pendingReplies.delete(message.requestId);
        return { ...state, pendingReplies };
      }
      case 'close':
        server.close();
        server.closeIdleConnections();
        return state;
      default:
        return assertNever(message);
    }
  };

  const actor: Ref<FrontEndMessage> = spawn(system, handle, 'front', {
    initialState: { pendingReplies: new Map(), onRequest: () => undefined },
  });
  late.send = (message) => dispatch(actor, message);
  return { actor, server };
}
