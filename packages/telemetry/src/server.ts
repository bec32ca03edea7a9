import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Metrics and readiness of a process, as the metrics server exposes them. */
export interface MetricsSource {
  readonly text: () => string;
  /** Returns the reason why the process is not ready for work, if any. */
  readonly notReady: () => string | undefined;
}

/** Running metrics server. */
export interface MetricsServer {
  readonly port: number;
  readonly close: () => void;
}

const HEADERS_TIMEOUT_MS = 10_000;

/** Serves `/metrics` and `/healthz`. */
export async function startMetricsServer(
  address: { readonly host: string; readonly port: number },
  source: MetricsSource,
): Promise<MetricsServer> {
  const server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS }, (request, response) => {
    const path = (request.url ?? '').split('?')[0];
    request.resume();
    if (request.method !== 'GET' || (path !== '/metrics' && path !== '/healthz')) {
      response.writeHead(404).end();
    } else if (path === '/metrics') {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' });
      response.end(source.text());
    } else {
      const problem = source.notReady();
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
