import { Agent, request as httpRequest } from 'node:http';
import { acceptValue, collectBytes, decodeJson, listOf } from '@bronzeyoke/decoding';
import type {
  RunningTask,
  UsageSample,
  WorkerNotice,
  WorkerPort,
  WorkerResult,
} from '@bronzeyoke/ports';
import { z } from 'zod';

/** Address of a worker, with the timeout of commands to it. */
export interface WorkerAddress {
  readonly host: string;
  readonly port: number;
  /** A command without a reply after this time counts as unavailable. */
  readonly timeoutMs?: number;
}

// Shorter than the timeout of the core, so that the core receives the result of every command.
const DEFAULT_TIMEOUT_MS = 2_500;
const CONNECTIONS = 4;
const MAX_REPLY_BYTES = 4 * 1_048_576;

const amount = z.number().min(0).max(1e9);
const id = z.object({ jobId: z.string().min(1).max(200), index: z.int().min(0) });
const resources = z.object({ processorsMilli: amount, memoryMb: amount, accelerators: amount });
const ref = z.string().min(1).max(200);
const name = z.string().min(1).max(200);

const task = z.object({
  id,
  team: name,
  workKind: name,
  role: z.enum(['batch', 'watcher']),
  reserved: resources,
  payload: z.string().max(65_536),
  checkpointRef: ref.exactOptional(),
});
const running = listOf(z.object({ id, epoch: z.int().min(0), task }));
const usage = listOf(
  z.object({ id, workKind: name, used: resources, lagMs: z.number().min(0).max(1e9) }),
);
const end = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('finished'), resultRef: ref, runMs: amount, peak: resources }),
  z.object({ kind: z.literal('failed'), checkpointRef: ref.exactOptional(), peak: resources }),
  z.object({ kind: z.literal('leaseExpired'), checkpointRef: ref.exactOptional() }),
]);
const notices = listOf(z.object({ kind: z.literal('ended'), id, epoch: z.int().min(0), end }));
const noValue = z.undefined();

function resultSchema<Value>(value: z.ZodType<Value>) {
  return z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('done'), value }),
    z.object({ kind: z.literal('fenced'), incarnation: z.int().min(0) }),
    z.object({
      kind: z.literal('refused'),
      problem: z.enum(['unknownTask', 'tooLate', 'alreadyRunning', 'noRoom']),
    }),
    z.object({ kind: z.literal('unavailable') }),
  ]);
}

/** Creates the adapter that sends commands to a worker over HTTP. A malformed reply is `unavailable`. */
export function createHttpWorker(address: WorkerAddress): WorkerPort {
  const { host, port, timeoutMs = DEFAULT_TIMEOUT_MS } = address;
  const pool = new Agent({ keepAlive: true, maxSockets: CONNECTIONS });

  const post = (path: string, text: string): Promise<Buffer | undefined> =>
    new Promise((resolve) => {
      const headers = {
        'content-type': 'application/json',
        'content-length': String(Buffer.byteLength(text)),
      };
      const outgoing = httpRequest({ host, port, path, method: 'POST', headers, agent: pool });
      const deadline = setTimeout(() => outgoing.destroy(), timeoutMs);
      const finish = (reply?: Buffer): void => {
        clearTimeout(deadline);
        resolve(reply);
      };
      outgoing.on('error', () => finish());
      outgoing.on('response', (message) => {
        collectBytes(message, MAX_REPLY_BYTES, (bytes) =>
          finish(bytes.ok && message.statusCode === 200 ? bytes.value : undefined),
        );
      });
      outgoing.end(text);
    });

  const command = async <Value>(
    kind: string,
    value: z.ZodType<Value>,
    incarnation: number,
    fields: object = {},
  ): Promise<WorkerResult<Value>> => {
    const bytes = await post(`/v1/${kind}`, JSON.stringify({ incarnation, ...fields }));
    if (bytes === undefined) return { kind: 'unavailable' };
    const reply = decodeJson(bytes);
    if (!reply.ok) return { kind: 'unavailable' };
    return acceptValue(resultSchema(value), reply.value) ?? { kind: 'unavailable' };
  };

  return {
    attach: (incarnation) => command<readonly RunningTask[]>('attach', running, incarnation),
    start: (incarnation, start) => command<void>('start', noValue, incarnation, { command: start }),
    renew: (incarnation, ids, leaseMs) =>
      command<void>('renew', noValue, incarnation, { ids, leaseMs }),
    checkpoint: (incarnation, taskId) => command('checkpoint', ref, incarnation, { id: taskId }),
    throttle: (incarnation, taskId, share) =>
      command<void>('throttle', noValue, incarnation, { id: taskId, share }),
    stop: (incarnation, taskId) => command<void>('stop', noValue, incarnation, { id: taskId }),
    usage: (incarnation) => command<readonly UsageSample[]>('usage', usage, incarnation),
    notices: (incarnation) => command<readonly WorkerNotice[]>('notices', notices, incarnation),
  };
}
