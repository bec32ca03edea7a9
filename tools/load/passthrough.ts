import { createServer, request as httpRequest, Agent } from 'node:http';
import type { AddressInfo } from 'node:net';

const pool = new Agent({ keepAlive: true, maxSockets: 64 });

/** Starts the baseline of the load test: a proxy that forwards every request to one port. */
export function startPassthrough(host: string, targetPort: number): Promise<number> {
  const server = createServer((incoming, response) => {
    const outgoing = httpRequest(
      {
        host,
        port: targetPort,
        method: incoming.method,
        path: incoming.url,
        headers: incoming.headers,
        agent: pool,
      },
      (answer) => {
        response.writeHead(answer.statusCode ?? 502, answer.headers);
        answer.pipe(response);
      },
    );
    outgoing.on('error', () => response.destroy());
    incoming.pipe(outgoing);
  });
  return new Promise((resolve) => {
    server.listen(0, host, () => resolve((server.address() as AddressInfo).port));
  });
}
