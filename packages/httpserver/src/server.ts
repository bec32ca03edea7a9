import { once } from 'node:events';
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import type { BodyBuffer } from '@bronzeyoke/decoding';
import { EMPTY_BODY, appendChunk, bytesOf, neededBytes } from '@bronzeyoke/decoding';
import { assertNever } from '@bronzeyoke/types';
import type { ExchangeState } from './chart';
import type { HttpLimits } from './limits';
import type { PieceFeed } from './pieces';
import { feedInPieces } from './pieces';
import type { RefusalBody } from './refusal';
import { describeRefusal, encodeRefusal, refusalOfError } from './refusal';
import { NO_CONNECTIONS, stepHttp } from './step';
import type { BodyFraming, CloseCause, HttpEffect, HttpEvent, Refusal } from './types';

const TICK_MS = 250;

/** Phases in which a connection may send another request. */
const TAKING_PHASES: ReadonlySet<ExchangeState> = new Set(['head', 'body', 'ended']);

/** A request that is complete. */
export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Reply to a request. `cut` closes the connection without an answer. */
export type HttpReply =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: string | Uint8Array;
    }
  | { readonly kind: 'cut' };

/** Sends the reply to one request. */
export type SendReply = (reply: HttpReply) => void;

/** Options of one server of a process. */
export interface ServerOptions {
  /** Largest body that this server takes at the moment. */
  readonly maxBodyBytes: () => number;
  readonly onRequest: (request: ReceivedRequest, reply: SendReply) => void;
  readonly describe?: (refusal: Refusal) => RefusalBody;
  /** Called for each refused request of this server. */
  readonly onRefused?: (refusal: Refusal) => void;
}

/** What the servers report. Every refusal is reported, and closes for want of room. */
export type HttpReport =
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'closed'; readonly cause: CloseCause };

/** The HTTP servers of a process, which share their limits. */
export interface HttpServers {
  /** Returns a server that does not listen yet. */
  readonly create: (options: ServerOptions) => Server;
}

interface Peer {
  readonly id: number;
  readonly socket: Socket;
  readonly feed: PieceFeed;
  readonly options: ServerOptions;
}

/** The request that a connection is sending. */
interface Message {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: BodyBuffer;
}

function framingOf(headers: IncomingHttpHeaders): BodyFraming {
  if (headers['transfer-encoding'] === undefined) {
    return { kind: 'announced', lengthBytes: Number(headers['content-length'] ?? 0) };
  }
  return { kind: headers.trailer === undefined ? 'chunked' : 'chunkedWithTrailer' };
}

/**
 * Creates the owner of all connections to the HTTP servers of a process. It decides each event in the
 * callback that brings it, so that no bytes wait in a mailbox beyond the limits.
 */
