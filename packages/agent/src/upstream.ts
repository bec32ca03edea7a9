import { Agent, request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { UpstreamCallResult, UpstreamCall, UpstreamPort } from '@bronzeyoke/ports';
import type { Headers } from '@bronzeyoke/types';
import { MAX_BODY_BYTES } from '@bronzeyoke/wire';

/** Address of the upstream and its maximum number of connections. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
  readonly connections: number;
}

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
  'proxy-authorization',
  'proxy-authenticate',
]);

function headersOf(message: IncomingMessage): Headers {
  return Object.fromEntries(
    Object.entries(message.headers).flatMap(([name, value]) => {
      if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) return [];
      return [[name, Array.isArray(value) ? value.join(', ') : value]];
    }),
  );
}

function readAnswer(message: IncomingMessage, finish: (result: UpstreamCallResult) => void): void {
  const chunks: Buffer[] = [];
  let lengthBytes = 0;
  message.on('data', (chunk: Buffer) => {
    lengthBytes += chunk.length;
    chunks.push(chunk);
    if (lengthBytes > MAX_BODY_BYTES) message.destroy();
  });
  message.on('close', () => {
    // `complete` is false when the body was truncated: such an answer is never forwarded.
    const isComplete = message.complete && lengthBytes <= MAX_BODY_BYTES;
    finish(
      isComplete
        ? {
            kind: 'answered',
            answer: {
              status: message.statusCode ?? 502,
              headers: headersOf(message),
              body: Buffer.concat(chunks),
            },
          }
        : { kind: 'lost', reason: 'upstreamFailed' },
    );
  });
}

/** Creates an HTTP client of the upstream. It uses `node:http` because undici needs 10 MB more memory. */
export function createHttpUpstream(address: UpstreamAddress): UpstreamPort {
  const pool = new Agent({ keepAlive: true, maxSockets: address.connections });
  const call = (upstreamCall: UpstreamCall): Promise<UpstreamCallResult> =>
    new Promise((resolve) => {
      let isConnected = false;
      const outgoing = httpRequest({
        host: address.host,
        port: address.port,
        method: upstreamCall.method,
        path: upstreamCall.path,
        headers: { ...upstreamCall.headers, 'content-length': String(upstreamCall.body.length) },
        agent: pool,
      });
      const deadline = setTimeout(() => outgoing.destroy(), upstreamCall.timeoutMs);
      const finish = (result: UpstreamCallResult): void => {
        clearTimeout(deadline);
        resolve(result);
      };
      outgoing.on('socket', (socket) => {
        isConnected = !socket.connecting;
        if (isConnected) return;
        socket.once('connect', () => {
          isConnected = true;
        });
      });
      outgoing.on('response', (message) => readAnswer(message, finish));
      outgoing.on('error', () =>
        finish(isConnected ? { kind: 'lost', reason: 'upstreamFailed' } : { kind: 'notReached' }),
      );
      outgoing.end(upstreamCall.body);
    });
  return { call };
}
