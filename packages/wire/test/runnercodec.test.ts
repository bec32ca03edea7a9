import { expect } from 'chai';
import * as fc from 'fast-check';
import type { LinkCodec, RunnerMessage, TaggedMessage } from '@bronzeyoke/wire';
import { AGENT_CODEC, encodeFrame, ENTRY_CODEC } from '@bronzeyoke/wire';

type Report = Extract<RunnerMessage, { readonly kind: 'report' }>;

const LENGTH_BYTES = 4;

const REPORT: Report = {
  kind: 'report',
  agentId: 'agent-1',
  term: 3,
  workerKey: 'i-7f3a91c2@1771783254000',
  worker: {
    id: 'i-7f3a91c2',
    address: '10.128.0.9:8080',
    bornAtMs: 1_771_783_254_000,
    service: 'quoter',
    domain: 'hobart',
    version: 'v1',
    isDraining: false,
    capacity: { processorsMilli: 64_000, memoryMb: 256_000, accelerators: 0 },
    labels: ['a', 'r1-3'],
    rack: 'r1-3',
    sequence: 4,
  },
  clockMs: 482_113,
  running: [],
  ended: [],
  pending: [],
  lastOrder: 3,
};

/** Sends messages over one connection; returns what arrives and the size of each frame. */
function transfer(
  sender: LinkCodec<unknown>,
  receiver: LinkCodec<unknown>,
  messages: readonly TaggedMessage[],
): { readonly arrived: readonly unknown[]; readonly bytes: readonly number[] } {
  return messages.reduce<{
    readonly sender: LinkCodec<unknown>;
    readonly receiver: LinkCodec<unknown>;
    readonly arrived: readonly unknown[];
    readonly bytes: readonly number[];
  }>(
    (current, sent) => {
      const { frame, next } = current.sender.encode(sent);
      const received = current.receiver.decode(frame.subarray(LENGTH_BYTES));
      if (!received.ok) throw new Error(received.failure.kind);
      const { decoded, next: nextReceiver } = received.value;
      return {
        sender: next,
        receiver: nextReceiver,
        arrived: [...current.arrived, decoded.kind === 'message' ? decoded.message : decoded],
        bytes: [...current.bytes, frame.length],
      };
    },
    { sender, receiver, arrived: [], bytes: [] },
  );
}

const run = fc.record({
  task: fc.constantFrom('job1.0.0.0', 'job1.0.0.1', 'job2.0.0.0', 'job2.0.1.7'),
  attempt: fc.integer({ min: 1, max: 3 }),
  checkpoint: fc.constantFrom('', '00000bb87a21d94b', '00000bb87a21d94c'),
  percent: fc.nat(3),
  load: fc.nat(3),
});

const end = fc.record({
  sequence: fc.nat(9),
  task: fc.constant('job1.0.0.0'),
  attempt: fc.constant(1),
  end: fc.constantFrom('done' as const, 'failed' as const),
  checkpoint: fc.constant(''),
});

const report = fc
  .record({
    workerKey: fc.constantFrom(REPORT.workerKey, 'i-2@5'),
    isDraining: fc.boolean(),
    clockMs: fc.nat(1_000),
    running: fc.uniqueArray(run, {
      selector: ({ task, attempt }) => `${task}#${attempt}`,
      maxLength: 6,
    }),
    ended: fc.array(end, { maxLength: 2 }),
    pending: fc.array(fc.record({ task: fc.constant('job1.0.0.9'), attempt: fc.constant(1) }), {
      maxLength: 2,
    }),
    lastOrder: fc.nat(5),
  })
  .map(({ isDraining, ...fields }): Report => ({
    ...REPORT,
    ...fields,
    worker: { ...REPORT.worker, isDraining },
  }));

/** Returns a report of a worker with many runs whose load changes with the clock. */
function busyReport(runCount: number, clockMs: number, changedRuns: number): Report {
  const running = Array.from({ length: runCount }, (_, index) => ({
    task: `5c0e7a21d94b36f8.0.1.${index}`,
    attempt: 1,
    checkpoint: '00000bb87a21d94b',
    percent: 41,
    load: index < changedRuns ? clockMs : 7_000,
  }));
  return { ...REPORT, clockMs, running };
}

function startOrder(payload: string, index: number): TaggedMessage {
  const ref = { task: `5c0e7a21d94b36f8.0.1.${index}`, attempt: 1 };
  const order = { kind: 'start', workerKey: REPORT.workerKey, order: index, run: ref, payload };
  return order;
}

// Guards against a leader that sees other runs than the agent has listed.
it('runnercodec: reports arrive as they were sent', () => {
  fc.assert(
    fc.property(fc.array(report, { minLength: 1, maxLength: 8 }), (reports) => {
      const { arrived } = transfer(AGENT_CODEC, ENTRY_CODEC, reports);
      expect(arrived).to.deep.equal(reports);
    }),
    { seed: 1, numRuns: 300 },
  );
});

// Guards against reports whose size grows with all runs of a worker instead of those that changed.
it('runnercodec: an unchanged run takes at most 3 bytes in a report', () => {
  const reports = [busyReport(200, 1, 0), busyReport(200, 2, 0), busyReport(200, 3, 0)];
  const { bytes } = transfer(AGENT_CODEC, ENTRY_CODEC, reports);
  expect(bytes[2]).to.be.lessThan(100 + 200 * 3);
});

// Guards against a payload of several KB for every task of a job.
it('runnercodec: a connection carries the payload of a job once', () => {
  const payload = 'x'.repeat(4_000);
  const orders = [0, 1, 2].map((index) => startOrder(payload, index));
  const { arrived, bytes } = transfer(ENTRY_CODEC, AGENT_CODEC, orders);
  expect(arrived).to.deep.equal(orders);
  expect(bytes[0]).to.be.greaterThan(4_000);
  expect(Math.max(...bytes.slice(1))).to.be.lessThan(200);
});

// Guards against two ends that forget different payloads.
it('runnercodec: orders of many jobs arrive with their payloads', () => {
  const jobs = Array.from({ length: 200 }, (_, index) => `payload of job number ${index}`);
  const orders = [...jobs, ...jobs.slice(100), ...jobs].map(startOrder);
  const { arrived } = transfer(ENTRY_CODEC, AGENT_CODEC, orders);
  expect(arrived).to.deep.equal(orders);
});

// Guards against a peer whose references make the receiver use something it does not have.
it('runnercodec: references to what was never sent are refused', () => {
  const order = { ...startOrder('', 1), kind: 'sharedStart', payloadNumber: 5 };
  const change = { kind: 'reportChange', term: 1, clockMs: 1, lastOrder: 0, running: [7] };
  const known = ENTRY_CODEC.decode(encodeFrame(REPORT).subarray(LENGTH_BYTES));
  if (!known.ok) throw new Error(known.failure.kind);
  const payloadOf = (value: TaggedMessage): Uint8Array => encodeFrame(value).subarray(LENGTH_BYTES);
  expect(AGENT_CODEC.decode(payloadOf(order)).ok).to.equal(false);
  expect(ENTRY_CODEC.decode(payloadOf(change)).ok).to.equal(false);
  expect(known.value.next.decode(payloadOf(change)).ok).to.equal(false);
});
