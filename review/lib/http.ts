import { once } from 'node:events';
import type { IncomingMessage, Server } from 'node:http';
import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request that a stand-in has received. */
export interface StandinRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: Readonly<Record<string, unknown>>;
}

/** Response of a stand-in; undefined closes the connection without one. */
export type StandinResponse = { readonly status: number; readonly body?: object } | undefined;

/** Response to a call; status 0 if there was none. */
export interface CallResult {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

async function readJson(incoming: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(incoming, 'end');
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}

/** Serves a stand-in at a loopback address. Port 0 picks a free one. */
export async function serveStandin(
  host: string,
  port: number,
  handle: (received: StandinRequest) => Promise<StandinResponse>,
): Promise<{ readonly server: Server; readonly address: string }> {
  const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
    const serve = async (): Promise<void> => {
      const body = await readJson(incoming);
      const url = new URL(incoming.url ?? '/', 'http://standin');
      const answer = await handle({
        method: incoming.method ?? 'GET',
        path: url.pathname,
        query: url.searchParams,
        headers: incoming.headers,
        body,
      });
      if (answer === undefined) {
        response.destroy();
        return;
      }
      response.writeHead(answer.status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(answer.body ?? {}));
    };
    serve().catch(() => response.destroy());
  });
  server.listen(port, host);
  await once(server, 'listening');
  const bound = server.address() as AddressInfo;
  return { server, address: `${host}:${bound.port}` };
}

/** Calls a server on a new connection. */
export function call(
  address: string,
  method: string,
  path: string,
  options: {
    readonly body?: object;
    readonly headers?: Readonly<Record<string, string>>;
    readonly timeoutMs?: number;
  } = {},
): Promise<CallResult> {
  const [host = '', port = ''] = address.split(':');
  const { body, headers = {}, timeoutMs = 3_000 } = options;
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const none = (): void => resolve({ status: 0, body: {} });
    const outgoing = request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          ...(text === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': Buffer.byteLength(text),
              }),
          ...headers,
        },
      },
      (incoming) => {
        readJson(incoming).then(
          (received) => resolve({ status: incoming.statusCode ?? 0, body: received }),
          none,
        );
        incoming.on('error', none);
      },
    );
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    outgoing.on('error', none);
    outgoing.on('close', () => {
      clearTimeout(timer);
      none();
    });
    outgoing.end(text);
  });
}
