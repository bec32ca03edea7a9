import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import * as nact from 'nact';
import { dispatch, spawnCore } from '@bronzeyoke/actors';
import { createAgentLinks } from '@bronzeyoke/hosts';
import type { SchedulerEvent } from '@bronzeyoke/scheduler';

const AGENTS = 10;
const EVENTS = 400;
const EVENT_MS = 2;

/** Blocks the event loop, like an event that takes long. */
function block(forMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
}

// Guards against a busy leader that accepts a handful of connections a second, because Node.js accepts
// one in a turn of the event loop, and each turn is filled with other events.
it('agentlinks: a busy scheduler leaves its turn early while agents connect', async () => {
  const system = nact.start();
  const seen = { handled: 0 };
  const links = createAgentLinks(system, () => undefined);
  const scheduler = spawnCore<number, SchedulerEvent, never>(system, {
    name: 'busy',
    initial: 0,
    decide: (state) => {
      block(EVENT_MS);
      seen.handled += 1;
      return { state, effects: [] };
    },
    perform: () => undefined,
    onError: () => undefined,
    maxBatchMs: links.beginBatch,
  });
  const handledAtAccept: number[] = [];
  const server = createServer((socket) => {
    handledAtAccept.push(seen.handled);
    links.accept(socket, scheduler);
    if (handledAtAccept.length === AGENTS) server.emit('allAccepted');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  Array.from({ length: EVENTS }).forEach(() =>
    dispatch(scheduler, { kind: 'tick', wallMs: Date.now() }),
  );
  const allAccepted = once(server, 'allAccepted');
  const sockets = Array.from({ length: AGENTS }, () => connect(port, '127.0.0.1'));
  await allAccepted;
  sockets.forEach((socket) => socket.destroy());
  server.close();
  const [first = 0] = handledAtAccept;
  expect((handledAtAccept.at(-1) ?? EVENTS) - first).to.be.lessThan(5 * AGENTS);
});
