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

/** Starts a proxy on a free port. Bytes that a mode holds up are delivered when it ends. */
export async function startProxy(target: string): Promise<Proxy> {
  const [host = '', port = ''] = target.split(':');
  const pairs = new Set<readonly [Socket, Socket]>();
  const link: { mode: LinkMode; held: (() => void)[] } = { mode: { kind: 'pass' }, held: [] };

  const deliver = (to: Socket, chunk: Buffer, isAnswer: boolean): void => {
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
        link.held.push(write);
        break;
      case 'oneWay':
        if (isAnswer) link.held.push(write);
        else write();
        break;
      case 'reset':
        to.resetAndDestroy();
        break;
      default:
        assertNever(mode);
    }
  };

  const server = createServer((near) => {
    if (link.mode.kind === 'reset') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(Number(port), host);
    const pair = [near, far] as const;
    pairs.add(pair);
    const end = (): void => {
      pairs.delete(pair);
      pair.forEach((socket) => socket.destroy());
    };
    near.on('data', (chunk: Buffer) => deliver(far, chunk, false));
    far.on('data', (chunk: Buffer) => deliver(near, chunk, true));
    pair.forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port: ownPort } = server.address() as AddressInfo;
  const resetAll = (): void =>
    [...pairs].flat().forEach((socket) => {
      socket.resetAndDestroy();
    });
  return {
    address: `127.0.0.1:${ownPort}`,
    setMode: (mode) => {
      link.mode = mode;
      if (mode.kind === 'reset') resetAll();
      if (mode.kind !== 'pass') return;
      const { held } = link;
      link.held = [];
      held.forEach((write) => write());
    },
    close: () => {
      server.close();
      resetAll();
    },
  };
}
