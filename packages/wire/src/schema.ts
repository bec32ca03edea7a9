import { z } from 'zod';

const MAX_RESOURCE = 1e9;
const MAX_ID_CHARS = 200;
const MAX_HEADERS = 128;
const DAY_MS = 86_400_000;

const id = z.string().min(1).max(MAX_ID_CHARS);
const text = z.string().max(65_536);
const amount = z.number().min(0).max(MAX_RESOURCE);
const counter = z.int().min(0);
const resources = z.object({ processorsMilli: amount, memoryMb: amount, accelerators: amount });
const headers = z
  .record(z.string().max(256), z.string().max(16_384))
  .refine((value) => Object.keys(value).length <= MAX_HEADERS);
const body = z.instanceof(Uint8Array);
const taskId = z.object({ jobId: id, index: counter });
const attempt = { requestId: id, attemptId: id };
const timeoutMs = z.number().min(0).max(DAY_MS);

const profile = z.object({
  agentId: id,
  worker: id,
  domain: id,
  region: id,
  rack: id,
  service: id,
  slots: z.int().min(0).max(10_000),
  connections: z.int().min(0).max(100_000),
  total: resources,
});

const task = z.object({
  id: taskId,
  team: id,
  workKind: id,
  role: z.enum(['batch', 'watcher']),
  reserved: resources,
  payload: text,
  checkpointRef: id.optional(),
});

const notRunReason = z.enum([
  'overloaded',
  'deadlineExpired',
  'noUpstream',
  'draining',
  'storeUnavailable',
  'cancelled',
  'connectionLimit',
]);
const unknownReason = z.enum([
  'connectionLost',
  'agentRestarted',
  'deadlineExpired',
  'upstreamFailed',
]);

const report = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('started') }),
  z.object({ kind: z.literal('checkpointed'), checkpointRef: id }),
  z.object({ kind: z.literal('finished'), resultRef: id, runMs: amount, peak: resources }),
  z.object({ kind: z.literal('failed'), checkpointRef: id.optional(), peak: resources }),
  z.object({ kind: z.literal('evicted'), checkpointRef: id.optional() }),
  z.object({ kind: z.literal('notStarted') }),
  z.object({ kind: z.literal('stopped') }),
]);

/** Schema of the messages from an agent to an entry. */
export const agentMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('hello'), version: counter, profile, incarnation: counter }),
  z.object({
    kind: z.literal('beat'),
    free: resources,
    slotsInUse: counter,
    slowDowns: z
      .array(z.object({ service: id, workKind: id, factor: z.number().min(0).max(1e6) }))
      .max(1_000),
  }),
  z.object({ kind: z.literal('draining') }),
  z.object({
    kind: z.literal('answer'),
    ...attempt,
    status: z.int().min(100).max(999),
    headers,
    body,
    slotsInUse: counter,
  }),
  z.object({ kind: z.literal('notRun'), ...attempt, reason: notRunReason }),
  z.object({ kind: z.literal('outcomeUnknown'), ...attempt, reason: unknownReason }),
  z.object({ kind: z.literal('unknownRequest'), ...attempt }),
  z.object({ kind: z.literal('progress'), ...attempt }),
  z.object({ kind: z.literal('accepted'), offerId: id, free: resources }),
  z.object({
    kind: z.literal('declined'),
    offerId: id,
    reason: z.enum(['noRoom', 'makingRoom', 'domainOut', 'draining', 'notRegistered', 'tooLate']),
    free: resources,
  }),
  z.object({ kind: z.literal('taskReport'), id: taskId, epoch: counter, report }),
  z.object({ kind: z.literal('registerWorker'), worker: id, agentId: id, token: id }),
  z.object({ kind: z.literal('renewWorker'), worker: id, incarnation: counter, token: id }),
  z.object({ kind: z.literal('inForce'), number: counter }),
  z.object({ kind: z.literal('pong'), sequence: counter }),
]);

const change = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('domain'), name: id, state: z.enum(['in', 'out']) }),
  z.object({
    kind: z.literal('service'),
    name: id,
    reserved: resources,
    targetLatencyMs: timeoutMs,
    defaultTimeoutMs: timeoutMs,
  }),
  z.object({ kind: z.literal('team'), name: id, quota: resources }),
  z.object({
    kind: z.literal('watcher'),
    name: id,
    team: id,
    workKind: id,
    reserved: resources,
    payload: text,
    instances: z.int().min(0).max(10_000),
  }),
]);

/** Schema of the messages from an entry to an agent. */
export const entryMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('welcome'),
    version: counter,
    entryId: id,
    beatIntervalMs: z.number().min(100).max(60_000),
  }),
  z.object({
    kind: z.literal('request'),
    ...attempt,
    idempotencyKey: id.optional(),
    method: z.string().min(1).max(20),
    path: z.string().min(1).max(8_192),
    headers,
    body,
    timeoutMs,
    traceparent: z.string().max(100).optional(),
  }),
  z.object({ kind: z.literal('cancelRequest'), ...attempt }),
  z.object({ kind: z.literal('collect'), ...attempt }),
  z.object({
    kind: z.literal('offer'),
    offerId: id,
    epoch: counter,
    task,
    preempts: z.boolean().optional(),
    spareMs: z.number().optional(),
  }),
  z.object({ kind: z.literal('claimed'), offerId: id }),
  z.object({ kind: z.literal('claimFailed'), offerId: id }),
  z.object({
    kind: z.literal('stopTask'),
    id: taskId,
    epoch: counter,
    mode: z.enum(['cancel', 'evict']),
  }),
  z.object({ kind: z.literal('askTask'), id: taskId, epoch: counter }),
  z.object({ kind: z.literal('recorded'), id: taskId, epoch: counter }),
  z.object({ kind: z.literal('workerRegistered'), token: id, incarnation: counter }),
  z.object({ kind: z.literal('workerRenewed'), token: id }),
  z.object({ kind: z.literal('workerFenced'), incarnation: counter }),
  z.object({
    kind: z.literal('config'),
    configuration: z.object({ number: counter, entries: z.array(change).max(10_000) }),
  }),
  z.object({ kind: z.literal('ping'), sequence: counter }),
]);
