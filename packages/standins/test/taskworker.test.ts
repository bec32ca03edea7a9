import { expect } from 'chai';
import type { WorkerCall } from '@bronzeyoke/ports';
import type { TaskWorkerState } from '@bronzeyoke/standins';
import { advanceTaskWorker, callTaskWorker, createTaskWorker } from '@bronzeyoke/standins';

const WORK_MS = 10_000;

function send(state: TaskWorkerState, call: WorkerCall, clockMs: number) {
  return callTaskWorker(state, call, clockMs, WORK_MS);
}

function start(attempt: number, fencingToken: number, leaseUntilClockMs: number): WorkerCall {
  return { kind: 'start', task: 't', attempt, fencingToken, payload: '', leaseUntilClockMs };
}

function hold(fencingToken: number): Extract<WorkerCall, { readonly kind: 'hold' }> {
  return { kind: 'hold', fencingToken, ackSequence: 0, waitMs: 0 };
}

const runSecondAttempt = () => send(createTaskWorker(0), start(2, 1, 2_000), 0).state;

// Guards against a worker that accepts an old agent's calls after a superseded start of its successor.
it('task worker: a superseded start raises the fencing token', () => {
  const refused = send(runSecondAttempt(), start(1, 5, 2_000), 100);
  expect(refused.result).to.include({ kind: 'refused', reason: 'superseded' });
  expect(send(refused.state, hold(4), 200).result).to.include({ reason: 'fenced' });
});

// Guards against a worker that accepts an old agent's calls after a late start of its successor.
it('task worker: a start that is too late raises the fencing token', () => {
  const refused = send(createTaskWorker(0), start(1, 5, 1_000), 1_500);
  expect(refused.result).to.include({ kind: 'refused', reason: 'tooLate' });
  expect(send(refused.state, hold(4), 1_600).result).to.include({ reason: 'fenced' });
});

// Guards against runs that expire although a refused start carried a longer lease.
it('task worker: a superseded start extends the lease', () => {
  const refused = send(runSecondAttempt(), start(1, 1, 6_000), 100);
  expect(refused.result).to.include({ kind: 'refused', reason: 'superseded' });
  expect(send(refused.state, hold(1), 3_000).result).to.deep.include({ ended: [] });
});

// Guards against a refused start that takes time away from the lease of the other runs.
it('task worker: a refused start never shortens the lease', () => {
  const refused = send(runSecondAttempt(), start(1, 1, 500), 100);
  expect(refused.result).to.include({ kind: 'refused', reason: 'superseded' });
  expect(send(refused.state, hold(1), 1_900).result).to.deep.include({ ended: [] });
});

// Guards against a call with a lower token that changes the lease or the token.
it('task worker: a fenced start changes neither the token nor the lease', () => {
  const { state } = send(createTaskWorker(0), start(1, 5, 2_000), 0);
  const refused = send(state, start(2, 4, 9_000), 100);
  expect(refused.result).to.include({ kind: 'refused', reason: 'fenced' });
  expect(refused.state).to.include({ fencingToken: 5, leaseUntilMs: 2_000 });
});

// Guards against models in which a lease from an earlier instance's clock outlasts the longest one.
it('task worker: a longer lease is shortened to the longest one', () => {
  const started = send(createTaskWorker(0, 3_000), start(1, 1, 60_000), 500);
  expect(started.state.leaseUntilMs).to.equal(3_500);
  const lease = { leaseUntilClockMs: 60_000, ackSequence: 0, waitMs: 0 };
  const held = send(started.state, { kind: 'hold', fencingToken: 1, ...lease }, 1_000);
  expect(held.state.leaseUntilMs).to.equal(4_000);
});

// Guards against a lease whose end is not told because nothing ran under it, or is told again and again.
it('task worker: a lease lapses once, with nothing running', () => {
  const { state } = send(createTaskWorker(0), { ...hold(1), leaseUntilClockMs: 2_000 }, 0);
  expect(advanceTaskWorker(state, 1_999).lastLapseMs).to.equal(0);
  const lapsed = advanceTaskWorker(state, 2_020);
  expect(lapsed.lastLapseMs).to.equal(2_000);
  expect(advanceTaskWorker(lapsed, 2_040)).to.equal(lapsed);
});

// Guards against a lapse that goes unseen because the call that extends the lease comes first.
it('task worker: a call does not prolong a lease that is over', () => {
  const { state } = send(createTaskWorker(0), { ...hold(1), leaseUntilClockMs: 2_000 }, 0);
  const renewed = send(state, { ...hold(1), leaseUntilClockMs: 5_000 }, 2_010).state;
  expect(renewed).to.include({ lastLapseMs: 2_000, leaseUntilMs: 5_000 });
});

// Guards against a lapse that is told of a worker that no call has given a lease.
it('task worker: a lease that was never granted does not lapse', () => {
  const idle = advanceTaskWorker(createTaskWorker(0), 9_000);
  const refused = send(idle, start(1, 1, 8_000), 9_000).state;
  expect(advanceTaskWorker(refused, 9_020).lastLapseMs).to.equal(0);
});
