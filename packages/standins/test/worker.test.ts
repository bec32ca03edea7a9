import { expect } from 'chai';
import type { WorkerCommand } from '@bronzeyoke/ports';
import type { TaskSpec } from '@bronzeyoke/types';
import type { WorkerOutput, WorkerModel } from '@bronzeyoke/standins';
import {
  NO_WORKER_FAULTS,
  createWorkerModel,
  nextWorkerAtMs,
  checkpointedWorkMs,
  stepWorker,
} from '@bronzeyoke/standins';

const total = { processorsMilli: 4_000, memoryMb: 8_000, accelerators: 0 };
const reserved = { processorsMilli: 2_000, memoryMb: 1_000, accelerators: 0 };
const id = { jobId: 'j', index: 0 };
const task: TaskSpec = {
  id,
  team: 't',
  workKind: 'k',
  role: 'batch',
  reserved,
  payload: '',
};

function sendCommand(state: WorkerModel, command: WorkerCommand, nowMs: number, incarnation = 1) {
  return stepWorker(state, { kind: 'command', callId: 'c', incarnation, command }, nowMs);
}

function start(leaseMs: number, spec = task): WorkerCommand {
  return { kind: 'start', command: { task: spec, epoch: 1, leaseMs, startWithinMs: 2_000 } };
}

function resultOf(effects: readonly WorkerOutput[]) {
  return effects.find((effect) => effect.kind === 'reply')?.reply.result;
}

const createIdleWorker = () =>
  createWorkerModel(total, () => ({ runMs: 10_000, used: reserved, fails: false }), 1_000);

it('worker model: a checkpoint keeps the work done and a later start resumes it', () => {
  const running = sendCommand(createIdleWorker(), start(60_000), 0).state;
  const throttled = sendCommand(running, { kind: 'throttle', id, share: 0.5 }, 4_000).state;
  const saved = sendCommand(throttled, { kind: 'checkpoint', id }, 6_000);
  const result = resultOf(saved.effects);
  const ref = result?.kind === 'done' ? String(result.value) : '';
  expect(checkpointedWorkMs(ref)).to.equal(5_000);
  const stopped = sendCommand(saved.state, { kind: 'stop', id }, 6_000).state;
  const resumed = sendCommand(stopped, start(60_000, { ...task, checkpointRef: ref }), 7_000).state;
  expect(nextWorkerAtMs(resumed)).to.equal(12_000);
});

// Guards against a task that keeps running while its agent is paused.
it('worker model: a task whose lease is not renewed stops at the end of the lease', () => {
  const running = sendCommand(createIdleWorker(), start(3_000), 0).state;
  const { effects } = stepWorker(running, { kind: 'advance' }, 5_000);
  expect(effects).to.have.length(1);
  expect(effects[0]).to.deep.include({ atMs: 3_000, end: { kind: 'leaseExpired' } });
});

// Guards against a slow worker that starts a task after the command's `startWithinMs`.
it('worker model: a start that comes too late is refused', () => {
  const faults = { ...NO_WORKER_FAULTS, delayMs: 2_500 };
  const slow = stepWorker(createIdleWorker(), { kind: 'faults', faults }, 0).state;
  const waiting = sendCommand(slow, start(60_000), 0).state;
  const { effects } = stepWorker(waiting, { kind: 'advance' }, nextWorkerAtMs(waiting));
  expect(resultOf(effects)).to.deep.equal({ kind: 'refused', problem: 'tooLate' });
});

it('worker model: an older incarnation is refused and changes nothing', () => {
  const running = sendCommand(createIdleWorker(), start(60_000), 0, 2).state;
  const { state, effects } = sendCommand(running, { kind: 'stop', id }, 1, 1);
  expect(resultOf(effects)).to.deep.equal({ kind: 'fenced', incarnation: 2 });
  expect(state.machine.tasks.size).to.equal(1);
});

it('worker model: a lost reply comes after the command took effect', () => {
  const faults = { ...NO_WORKER_FAULTS, losesReplies: true };
  const losing = stepWorker(createIdleWorker(), { kind: 'faults', faults }, 0).state;
  const { state, effects } = sendCommand(losing, start(60_000), 0);
  expect(effects.map((effect) => effect.kind)).to.deep.equal(['taskStarted']);
  expect(state.machine.tasks.size).to.equal(1);
});

it('worker model: usage lags behind a throttle', () => {
  const running = sendCommand(createIdleWorker(), start(60_000), 0).state;
  const throttled = sendCommand(running, { kind: 'throttle', id, share: 0.5 }, 5_000).state;
  const shares = [5_500, 6_500].map((nowMs) => {
    const result = resultOf(sendCommand(throttled, { kind: 'usage' }, nowMs).effects);
    const samples = result?.kind === 'done' ? result.value : [];
    return Array.isArray(samples) ? samples.map((sample) => sample.used.processorsMilli) : [];
  });
  expect(shares).to.deep.equal([[2_000], [1_000]]);
});
