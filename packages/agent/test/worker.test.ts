import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect } from 'chai';
import { createHttpWorker } from '@bronzeyoke/adapters';
import type { AgentOptions } from '@bronzeyoke/agent';
import { startAgent } from '@bronzeyoke/agent';
import type { StandinWorker } from '@bronzeyoke/standins';
import {
  NO_WORKER_FAULTS,
  createWorkerModel,
  startWorker,
  behaviourFromPayload,
} from '@bronzeyoke/standins';
import { FailureError } from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage, FrameBuffer } from '@bronzeyoke/wire';
import { EMPTY_FRAME_BUFFER, decodeAgentMessage, encodeFrame, splitFrames } from '@bronzeyoke/wire';

const HOST = '127.0.0.1';
const total = { processorsMilli: 4_000, memoryMb: 4_000, accelerators: 0 };
const reserved = { processorsMilli: 1_000, memoryMb: 1_000, accelerators: 0 };

/** An entry that grants registrations and renewals, and sends further messages as a test requires. */
interface FakeEntry {
  readonly port: number;
  readonly send: (message: EntryMessage) => void;
  readonly until: <Found>(find: (message: AgentMessage) => Found | undefined) => Promise<Found>;
  readonly close: () => Promise<void>;
}

async function startFakeEntry(firstIncarnation: number): Promise<FakeEntry> {
  const received: AgentMessage[] = [];
  const sockets = new Set<Socket>();
  const waiting = new Set<() => void>();
  let incarnation = firstIncarnation;
  const send = (message: EntryMessage): void => {
    sockets.forEach((socket) => socket.write(encodeFrame(message)));
  };
  const onMessage = (message: AgentMessage): void => {
    received.push(message);
    if (message.kind === 'registerWorker') {
      send({ kind: 'workerRegistered', token: message.token, incarnation });
      incarnation += 1;
    }
    if (message.kind === 'renewWorker') send({ kind: 'workerRenewed', token: message.token });
    waiting.forEach((check) => check());
  };
  const server = createServer((socket) => {
    let buffered: FrameBuffer = EMPTY_FRAME_BUFFER;
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      const split = splitFrames(buffered, chunk);
      if (!split.ok) throw new FailureError(split.failure);
      buffered = split.value.rest;
      split.value.payloads.map(decodeAgentMessage).forEach((result) => {
        if (!result.ok) throw new FailureError(result.failure);
        if (result.value.kind === 'message') onMessage(result.value.message);
      });
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  return {
    port: (server.address() as AddressInfo).port,
    send,
    until: (find) =>
      new Promise((resolve) => {
        const check = (): void => {
          const found = received.map(find).find((candidate) => candidate !== undefined);
          if (found === undefined) return;
          waiting.delete(check);
          resolve(found);
        };
        waiting.add(check);
        check();
      }),
    close: async () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
      await once(server, 'close');
    },
  };
}

function optionsFor(entry: FakeEntry, worker: StandinWorker): AgentOptions {
  return {
    profile: {
      worker: 'w1',
      domain: 'hobart',
      region: 'tasmania',
      rack: 'r1',
      service: 'quoter',
      slots: 8,
      connections: 64,
      total,
    },
    entries: [{ host: HOST, port: entry.port }],
    upstream: { call: () => Promise.resolve({ kind: 'notReached' }) },
    worker: createHttpWorker({ host: HOST, port: worker.port }),
    onError: (error) => {
      throw error;
    },
  };
}

function newWorker(): Promise<StandinWorker> {
  return startWorker(HOST, 0, createWorkerModel(total, behaviourFromPayload, 50));
}

function waitForHello(entry: FakeEntry, incarnation: number): Promise<true> {
  return entry.until((message) =>
    message.kind === 'hello' && message.incarnation === incarnation ? true : undefined,
  );
}

function waitForReport(entry: FakeEntry, jobId: string, kind: string) {
  return entry.until((message) =>
    message.kind === 'taskReport' && message.id.jobId === jobId && message.report.kind === kind
      ? message.report
      : undefined,
  );
}

async function placeTask(entry: FakeEntry, jobId: string, payload: string): Promise<void> {
  const offerId = `${jobId}@1`;
  const id = { jobId, index: 0 };
  const task = { id, team: 't', workKind: 'k', role: 'batch' as const, reserved, payload };
  entry.send({ kind: 'offer', offerId, epoch: 1, task });
  const answer = await entry.until((message) =>
    (message.kind === 'accepted' || message.kind === 'declined') && message.offerId === offerId
      ? message.kind
      : undefined,
  );
  expect(answer).to.equal('accepted');
  entry.send({ kind: 'claimed', offerId });
}

function pause(forMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, forMs);
  });
}

