import type { HttpReply, HttpServers } from '@bronzeyoke/httpserver';
import { listen } from '@bronzeyoke/httpserver';

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

/** Largest body of a request, none of which is used. */
const MAX_BODY_BYTES = 65_536;

function answer(status: number, contentType: string, body: string): HttpReply {
  return { kind: 'answer', status, headers: { 'content-type': contentType }, body };
}

function replyTo(method: string, path: string | undefined, source: MetricsSource): HttpReply {
  if (method === 'GET' && path === '/metrics') {
    return answer(200, 'text/plain; version=0.0.4; charset=utf-8', source.text());
  }
  if (method === 'GET' && path === '/healthz') {
    const problem = source.notReady();
    return answer(problem === undefined ? 200 : 503, 'text/plain', `${problem ?? 'ok'}\n`);
  }
  return answer(404, 'text/plain', '');
}

/** Serves `/metrics` and `/healthz` within the limits of the process. */
export async function startMetricsServer(
  servers: HttpServers,
  address: { readonly host: string; readonly port: number },
  source: MetricsSource,
): Promise<MetricsServer> {
  const server = servers.create({
    maxBodyBytes: () => MAX_BODY_BYTES,
    onRequest: ({ method, url }, reply) => reply(replyTo(method, url.split('?')[0], source)),
  });
  const port = await listen(server, address.host, address.port);
  return {
    port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
