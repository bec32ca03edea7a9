// A TCP proxy that passes, delays nothing, and can go silent or reset.
import { connect, createServer } from 'node:net';
import { listenOn } from './store.mjs';

/** Starts a proxy to an address. In the mode `silent` no byte passes; in `reset` connections are reset. */
export async function startProxy(host, target) {
  const [targetHost, targetPort] = target.split(':');
  const proxy = { mode: 'pass' };
  const pairs = new Set();
  const server = createServer((inbound) => {
    if (proxy.mode === 'reset') {
      inbound.resetAndDestroy();
      return;
    }
    const outbound = connect({ host: targetHost, port: Number(targetPort) });
    const pair = { inbound, outbound };
    pairs.add(pair);
    const forward = (from, to) => {
      from.on('data', (chunk) => {
        if (proxy.mode === 'pass') to.write(chunk);
      });
      from.on('error', () => to.destroy());
      from.on('close', () => {
        // What a cut holds up is lost with the connection; the other end learns of it only without a cut.
        if (proxy.mode !== 'silent') to.destroy();
        pairs.delete(pair);
      });
    };
    forward(inbound, outbound);
    forward(outbound, inbound);
  });
  const port = await listenOn(server, host, 0);
  return Object.assign(proxy, {
    address: `${host}:${port}`,
    setMode: (mode) => {
      proxy.mode = mode;
      // Bytes were dropped, so connections cannot go on after a cut.
      if (mode !== 'silent') {
        [...pairs].forEach(({ inbound, outbound }) => {
          inbound.destroy();
          outbound.destroy();
        });
      }
    },
    close: () => {
      server.close();
      [...pairs].forEach(({ inbound, outbound }) => {
        inbound.destroy();
        outbound.destroy();
      });
    },
  });
}
