/** Loopback proxy that can limit the rate of a link, and hold back single connections. */
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** What a proxy does with the bytes of its connections. */
export interface LinkShape {
  /** Bits a second in each direction, shared by all connections; unlimited if absent. */
  readonly mbps?: number;
}

interface Flow {
  readonly from: Socket;
  readonly to: Socket;
  readonly queue: Buffer[];
}

const TURN_MS = 2;

/** Bytes of a connection that may wait at the link, as a small window allows. */
const WINDOW_BYTES = 65_536;
const SEGMENT_BYTES = 1_448;
const BYTES_PER_MBIT = 125_000;
const MS_PER_S = 1_000;

/** A proxy in front of one address. */
export class Proxy {
  private readonly flows: { up: Flow[]; down: Flow[] } = { up: [], down: [] };

  private readonly sockets = new Set<Socket>();

  private readonly target: string;

  shape: LinkShape;

  private lastMs = performance.now();

  private readonly credit = { up: 0, down: 0 };

  private host = '';

  constructor(target: string, shape: LinkShape = {}) {
    this.target = target;
    this.shape = shape;
  }

  /** Starts to listen; resolves with a function that closes everything. */
  async listen(host: string, port: number): Promise<() => void> {
    this.host = host;
    const server = createServer((socket) => this.accept(socket));
    server.listen(port, host);
    await once(server, 'listening');
    const timer = setInterval(() => this.turn(), TURN_MS);
    return () => {
      clearInterval(timer);
      server.close();
      this.sockets.forEach((socket) => socket.destroy());
    };
  }

  private accept(client: Socket): void {
    const [host = '', port] = this.target.split(':');
    const upstream = connect({ host, port: Number(port), localAddress: this.host });
    [client, upstream].forEach((socket) => {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
    });
    const up: Flow = { from: client, to: upstream, queue: [] };
    const down: Flow = { from: upstream, to: client, queue: [] };
    this.flows.up.push(up);
    this.flows.down.push(down);
    [up, down].forEach((flow) => {
      flow.from.on('data', (chunk: Buffer) => {
        for (let at = 0; at < chunk.length; at += SEGMENT_BYTES) {
          flow.queue.push(chunk.subarray(at, at + SEGMENT_BYTES));
        }
        if (flow.queue.length * SEGMENT_BYTES > WINDOW_BYTES) flow.from.pause();
      });
      flow.from.on('close', () => {
        this.sockets.delete(flow.from);
        if (flow.queue.length === 0) flow.to.destroy();
      });
    });
  }

  /** Passes segments on, one of each connection in turn, as far as the rate allows. */
  private turn(): void {
    const nowMs = performance.now();
    const { mbps = Infinity } = this.shape;
    const added = (mbps * BYTES_PER_MBIT * (nowMs - this.lastMs)) / MS_PER_S;
    this.lastMs = nowMs;
    (['up', 'down'] as const).forEach((way) => {
      this.credit[way] = Math.min(this.credit[way] + added, Math.max(added, SEGMENT_BYTES));
      let busy = this.flows[way].filter(({ queue }) => queue.length > 0);
      while (busy.length > 0 && this.credit[way] > 0) {
        busy.forEach((flow) => {
          const segment = this.credit[way] > 0 ? flow.queue.shift() : undefined;
          if (segment === undefined) return;
          this.credit[way] -= segment.length;
          if (!flow.to.destroyed) flow.to.write(segment);
          if (flow.queue.length * SEGMENT_BYTES <= WINDOW_BYTES / 2) flow.from.resume();
        });
        busy = busy.filter(({ queue }) => queue.length > 0);
      }
      this.flows[way] = this.flows[way].filter(({ from, to, queue }) => {
        const isOver = from.destroyed && queue.length === 0;
        if (isOver) to.destroy();
        return !isOver;
      });
    });
  }
}
