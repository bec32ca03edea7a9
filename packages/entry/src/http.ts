import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { ActorSystemRef } from 'nact';
import type { Ref } from '@bronzeyoke/actors';
import { dispatch, spawn } from '@bronzeyoke/actors';
import type { CallerRequest, Failure, Headers, Outcome, Result } from '@bronzeyoke/types';
import { assertNever, fail, succeed } from '@bronzeyoke/types';
import { MAX_BODY_BYTES } from '@bronzeyoke/wire';
import type { Problem } from './problem';
import { failureProblem, outcomeProblem } from './problem';

const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9_-]{1,64})(\/.*)$/;
const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_TIMEOUT_MS = 600_000;
const HEAD_TIMEOUT_MS = 10_000;
const MAX_HEADER_BYTES = 16_384;

/** Headers that belong to one hop and are not passed on. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** What the front end accepts. Requests go to the attached target. */
export type FrontCommand =
  | { readonly kind: 'attach'; readonly arrived: (request: CallerRequest) => void }
  | { readonly kind: 'reply'; readonly requestId: string; readonly outcome: Outcome }
  | { readonly kind: 'close' };

type FrontMessage =
  | FrontCommand
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

interface FrontState {
  readonly waiting: ReadonlyMap<string, ServerResponse>;
  readonly arrived: (request: CallerRequest) => void;
}

function headersOf(request: IncomingMessage): Headers {
  return Object.fromEntries(
    Object.entries(request.headers).flatMap(([name, value]) => {
      if (value === undefined || HOP_HEADERS.has(name)) return [];
      return [[name, Array.isArray(value) ? value.join(', ') : value]];
    }),
  );
}

function readBody(request: IncomingMessage): Promise<Result<Uint8Array>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let lengthBytes = 0;
    request.on('data', (chunk: Buffer) => {
      lengthBytes += chunk.length;
      if (lengthBytes <= MAX_BODY_BYTES) chunks.push(chunk);
    });
    request.on('close', () => {
      if (lengthBytes > MAX_BODY_BYTES) {
        resolve(fail({ kind: 'tooLarge', limitBytes: MAX_BODY_BYTES }));
      } else if (!request.complete) {
        resolve(fail({ kind: 'invalid', field: 'body', problem: 'cut short' }));
      } else {
        resolve(succeed(Buffer.concat(chunks)));
      }
    });
    request.on('error', () => request.destroy());
  });
}

function timeoutOf(header: string | undefined): Result<number> {
  if (header === undefined) return succeed(DEFAULT_TIMEOUT_MS);
  const value = Number(header);
  const isValid = Number.isFinite(value) && value > 0 && value <= MAX_TIMEOUT_MS;
  return isValid
    ? succeed(value)
    : fail({ kind: 'invalid', field: 'bronzeyoke-timeout-ms', problem: 'not in 1..600000' });
}

async function parse(request: IncomingMessage): Promise<Result<CallerRequest>> {
  const body = await readBody(request);
  if (!body.ok) return body;
  const match = SERVICE_PATH.exec(request.url ?? '');
  const [, service, path] = match ?? [];
  if (service === undefined || path === undefined) {
    return fail({ kind: 'notFound', what: request.url ?? '' });
  }
  const headers = headersOf(request);
  const timeoutMs = timeoutOf(headers['bronzeyoke-timeout-ms']);
  if (!timeoutMs.ok) return timeoutMs;
  const idempotencyKey = headers['idempotency-key'];
  const { traceparent } = headers;
  return succeed({
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

function sendProblem(response: ServerResponse, problem: Problem): void {
  response.writeHead(problem.status, { 'content-type': 'application/problem+json' });
  response.end(JSON.stringify(problem));
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

/** A front end that listens. */
export interface Front {
  readonly actor: Ref<FrontCommand>;
  readonly server: Server;
}

/** Starts the actor that owns the HTTP server and the responses that callers wait for. */
export function spawnFront(system: ActorSystemRef, count: (failure: Failure) => void): Front {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEAD_TIMEOUT_MS,
    requestTimeout: 60_000,
  });

  const handle = (
    state: FrontState,
    message: FrontMessage,
    context: { readonly self: Ref<FrontMessage> },
  ): FrontState => {
    switch (message.kind) {
      case 'attach':
        return { ...state, arrived: message.arrived };
      case 'incoming': {
        const { response } = message;
        parse(message.request)
          .then((result) => dispatch(context.self, { kind: 'parsed', response, result }))
          .catch(() => response.destroy());
        return state;
      }
      case 'parsed': {
        const { response, result } = message;
        if (!result.ok) {
          count(result.failure);
          sendProblem(response, failureProblem(result.failure));
          return state;
        }
        state.arrived(result.value);
        return { ...state, waiting: new Map(state.waiting).set(result.value.requestId, response) };
      }
      case 'reply': {
        const response = state.waiting.get(message.requestId);
        if (response === undefined) return state;
        sendOutcome(response, message.requestId, message.outcome);
        const waiting = new Map(state.waiting);
        waiting.delete(message.requestId);
        return { ...state, waiting };
      }
      case 'close':
        server.close();
        server.closeIdleConnections();
        return state;
      default:
        return assertNever(message);
    }
  };

  const actor: Ref<FrontMessage> = spawn(system, handle, 'front', {
    initialState: { waiting: new Map(), arrived: () => undefined },
  });
  server.on('request', (request, response) =>
    dispatch(actor, { kind: 'incoming', request, response }),
  );
  return { actor, server };
}
