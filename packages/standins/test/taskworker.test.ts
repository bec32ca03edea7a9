import { expect } from 'chai';
import type { WorkerCall } from '@bronzeyoke/ports';
import type { TaskWorkerState } from '@bronzeyoke/standins';
import { callTaskWorker, createTaskWorker } from '@bronzeyoke/standins';

const WORK_MS = 10_000;

function send(state: TaskWorkerState, call: WorkerCall, clockMs: number) {
  return callTaskWorker(state, call, clockMs, WORK_MS);
}

function start(attempt: number, fencingToken: number, leaseUntilClockMs: number): WorkerCall {
  return { kind: 'start', task: 't', attempt, fencingToken, payload: '', leaseUntilClockMs };
}

function hold(fencingToken: number): WorkerCall {
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
