import { setTimeout as sleep } from 'node:timers/promises';
import { drawUniforms } from '@bronzeyoke/types';
import { Agent, request } from 'undici';
import type { Observation } from './types';

const CALL_MS = 3_000;
const RETRY_MS = 150;
const POLL_MS = 400;
const MAX_STAGES = 3;
const MAX_TASKS = 4;
const CANCEL_SHARE = 0.1;
const MAX_THINK_MS = 600;
const ID_DIGITS = 16;
const HEX = 16;
const HEADERS = { host: 'front.example', 'content-type': 'application/json' };

/** What a caller needs of the site. */
export interface CallerOptions {
  /** Addresses of the entries. */
  readonly entryAddresses: readonly string[];
  readonly observe: (sight: Observation) => void;
  readonly nowMs: () => number;
  readonly isOver: () => boolean;
  /** Whether no new jobs are to be submitted. */
  readonly isCalm: () => boolean;
}

type Answer =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  | { readonly kind: 'silent' };

/** A caller that keeps its connections open, and goes to the next entry when one does not answer. */
export async function runCaller(seed: number, ports: CallerOptions): Promise<void> {
  const { entryAddresses: fronts, observe: see, nowMs, isOver, isCalm } = ports;
  const agent = new Agent({ keepAliveTimeout: 60_000, headersTimeout: CALL_MS });
  const place = { entry: Math.floor(seed * fronts.length) };

  const call = async (method: 'GET' | 'POST' | 'DELETE', id: string, body?: object) => {
    const url = `http://${fronts[place.entry % fronts.length] ?? ''}/jobs/${id}`;
    try {
      const response = await request(url, {
        method,
        headers: HEADERS,
        dispatcher: agent,
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_MS),
      });
      const text = await response.body.text();
      return { kind: 'answered', status: response.statusCode, body: text } as Answer;
    } catch {
      place.entry += 1;
      return { kind: 'silent' } as Answer;
    }
  };

  const submit = async (id: string, job: object): Promise<boolean> => {
    if (isOver()) return false;
    const answer = await call('POST', id, job);
    const atMs = nowMs();
    if (answer.kind === 'answered' && answer.status === 200) {
      see({ kind: 'accepted', atMs, job: id });
      return true;
    }
    const isRefused = answer.kind === 'answered' && [404, 429, 503].includes(answer.status);
    see({ kind: isRefused ? 'refused' : 'unknown', atMs, job: id });
    if (isRefused) return false;
    await sleep(RETRY_MS);
    return submit(id, job);
  };

  const follow = async (id: string, cancelAtMs: number, isCancelled = false): Promise<void> => {
    if (isOver()) return undefined;
    const isDue = !isCancelled && nowMs() >= cancelAtMs;
    if (isDue) {
      see({ kind: 'cancelSent', atMs: nowMs(), job: id });
      await call('DELETE', id);
    }
    const answer = await call('GET', id);
    if (answer.kind === 'answered' && answer.status === 410) {
      see({ kind: 'shown', atMs: nowMs(), job: id, status: 'gone' });
    }
    if (answer.kind === 'answered' && answer.status === 200) {
      const { state } = JSON.parse(answer.body) as { readonly state: string };
      see({ kind: 'shown', atMs: nowMs(), job: id, status: state });
      if (['complete', 'failed', 'cancelled'].includes(state)) return undefined;
    }
    await sleep(POLL_MS);
    return follow(id, cancelAtMs, isCancelled || isDue);
  };

  const next = async (random: number): Promise<void> => {
    if (isOver() || isCalm()) return undefined;
    const [digits = 0, more = 0, count = 0, cancel = 0, think = 0, after = 0, ...tasks] =
      drawUniforms(random, 6 + MAX_STAGES);
    const hex = (part: number): string =>
      Math.floor(part * HEX ** (ID_DIGITS / 2))
        .toString(HEX)
        .padStart(ID_DIGITS / 2, '0');
    const id = `${hex(digits)}${hex(more)}`;
    const stages = tasks
      .slice(0, 1 + Math.floor(count * MAX_STAGES))
      .map((part) => 1 + Math.floor(part * MAX_TASKS));
    const phases = stages.map((taskCount, index) => ({
      count: taskCount,
      cpu: 200,
      memMb: 50,
      estimateMs: 300,
      ...(index === 0 ? {} : { dependsOn: [index - 1] }),
    }));
    see({ kind: 'submitted', atMs: nowMs(), job: id, stages });
    const isAccepted = await submit(id, { spec: id, phases });
    const cancelAtMs = cancel < CANCEL_SHARE ? nowMs() + think * MAX_THINK_MS : Infinity;
    if (isAccepted) await follow(id, cancelAtMs);
    await sleep(think * MAX_THINK_MS);
    return next(after);
  };

  await next(seed);
  await agent.destroy();
}
