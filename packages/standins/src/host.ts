import type { IncomingMessage, ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import type { WorkerCommand } from '@bronzeyoke/ports';
import { z } from 'zod';
import { readJson } from './body';
import type { WorkerFaults } from './machine';
import { listen, refuseRequest } from './server';
import type { WorkerInput, WorkerOutput, WorkerModel } from './worker';
import { nextWorkerAtMs, stepWorker } from './worker';

const id = z.object({ jobId: z.string(), index: z.int() });
const task = z.looseObject({ id, workKind: z.string(), payload: z.string() });
const commandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.enum(['attach', 'usage', 'notices']) }),
  z.object({ kind: z.enum(['checkpoint', 'stop']), id }),
  z.object({ kind: z.literal('renew'), ids: z.array(id), leaseMs: z.number() }),
  z.object({ kind: z.literal('throttle'), id, share: z.number().min(0).max(1) }),
  z.object({
    kind: z.literal('start'),
    command: z.object({
      task,
      epoch: z.int(),
      leaseMs: z.number(),
      startWithinMs: z.number(),
    }),
  }),
]);
const envelopeSchema = z.looseObject({ incarnation: z.int().min(0) });

/** A running stand-in of a worker. */
export interface StandinWorker {
  readonly port: number;
  readonly setFaults: (faults: WorkerFaults) => void;
  readonly state: () => WorkerModel;
  /** Outputs so far, for test oracles: starts and ends of tasks, and replies. */
  readonly outputs: () => readonly WorkerOutput[];
  readonly close: () => Promise<void>;
}

/**
 * Serves a modelled worker over HTTP: `POST /v1/<command>` with the incarnation and the command's
 * fields as JSON.
 */
export async function startWorker(
  host: string,
  port: number,
  initial: WorkerModel,
): Promise<StandinWorker> {
  let state = initial;
  let callCount = 0;
  let timer: NodeJS.Timeout | undefined;
  const outputs: WorkerOutput[] = [];
  const responses = new Map<string, ServerResponse>();

  const respond = (output: WorkerOutput): void => {
    outputs.push(output);
    if (output.kind !== 'reply') return;
    const response = responses.get(output.callId);
    responses.delete(output.callId);
    const { result } = output.reply;
    const status = result.kind === 'unavailable' ? 503 : 200;
    response?.writeHead(status, { 'content-type': 'application/json' });
    response?.end(JSON.stringify(result));
  };

  const step = (input: WorkerInput): void => {
    const nowMs = performance.now();
    const next = stepWorker(state, input, nowMs);
    state = next.state;
    next.effects.forEach(respond);
    clearTimeout(timer);
    const nextAtMs = nextWorkerAtMs(state);
    if (nextAtMs < Infinity) {
      timer = setTimeout(() => step({ kind: 'advance' }), Math.ceil(nextAtMs - nowMs));
    }
  };

  const handleRequest = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const body = await readJson(request);
    const { incarnation, ...fields } = envelopeSchema.parse(body);
    const kind = request.url?.split('/').at(-1);
    const command = commandSchema.parse({ ...fields, kind }) as WorkerCommand;
    callCount += 1;
    const callId = String(callCount);
    responses.set(callId, response);
    step({ kind: 'command', callId, incarnation, command });
  };

  const handler = { respond: handleRequest, onFailure: refuseRequest };
  const server = await listen(handler, host, port);
  return {
    port: server.port,
    setFaults: (faults) => step({ kind: 'faults', faults }),
    state: () => state,
    outputs: () => outputs,
    close: async () => {
      clearTimeout(timer);
      await server.close();
    },
  };
}
