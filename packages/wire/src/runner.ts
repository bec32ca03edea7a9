import { z } from 'zod';
import type { ListedEnd, ListedRun, OrderRefusal, WorkerReport } from '@bronzeyoke/ports';
import type { Result } from '@bronzeyoke/types';
import type { DecodedPayload } from './frame';
import { decodePayload } from './frame';

/** Identifies a run of a task. */
export interface RunRef {
  readonly task: string;
  readonly attempt: number;
}

/** Messages from an agent to the leader, and from a new leader to the former one. */
export type RunnerMessage =
  | {
      readonly kind: 'report';
      readonly agentId: string;
      /** Highest leader term that the agent has seen. */
      readonly term: number;
      readonly workerKey: string;
      readonly worker: WorkerReport;
      /** Clock of the worker in its latest reply. */
      readonly clockMs: number;
      readonly running: readonly ListedRun[];
      readonly ended: readonly ListedEnd[];
      /** Runs with orders whose effect is not known yet. */
      readonly pending: readonly RunRef[];
      /** Highest order number received on this connection. */
      readonly lastOrder: number;
    }
  | {
      readonly kind: 'refused';
      readonly workerKey: string;
      readonly run: RunRef;
      readonly reason: OrderRefusal | 'noLease' | 'draining' | 'expired';
    }
  /** The worker of an earlier report has stopped, and all its runs have ended. */
  | { readonly kind: 'workerGone'; readonly workerKey: string }
  /** Sent by a new leader to the former one. */
  | {
      readonly kind: 'leaderChanged';
      readonly entryId: string;
      readonly host: string;
      readonly port: number;
      readonly term: number;
    };

/** Messages from an entry to an agent. */
export type LeaderMessage =
  /** Address of the leader that the entry last observed. Any entry sends it. */
  | {
      readonly kind: 'leader';
      readonly term: number;
      readonly host: string;
      readonly port: number;
    }
  | {
      readonly kind: 'grant';
      readonly workerKey: string;
      readonly leaseUntilClockMs: number;
    }
  | {
      readonly kind: 'start';
      readonly workerKey: string;
      readonly order: number;
      readonly run: RunRef;
      readonly payload: string;
      readonly checkpoint?: string;
      readonly ticket?: string;
    }
  | { readonly kind: 'stop'; readonly workerKey: string; readonly run: RunRef }
  | {
      readonly kind: 'pace';
      readonly workerKey: string;
      readonly run: RunRef;
      readonly percent: number;
    }
  | {
      readonly kind: 'acknowledge';
      readonly workerKey: string;
      readonly sequence: number;
    }
  /** Confirms `workerGone`: no stored row assigns a task to that worker any more. */
  | { readonly kind: 'goneRecorded'; readonly workerKey: string };

const run = z.object({ task: z.string(), attempt: z.int() });
const workerKey = z.string();

const worker = z.object({
  id: z.string(),
  address: z.string(),
  bornAtMs: z.number(),
  service: z.string(),
  domain: z.string(),
  version: z.string(),
  isDraining: z.boolean(),
  capacity: z.object({
    processorsMilli: z.number(),
    memoryMb: z.number(),
    accelerators: z.number(),
  }),
  labels: z.array(z.string()),
  rack: z.string(),
  sequence: z.number(),
});

const runnerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('report'),
    agentId: z.string(),
    term: z.int(),
    workerKey,
    worker,
    clockMs: z.number(),
    running: z.array(
      z.object({
        task: z.string(),
        attempt: z.int(),
        checkpoint: z.string(),
        percent: z.number(),
        load: z.number(),
      }),
    ),
    ended: z.array(
      z.object({
        sequence: z.int(),
        task: z.string(),
        attempt: z.int(),
        end: z.enum(['done', 'failed', 'stopped', 'expired', 'gangBroken', 'gangIncomplete']),
        checkpoint: z.string(),
      }),
    ),
    pending: z.array(run),
    lastOrder: z.int(),
  }),
  z.object({ kind: z.literal('refused'), workerKey, run, reason: z.string() }),
  z.object({ kind: z.literal('workerGone'), workerKey }),
  z.object({
    kind: z.literal('leaderChanged'),
    entryId: z.string(),
    host: z.string(),
    port: z.int(),
    term: z.int(),
  }),
]);

const leaderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('leader'), term: z.int(), host: z.string(), port: z.int() }),
  z.object({ kind: z.literal('grant'), workerKey, leaseUntilClockMs: z.number() }),
  z.object({
    kind: z.literal('start'),
    workerKey,
    order: z.int(),
    run,
    payload: z.string(),
    checkpoint: z.string().optional(),
    ticket: z.string().optional(),
  }),
  z.object({ kind: z.literal('stop'), workerKey, run }),
  z.object({ kind: z.literal('pace'), workerKey, run, percent: z.number() }),
  z.object({ kind: z.literal('acknowledge'), workerKey, sequence: z.int() }),
  z.object({ kind: z.literal('goneRecorded'), workerKey }),
]);

const runnerKinds = new Set(runnerSchema.options.map((option) => option.shape.kind.value));
const leaderKinds = new Set(leaderSchema.options.map((option) => option.shape.kind.value));

/** Decodes a payload from an agent or a new leader. */
export function decodeRunnerMessage(payload: Uint8Array): Result<DecodedPayload<RunnerMessage>> {
  return decodePayload<RunnerMessage>(payload, runnerSchema, runnerKinds);
}

/** Decodes a payload from an entry. */
export function decodeLeaderMessage(payload: Uint8Array): Result<DecodedPayload<LeaderMessage>> {
  return decodePayload<LeaderMessage>(payload, leaderSchema, leaderKinds);
}