// Runs a task over real sockets, which detects a field that the codecs drop.
it('agent: a claimed task runs on an HTTP worker, and a planned stop hands over the others', async () => {
  const worker = await newWorker();
  const entry = await startFakeEntry(1);
  const agent = startAgent(optionsFor(entry, worker));
  await waitForHello(entry, 1);
  await pause(100);
  await placeTask(entry, 'short', '{"runMs":200}');
  await placeTask(entry, 'long', '{"runMs":60000}');
  const finished = await waitForReport(entry, 'short', 'finished');
  expect(finished).to.include({ kind: 'finished', resultRef: 'result/short/0/1' });
  entry.send({ kind: 'recorded', id: { jobId: 'short', index: 0 }, epoch: 1 });
  agent.stop();
  const evicted = await waitForReport(entry, 'long', 'evicted');
  expect(evicted).to.have.property('checkpointRef');
  expect(worker.state().machine.tasks.size).to.equal(0);
  entry.send({ kind: 'recorded', id: { jobId: 'long', index: 0 }, epoch: 1 });
  expect(await agent.stopped).to.equal(undefined);
  await Promise.all([entry.close(), worker.close()]);
});

// A replaced agent that does not exit would run tasks at the same time as its successor.
it('agent: a second agent for the worker adopts its tasks, and the first one exits', async () => {
  const worker = await newWorker();
  const [before, after] = await Promise.all([startFakeEntry(1), startFakeEntry(2)]);
  const first = startAgent(optionsFor(before, worker));
  await waitForHello(before, 1);
  await pause(100);
  await placeTask(before, 'long', '{"runMs":60000}');
  await waitForReport(before, 'long', 'started');
  const second = startAgent(optionsFor(after, worker));
  await waitForReport(after, 'long', 'started');
  expect(await first.stopped).to.deep.equal({ kind: 'fenced', worker: 'w1', incarnation: 2 });
  expect(worker.state().machine.tasks.size).to.equal(1);
  second.stop();
  await waitForReport(after, 'long', 'evicted');
  after.send({ kind: 'recorded', id: { jobId: 'long', index: 0 }, epoch: 1 });
  await second.stopped;
  await Promise.all([before.close(), after.close(), worker.close()]);
});

it('worker adapter: a lost or invalid reply and a stopped worker are all reported as unavailable', async () => {
  const worker = await newWorker();
  const port = createHttpWorker({ host: HOST, port: worker.port, timeoutMs: 100 });
  expect(await port.attach(1)).to.deep.equal({ kind: 'done', value: [] });
  worker.setFaults({ ...NO_WORKER_FAULTS, losesReplies: true });
  expect(await port.usage(1)).to.deep.equal({ kind: 'unavailable' });
  worker.setFaults(NO_WORKER_FAULTS);
  expect(await port.throttle(1, { jobId: 'x', index: 0 }, 2)).to.deep.equal({
    kind: 'unavailable',
  });
  expect(await port.attach(0)).to.deep.equal({ kind: 'fenced', incarnation: 1 });
  await worker.close();
  expect(await port.attach(1)).to.deep.equal({ kind: 'unavailable' });
});
