import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { StateOf } from '@bronzeyoke/chart';
import { assertNever, parseAddress } from '@bronzeyoke/types';
import type { Address } from '@bronzeyoke/types';
import chartFile from './charts/listener.json';
import type { LinkMode } from './types';

const listenerChart = compileChart(chartFile, {
  states: ['listening', 'refusing'],
  events: ['refuse', 'accept'],
  actions: ['close', 'open'],
});

/** A loopback proxy in front of one address. */
export interface Proxy {
  readonly address: string;
  readonly setMode: (mode: LinkMode) => void;
  readonly close: () => void;
}

function parse(text: string): Address {
  const address = parseAddress(text);
  if (address === undefined) throw new RangeError(`${text} is not an address`);
  return address;
}

/**
 * Starts a proxy in front of `target` that listens on `address`. Bytes that a mode holds back are
 * forwarded when the mode ends.
 */
export async function startProxy(target: string, address: string): Promise<Proxy> {
  const { host: targetHost, port: targetPort } = parse(target);
  const { host, port } = parse(address);
  const connections = new Set<readonly [Socket, Socket]>();
  const link: { mode: LinkMode; heldWrites: (() => void)[] } = {
    mode: { kind: 'pass' },
    heldWrites: [],
  };

  const isHeldBack = (isAnswer: boolean): boolean => {
    const { mode } = link;
    switch (mode.kind) {
      case 'pass':
      case 'delay':
      case 'reset':
      case 'refuse':
        return false;
      case 'silent':
        return true;
      case 'oneWay':
        return isAnswer === (mode.lost === 'answers');
      default:
        return assertNever(mode);
    }
  };
  const waitUntilReleased = async (isAnswer: boolean): Promise<void> => {
    if (!isHeldBack(isAnswer)) return;
    await new Promise<void>((resolve) => {
      link.heldWrites.push(resolve);
    });
  };

  /** Forwards one direction of a connection. Bytes keep their order also when the mode changes. */
  const forward = (from: Socket, to: Socket, isAnswer: boolean): void => {
    const direction = { lastWrite: Promise.resolve() };
    from.on('data', (chunk: Buffer) => {
      const { mode } = link;
      if (mode.kind === 'reset' || mode.kind === 'refuse') {
        to.resetAndDestroy();
        return;
      }
      const delay = mode.kind === 'delay' ? sleep(mode.byMs) : undefined;
      direction.lastWrite = direction.lastWrite
        .then(() => delay)
        .then(() => waitUntilReleased(isAnswer))
        .then(() => {
          if (to.writable) to.write(chunk);
        });
    });
  };

  const accept = (inbound: Socket): void => {
    if (link.mode.kind === 'reset') {
      inbound.resetAndDestroy();
      return;
    }
    const outbound = connect(targetPort, targetHost);
    const pair = [inbound, outbound] as const;
    connections.add(pair);
    const end = (): void => {
      connections.delete(pair);
      pair.forEach((socket) => socket.destroy());
    };
    forward(inbound, outbound, false);
    forward(outbound, inbound, true);
    pair.forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
    });
  };
  const open = (): Server => createServer(accept).listen(port, host);
  const listener: { state: StateOf<typeof listenerChart>; server: Server } = {
    state: listenerChart.initial,
    server: open(),
  };
  await once(listener.server, 'listening');

  const sendListener = (event: 'refuse' | 'accept'): void => {
    const next = advance(listenerChart, listener.state, event);
    listener.state = next.state;
    next.actions.forEach((action) => {
      switch (action) {
        case 'close':
          listener.server.close();
          break;
        case 'open':
          listener.server = open();
          break;
        default:
          assertNever(action);
      }
    });
  };
  const endConnections = (): void =>
    [...connections].flat().forEach((socket) => {
      socket.resetAndDestroy();
    });
  return {
    address,
    setMode: (mode) => {
      link.mode = mode;
      sendListener(mode.kind === 'refuse' ? 'refuse' : 'accept');
      if (mode.kind === 'reset' || mode.kind === 'refuse') endConnections();
      if (mode.kind !== 'pass') return;
      const { heldWrites } = link;
      link.heldWrites = [];
      heldWrites.forEach((write) => write());
    },
    close: () => {
      sendListener('refuse');
      endConnections();
    },
  };
}
