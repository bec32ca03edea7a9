import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Handler of the requests to a stand-in. */
export interface RequestHandler {
  readonly respond: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  /** Ends a request whose handling has failed. */
  readonly onFailure: (response: ServerResponse) => void;
}

/** A server that listens. */
export interface ListeningServer {
  readonly port: number;
  /** Closes the server with its open connections. */
  readonly close: () => Promise<void>;
}

/** Starts a server. Port 0 stands for any free one. */
export async function listen(
  { respond, onFailure }: RequestHandler,
  host: string,
  port: number,
): Promise<ListeningServer> {
  const server = createServer((request, response) => {
    respond(request, response).catch(() => onFailure(response));
  });
  server.listen(port, host);
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    close: async () => {
      server.close();
      server.closeAllConnections();
      await once(server, 'close');
    },
  };
}

/** Refuses a request that cannot be read. */
export function refuseRequest(response: ServerResponse): void {
  response.writeHead(400).end();
}
