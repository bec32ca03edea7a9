import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawn } from '@bronzeyoke/actors';
import type { CallerRequest, Failure, Headers, Outcome, Result } from '@bronzeyoke/types';
import { assertNever, fail, succeed } from '@bronzeyoke/types';
import type { AdminApi } from './api';
import { readBody, sendProblem } from './exchange';
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
const HEADERS_TIMEOUT_MS = 10_000;
const MAX_HEADER_BYTES = 16_384;

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
      readonly request: IncomingMessage;
      readonly response: ServerResponse;
    }
  | {
      readonly kind: 'parsed';
      readonly response: ServerResponse;
      readonly result: Result<CallerRequest>;
    };

interface FrontEndState {
  readonly pendingResponses: ReadonlyMap<string, ServerResponse>;
  readonly onRequest: (request: CallerRequest) => void;
  readonly admin?: AdminApi;
}

function headersOf(request: IncomingMessage): Headers {
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

async function parseRequest(
  request: IncomingMessage,
  dropsToken: boolean,
): Promise<Result<CallerRequest>> {
  const body = await readBody(request);
  if (!body.ok) return body;
  const match = SERVICE_PATH.exec(request.url ?? '');
  const [, service, path] = match ?? [];
  if (service === undefined || path === undefined) {
    return fail({ kind: 'notFound', what: request.url ?? '' });
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
    method: request.method ?? 'GET',
    path,
    headers,
    body: body.value,
    timeoutMs: timeoutMs.value,
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...(traceparent === undefined ? {} : { traceparent }),
  });
}

function sendOutcome(response: ServerResponse, requestId: string, outcome: Outcome): void {
  response.setHeader('bronzeyoke-request-id', requestId);
  switch (outcome.kind) {
    case 'answered':
      response.writeHead(outcome.answer.status, {
        ...outcome.answer.headers,
        'content-length': String(outcome.answer.body.length),
      });
      response.end(outcome.answer.body);
      return;
    case 'notRun':
    case 'unknown':
    case 'keyReused':
      sendProblem(response, outcomeProblem(outcome));
      return;
    default:
      assertNever(outcome);
  }
}

/** HTTP server for callers and the actor that owns it. */
export interface FrontEnd {
  readonly actor: Ref<FrontEndCommand>;
  readonly server: Server;
}

/** Starts the actor that owns the HTTP server and the pending responses. */
export function spawnFrontEnd(
  system: ActorSystemRef,
  countFailure: (failure: Failure) => void,
): FrontEnd {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: 60_000,
  });

  const handle = (
    state: FrontEndState,
    message: FrontEndMessage,
    context: { readonly self: Ref<FrontEndMessage> },
  ): FrontEndState => {
    switch (message.kind) {
      case 'attach':
        return {
          ...state,
          onRequest: message.onRequest,
          ...(message.admin === undefined ? {} : { admin: message.admin }),
        };
      case 'incoming': {
        const { request, response } = message;
        if (state.admin !== undefined && isAdminPath(request.url)) {
          state.admin.handle(request, response);
          return state;
        }
        const refusal = state.admin?.refuseCaller(request.headers.authorization);
        if (refusal !== undefined) {
          countFailure(refusal);
          request.resume();
          sendProblem(response, failureProblem(refusal));
          return state;
        }
        parseRequest(request, state.admin?.needsCallerToken === true)
          .then((result) => dispatch(context.self, { kind: 'parsed', response, result }))
          .catch(() => response.destroy());
        return state;
      }
      case 'parsed': {
        const { response, result } = message;
        if (!result.ok) {
          countFailure(result.failure);
          sendProblem(response, failureProblem(result.failure));
          return state;
        }
        state.onRequest(result.value);
        return {
          ...state,
          pendingResponses: new Map(state.pendingResponses).set(result.value.requestId, response),
        };
      }
      case 'reply': {
        const response = state.pendingResponses.get(message.requestId);
        if (response === undefined) return state;
        sendOutcome(response, message.requestId, message.outcome);
        const pendingResponses = new Map(state.pendingResponses);
        pendingResponses.delete(message.requestId);
        return { ...state, pendingResponses };
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
    initialState: { pendingResponses: new Map(), onRequest: () => undefined },
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
    const failure: Failure = isTooLarge
      ? { kind: 'tooLarge', limitBytes: MAX_HEADER_BYTES }
      : { kind: 'invalid', field: 'head', problem: error.code ?? 'malformed' };
    countFailure(failure);
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const text = JSON.stringify(failureProblem(failure));
    const statusLine = isTooLarge ? '431 Request Header Fields Too Large' : '400 Bad Request';
    socket.end(
      `HTTP/1.1 ${statusLine}\r\nconnection: close\r\ncontent-type: application/problem+json\r\n` +
        `content-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`,
    );
  });
  server.on('request', (request, response) =>
    dispatch(actor, { kind: 'incoming', request, response }),
  );
  return { actor, server };
}
