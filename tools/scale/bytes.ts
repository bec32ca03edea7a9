import type { JobProgress, TaskProgress } from '@bronzeyoke/workflow';
import { encodeProgress } from '@bronzeyoke/workflow';
import type { LinkCodec, RunnerMessage, TaggedMessage } from '@bronzeyoke/wire';
import { AGENT_CODEC, encodeFrame, ENTRY_CODEC } from '@bronzeyoke/wire';

/** Workers that the tasks of one job run on, at most. */
const MAX_WORKERS = 20;
const PAYLOAD = 'x'.repeat(2_000);

function workerOf(index: number): string {
  return `i-7f3a91c2${index % MAX_WORKERS}@1771783254000`;
}

function base64Bytes(value: unknown): number {
  return Buffer.from(JSON.stringify(value)).toString('base64').length;
}

/** Bytes of messages over one connection, in order. */
function connectionBytes(codec: LinkCodec<unknown>, messages: readonly TaggedMessage[]): number {
  return messages.reduce<{ readonly codec: LinkCodec<unknown>; readonly sum: number }>(
    (current, message) => {
      const { frame, next } = current.codec.encode(message);
      return { codec: next, sum: current.sum + frame.length };
    },
    { codec, sum: 0 },
  ).sum;
}

/** Returns the start orders on the connection of each worker. */
function startOrders(taskCount: number): readonly (readonly TaggedMessage[])[] {
  const orders = Array.from({ length: taskCount }, (_, index) => ({
    kind: 'start',
    workerKey: workerOf(index),
    order: index,
    run: { task: `5c0e7a21d94b36f8.0.0.${index}`, attempt: 1 },
    payload: PAYLOAD,
  }));
  const workers = [...new Set(orders.map(({ workerKey }) => workerKey))];
  return workers.map((key) => orders.filter(({ workerKey }) => workerKey === key));
}

/** Progress of a job after some of its tasks have ended. */
function progressAfter(taskCount: number, doneCount: number): JobProgress {
  const tasks = Array.from({ length: taskCount }, (_, index): [string, TaskProgress] => [
    `0.0.${index}`,
    index < doneCount
      ? { phase: 'done', attempt: 1, failures: 0 }
      : {
          phase: 'running',
          attempt: 1,
          failures: 0,
          workerKey: workerOf(index),
          workerAddress: `10.128.0.${index % MAX_WORKERS}:8080`,
        },
  ]);
  return { tasks: new Map(tasks) };
}

/** Reports of a worker while its tasks run, the load of a quarter of which changes each time. */
function reports(runCount: number, count: number): readonly RunnerMessage[] {
  return Array.from({ length: count }, (_, round) => ({
    kind: 'report',
    agentId: 'side-hobart-1-1771783252705',
    term: 3,
    workerKey: workerOf(0),
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
    clockMs: 482_113 + round,
    running: Array.from({ length: runCount }, (__, index) => ({
      task: `5c0e7a21d94b36f8.0.0.${index}`,
      attempt: 1,
      checkpoint: '00000bb87a21d94b',
      percent: 41,
      load: index % 4 === 0 ? 7_000 + round : 7_000,
    })),
    ended: [],
    pending: [],
    lastOrder: 33,
  }));
}

/** Bytes a task of one kind of message, as sent and with every message written in full. */
export interface TaskBytes {
  readonly name: string;
  readonly sent: number;
  readonly inFull: number;
}

const REPORTS = 100;

/** Returns what one task of a job costs on the leader's link. */
export function taskBytes(taskCount: number): readonly TaskBytes[] {
  const orders = startOrders(taskCount);
  const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);
  const rows = Array.from({ length: taskCount + 1 }, (_, done) => progressAfter(taskCount, done));
  const listed = reports(taskCount, REPORTS);
  return [
    {
      name: 'start orders',
      sent: sum(orders.map((list) => connectionBytes(ENTRY_CODEC, list))) / taskCount,
      inFull: sum(orders.flat().map((order) => encodeFrame(order).length)) / taskCount,
    },
    {
      name: 'progress rows, one write an end',
      sent: sum(rows.map((row) => base64Bytes(encodeProgress(row)))) / taskCount,
      inFull:
        sum(rows.map(({ tasks }) => base64Bytes({ tasks: Object.fromEntries(tasks) }))) / taskCount,
    },
    {
      name: 'a report that lists it',
      sent: connectionBytes(AGENT_CODEC, listed) / taskCount / REPORTS,
      inFull: sum(listed.map((one) => encodeFrame(one).length)) / taskCount / REPORTS,
    },
  ];
}
