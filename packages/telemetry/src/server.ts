import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** What the metrics server shows. */
export interface MetricsSource {
  readonly text: () => string;
  /** Why the process takes no work, if it does not. */
  readonly notReady: () => string | undefined;
}

/** A running metrics server. */
export interface MetricsServer {
  readonly port: number;
  readonly close: () => void;
}

const HEAD_TIMEOUT_MS = 10_000;

/** Serves `/metrics` and `/healthz`. */
export async function startMetricsServer(
  address: { readonly host: string; readonly port: number },
  monitored: MetricsSource,
): Promise<MetricsServer> {
  const server = createServer({ headersTimeout: HEAD_TIMEOUT_MS }, (request, response) => {
    const path = (request.url ?? '').split('?')[0];
    request.resume();
    if (request.method !== 'GET' || (path !== '/metrics' && path !== '/healthz')) {
      response.writeHead(404).end();
    } else if (path === '/metrics') {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' });
      response.end(monitored.text());
    } else {
      const problem = monitored.notReady();
      response.writeHead(problem === undefined ? 200 : 503, { 'content-type': 'text/plain' });
      response.end(`${problem ?? 'ok'}\n`);
    }
  });
  server.listen(address.port, address.host);
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
