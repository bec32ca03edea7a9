import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import * as nact from 'nact';
import type { Context } from '@bronzeyoke/actors';
import { dispatch, spawn } from '@bronzeyoke/actors';

/** Longer than an actor may use of one turn of the event loop. */
const LONG_MS = 60;

/** Blocks the event loop, like a decision that takes long. */
function block(forMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
}

// Guards against a busy actor that keeps the event loop from accepting connections until its mailbox is
// empty.
it('actor: other work gets a turn between two long messages', async () => {
  const seen: string[] = [];
  const handle = (state: number, message: string): number => {
    seen.push(message);
    if (message === 'first') setImmediate(() => setImmediate(() => seen.push('other')));
    block(LONG_MS);
    return state;
  };
  const actor = spawn<number, string>(nact.start(), handle, undefined, { initialState: 0 });
  ['first', 'second', 'third', 'fourth'].forEach((message) => dispatch(actor, message));
  await sleep(10 * LONG_MS);
  expect(seen.indexOf('other')).to.be.within(1, 3);
});

// Guards against messages that change their order when a batch ends before the mailbox is empty.
it('actor: messages keep their order over several turns', async () => {
  const seen: number[] = [];
  const handle = (state: number, message: number, context: Context<number>): number => {
    seen.push(message);
    if (message < 3) dispatch(context.self, message + 10);
    block(LONG_MS);
    return state;
  };
  const actor = spawn<number, number>(nact.start(), handle, undefined, { initialState: 0 });
  [1, 2, 3, 4].forEach((message) => dispatch(actor, message));
  await sleep(20 * LONG_MS);
  expect(seen).to.deep.equal([1, 2, 3, 4, 11, 12]);
});
