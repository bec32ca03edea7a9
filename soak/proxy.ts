import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { assertNever } from '@bronzeyoke/types';
import type { LinkMode } from './types';

/** A loopback proxy in front of one address. */
export interface Proxy {
  readonly address: string;
  readonly setMode: (mode: LinkMode) => void;
  readonly close: () => void;
}

/** Starts a proxy on a free port. Bytes that a mode holds back are forwarded when the mode ends. */
export async function startProxy(target: string): Promise<Proxy> {
  const [host = '', port = ''] = target.split(':');
  const connections = new Set<readonly [Socket, Socket]>();
  const link: { mode: LinkMode; heldWrites: (() => void)[] } = {
    mode: { kind: 'pass' },
    heldWrites: [],
  };

  const forward = (to: Socket, chunk: Buffer, isAnswer: boolean): void => {
    const write = (): void => {
      if (to.writable) to.write(chunk);
    };
    const { mode } = link;
    switch (mode.kind) {
      case 'pass':
        write();
        break;
      case 'delay':
        setTimeout(write, mode.byMs);
        break;
      case 'silent':
        link.heldWrites.push(write);
        break;
      case 'oneWay':
        if (isAnswer) link.heldWrites.push(write);
        else write();
        break;
      case 'reset':
        to.resetAndDestroy();
        break;
      default:
        assertNever(mode);
    }
  };

  const server = createServer((inbound) => {
    if (link.mode.kind === 'reset') {
      inbound.resetAndDestroy();
      return;
    }
    const outbound = connect(Number(port), host);
    const pair = [inbound, outbound] as const;
    connections.add(pair);
    const end = (): void => {
      connections.delete(pair);
      pair.forEach((socket) => socket.destroy());
    };
    inbound.on('data', (chunk: Buffer) => forward(outbound, chunk, false));
    outbound.on('data', (chunk: Buffer) => forward(inbound, chunk, true));
    pair.forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port: ownPort } = server.address() as AddressInfo;
  const resetConnections = (): void =>
    [...connections].flat().forEach((socket) => {
      socket.resetAndDestroy();
    });
  return {
    address: `127.0.0.1:${ownPort}`,
    setMode: (mode) => {
      link.mode = mode;
      if (mode.kind === 'reset') resetConnections();
      if (mode.kind !== 'pass') return;
      const { heldWrites } = link;
      link.heldWrites = [];
      heldWrites.forEach((write) => write());
    },
    close: () => {
      server.close();
      resetConnections();
    },
  };
}
