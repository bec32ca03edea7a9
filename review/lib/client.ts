import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './http';
import type { CaseRecord } from './record';
import type { Edge } from './site';
import { HOST, PREFIX } from './site';

const RETRY_MS = 200;
const DEADLINE_MS = 3_000;

/** Client of the queue of a case. */
export interface Client {
  /** Hands a job in until it is accepted; returns whether it was within the time. */
  readonly submit: (id: string, job: object, withinMs?: number) => Promise<boolean>;
  /** Cancels a job until that is acknowledged. */
  readonly cancel: (id: string, withinMs?: number) => Promise<boolean>;
  /** Asks for a job's state: a state, `gone`, or empty without an answer. */
  readonly state: (id: string) => Promise<string>;
  /** Stops to use an edge that does not answer. */
  readonly avoid: (edge: Edge | undefined) => void;
}

/** Returns an id of 16 hexadecimal digits. */
export function jobId(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** Creates a client that uses the edges in turn, as the platform's balancer would send it. */
export function createClient(edges: readonly Edge[], record: CaseRecord): Client {
  const state: { turn: number; avoided: Edge | undefined } = { turn: 0, avoided: undefined };
  const next = (): string => {
    const usable = edges.filter((edge) => edge !== state.avoided);
    state.turn += 1;
    return usable[state.turn % usable.length]?.front ?? '';
  };
  const send = (method: string, id: string, body?: object) =>
    call(next(), method, `${PREFIX}${id}`, {
      headers: { host: HOST, 'deadline-ms': String(DEADLINE_MS) },
      timeoutMs: DEADLINE_MS,
      ...(body === undefined ? {} : { body }),
    });
  const repeat = async (
    method: 'POST' | 'DELETE',
    id: string,
    isEnd: (status: number) => boolean,
    withinMs: number,
    body?: object,
  ): Promise<boolean> => {
    const startedMs = Date.now();
    const { status } = await send(method, id, body);
    record.add('answer', { method, job: id, status });
    if (isEnd(status)) return true;
    const leftMs = withinMs - (Date.now() - startedMs) - RETRY_MS;
    if (leftMs <= 0) return false;
    await sleep(RETRY_MS);
    return repeat(method, id, isEnd, leftMs, body);
  };
  return {
    submit: (id, job, withinMs = 8_000) => {
      record.add('submit', { job: id });
      return repeat('POST', id, (status) => status === 200, withinMs, job);
    },
    cancel: (id, withinMs = 8_000) => {
      record.add('cancel', { job: id });
      return repeat('DELETE', id, (status) => status === 200 || status === 410, withinMs);
    },
    state: async (id) => {
      const { status, body } = await send('GET', id);
      const absent = status === 410 ? 'gone' : '';
      const shown = status === 200 ? String(body.state) : absent;
      record.add('state', { job: id, status, state: shown });
      return shown;
    },
    avoid: (edge) => {
      state.avoided = edge;
    },
  };
}
