/** Small HTTP helpers of the stand-ins. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, request as httpRequest } from 'node:http';

/** Reads a body of JSON; an empty object without one. */
export async function readJson(incoming: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(incoming, 'end');
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}

/** Sends an answer of JSON. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Starts a server; resolves with a function that closes it. */
export async function startHttp(
  host: string,
  port: number,
  serve: (request: IncomingMessage, response: ServerResponse) => Promise<void>,
): Promise<() => void> {
  const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.listen(port, host);
  await once(server, 'listening');
  return () => {
    server.close();
    server.closeAllConnections();
  };
}

/** Answer to a client; status 0 if the connection ended without one. */
export interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** Options of a client's request. */
export interface ClientRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs?: number;
}

/** Sends a request on a connection of its own, as a client or a worker does. */
export function send(options: ClientRequest): Promise<Answer> {
  const { address, method, path, headers = {}, body, timeoutMs = 3_000 } = options;
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const outgoing = httpRequest({
      host: host ?? '',
      port: Number(port),
      method,
      path,
      agent: false,
      headers: {
        ...(text === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    const end = (answer: Answer): void => {
      clearTimeout(timer);
      resolve(answer);
    };
    outgoing.on('error', () => end({ status: 0, body: undefined }));
    outgoing.on('close', () => end({ status: 0, body: undefined }));
    outgoing.on('response', (response) => {
      readJson(response).then(
        (json) => end({ status: response.statusCode ?? 0, body: json }),
        () => end({ status: 0, body: undefined }),
      );
    });
    outgoing.end(text);
  });
}