export function createHttpServers(
  limits: HttpLimits,
  report: (event: HttpReport) => void,
): HttpServers {
  const current = { state: NO_CONNECTIONS, lastId: 0 };
  const peers = new Map<number, Peer>();
  const idsBySocket = new WeakMap<object, number>();
  const messages = new Map<number, Message>();
  /** Pipelined requests that follow the one being read. */
  const waiting = new Map<number, readonly Message[]>();
  let send: (event: HttpEvent) => void = () => undefined;

  const reply = (id: number, { response }: Message, sent: HttpReply): void => {
    switch (sent.kind) {
      case 'answer': {
        const { status, headers, body } = sent;
        const bytes = Buffer.byteLength(body);
        // The response closes when the kernel has taken all of it, or with its connection.
        response.once('close', () => send({ kind: 'answered', id, bytes }));
        response.writeHead(status, { ...headers, 'content-length': bytes });
        response.end(body);
        send({ kind: 'answering', id, bytes });
        return;
      }
      case 'cut':
        response.destroy();
        return;
      default:
        assertNever(sent);
    }
  };

  const receive = (id: number, incoming: IncomingMessage, chunk: Buffer): void => {
    const message = messages.get(id);
    const limitBytes = current.state.connections.get(id)?.maxBodyBytes;
    if (message?.incoming !== incoming || limitBytes === undefined) return;
    const sizeBytes = neededBytes(message.body, chunk.length, limitBytes);
    if (sizeBytes > message.body.buffer.length) send({ kind: 'grown', id, bytes: sizeBytes });
    // The request may have been refused.
    if (messages.get(id) !== message) return;
    messages.set(id, { ...message, body: appendChunk(message.body, chunk, sizeBytes) });
  };

  const begin = (id: number, message: Message): void => {
    const maxBodyBytes = peers.get(id)?.options.maxBodyBytes() ?? 0;
    const { rawHeaders, headers } = message.incoming;
    messages.set(id, message);
    const fields = rawHeaders.length / 2;
    send({ kind: 'head', id, fields, framing: framingOf(headers), maxBodyBytes });
  };

  const beginNext = (id: number): void => {
    const [next, ...others] = waiting.get(id) ?? [];
    waiting.set(id, others);
    if (next !== undefined) begin(id, next);
  };

  /** Reads on without parsing, so that the answer is not lost in a reset. */
  const discard = ({ id, feed }: Peer): void => {
    messages.get(id)?.incoming.resume();
    messages.delete(id);
    waiting.delete(id);
    feed.mute();
  };

  const perform = (effect: HttpEffect): void => {
    const { id } = effect;
    const peer = peers.get(id);
    const message = messages.get(id);
    if (peer === undefined) return;
    switch (effect.kind) {
      case 'read':
        if (message === undefined) return;
        if (message.incoming.headers.expect !== undefined) message.response.writeContinue();
        message.incoming.on('data', (chunk: Buffer) => receive(id, message.incoming, chunk));
        message.incoming.once('end', () => {
          if (messages.get(id)?.incoming === message.incoming) send({ kind: 'ended', id });
        });
        return;
      case 'handOn': {
        if (message === undefined) return;
        messages.delete(id);
        const { method = 'GET', url = '/', headers } = message.incoming;
        const request = { method, url, headers, body: bytesOf(message.body) };
        peer.options.onRequest(request, (sent) => reply(id, message, sent));
        beginNext(id);
        return;
      }
      case 'discard':
        discard(peer);
        return;
      case 'refuse': {
        const describe = peer.options.describe ?? describeRefusal;
        discard(peer);
        report({ kind: 'refused', refusal: effect.refusal });
        peer.options.onRefused?.(effect.refusal);
        peer.socket.end(encodeRefusal(effect.refusal, describe(effect.refusal)));
        return;
      }
      case 'close':
        messages.delete(id);
        report({ kind: 'closed', cause: effect.cause });
        peer.socket.destroy();
        return;
      default:
        assertNever(effect);
    }
  };

  send = (event) => {
    const step = stepHttp(current.state, event, { limits, nowMs: performance.now() });
    current.state = step.state;
    step.effects.forEach(perform);
  };

  const accept = (socket: Socket, options: ServerOptions): void => {
    current.lastId += 1;
    const id = current.lastId;
    peers.set(id, { id, socket, feed: feedInPieces(socket), options });
    idsBySocket.set(socket, id);
    socket.once('close', () => {
      send({ kind: 'closed', id });
      peers.delete(id);
      messages.delete(id);
      waiting.delete(id);
    });
    send({ kind: 'opened', id, address: socket.remoteAddress ?? '' });
  };

  const take = (incoming: IncomingMessage, response: ServerResponse): void => {
    const id = idsBySocket.get(incoming.socket);
    const phase = id === undefined ? undefined : current.state.connections.get(id)?.phase;
    if (id === undefined || phase === undefined || !TAKING_PHASES.has(phase)) return;
    incoming.on('error', () => undefined);
    response.on('error', () => undefined);
    const message = { incoming, response, body: EMPTY_BODY };
    if (!messages.has(id)) {
      begin(id, message);
      return;
    }
    // The parser hands on several requests in one turn, before the end of the first is told.
    const others = waiting.get(id) ?? [];
    if (others.length >= limits.maxUnanswered) {
      send({ kind: 'failed', id, refusal: 'tooManyUnanswered' });
      return;
    }
    waiting.set(id, [...others, message]);
  };

  setInterval(() => send({ kind: 'tick' }), TICK_MS).unref();

  return {
    create: (options) => {
      const { headTimeoutMs, bodyTimeoutMs, idleTimeoutMs, maxHeadBytes, maxHeadFields } = limits;
      const server = createServer({
        maxHeaderSize: maxHeadBytes,
        headersTimeout: headTimeoutMs,
        requestTimeout: headTimeoutMs + bodyTimeoutMs,
        keepAliveTimeout: idleTimeoutMs,
      });
      // Node.js leaves out further fields without an error, so one more is taken, and then refused.
      server.maxHeadersCount = maxHeadFields + 1;
      server.on('request', take);
      server.on('checkContinue', take);
      server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
        const id = idsBySocket.get(socket);
        const refusal = refusalOfError(error.code);
        if (id === undefined || refusal === undefined || !socket.writable) {
          socket.destroy();
          return;
        }
        send({ kind: 'failed', id, refusal });
      });
      server.on('connection', (socket) => accept(socket, options));
      return server;
    },
  };
}

/** Starts to listen, and returns the port. Port 0 takes any free one. */
export async function listen(server: Server, host: string, port: number): Promise<number> {
  server.listen(port, host);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}
