import { setTimeout as sleep } from 'node:timers/promises';
import { drawUniforms } from '@bronzeyoke/types';
import { Agent, request } from 'undici';
import { crashingId, lastingId } from './jobs';
import type { SoakObservation } from './types';

const CALL_TIMEOUT_MS = 3_000;
const RETRY_DELAY_MS = 150;
const POLL_INTERVAL_MS = 400;
const MAX_STAGES = 3;
const MAX_TASKS = 4;
const CANCELLED_SHARE = 0.1;
const CRASHING_SHARE = 0.03;

/** Share of the jobs that last, until they are cancelled or the faults are over. */
const LASTING_SHARE = 0.1;
const LASTING_TASKS = 2;
const MAX_LASTING_MS = 8_000;

/** Share of the submissions without a definite answer that are cancelled instead of repeated. */
const WITHDRAWN_SHARE = 0.5;
const MAX_THINK_TIME_MS = 600;
const ID_DIGITS = 16;
const HEX_BASE = 16;
const SHORT_TASK = { cpu: 200, memMb: 50, estimateMs: 300 };
const LASTING_TASK = { cpu: 1_000, memMb: 50, estimateMs: 600_000, longRunning: true };
const HEADERS = { host: 'front.example', 'content-type': 'application/json' };

/** Access of a simulated caller to the site and to the phase of the run. */
export interface CallerOptions {
  /** Addresses of the entries. */
  readonly entryAddresses: readonly string[];
  readonly observe: (sight: SoakObservation) => void;
  readonly nowMs: () => number;
  readonly isOver: () => boolean;
  /** Whether the faults are over; no new jobs are submitted then. */
  readonly isCalm: () => boolean;
}

function nameJob(id: string, isCrashing: boolean, lasts: boolean): string {
  if (isCrashing) return crashingId(id);
  return lasts ? lastingId(id) : id;
}

/** Chooses the entry of a caller's first call. The shares of the entries fall from the first one on. */
export function chooseEntry(random: number, entryCount: number): number {
  const shares = Array.from({ length: entryCount }, (_, index) => 1 / (index + 1));
  const sumUpTo = (end: number): number =>
    shares.slice(0, end).reduce((sum, share) => sum + share, 0);
  const threshold = random * sumUpTo(entryCount);
  return Math.max(
    0,
    shares.findIndex((_, index) => sumUpTo(index + 1) > threshold),
  );
}

type Answer =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  | { readonly kind: 'silent' };

/**
 * Runs a caller that submits jobs and polls them until the run is over. It keeps its connections
 * open and switches to the next entry when one does not answer.
 */
export async function runCaller(seed: number, options: CallerOptions): Promise<void> {
  const { entryAddresses, observe, nowMs, isOver, isCalm } = options;
  const agent = new Agent({ keepAliveTimeout: 60_000, headersTimeout: CALL_TIMEOUT_MS });
  const target = { entryIndex: chooseEntry(seed, entryAddresses.length) };
  const background: Promise<void>[] = [];
  const lasting = { isOpen: false };

  const call = async (method: 'GET' | 'POST' | 'DELETE', id: string, body?: object) => {
    const url = `http://${entryAddresses[target.entryIndex % entryAddresses.length] ?? ''}/jobs/${id}`;
    try {
      const response = await request(url, {
        method,
        headers: HEADERS,
        dispatcher: agent,
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const text = await response.body.text();
      return { kind: 'answered', status: response.statusCode, body: text } as Answer;
    } catch {
      target.entryIndex += 1;
      return { kind: 'silent' } as Answer;
    }
  };

  /** Cancels a submission of unknown outcome, and returns whether there is no such job. */
  const withdraw = async (id: string): Promise<boolean> => {
    if (isOver()) return false;
    const answer = await call('DELETE', id);
    const isSettled = answer.kind === 'answered' && [200, 410].includes(answer.status);
    if (isSettled) {
      const isAbsent = answer.status === 410;
      if (isAbsent) observe({ kind: 'withdrawn', atMs: nowMs(), job: id });
      return isAbsent;
    }
    await sleep(RETRY_DELAY_MS);
    return withdraw(id);
  };

  const pollJob = async (id: string, cancelAtMs: number, isCancelled = false): Promise<void> => {
    if (isOver()) return undefined;
    const isDue = !isCancelled && !isCalm() && nowMs() >= cancelAtMs;
    if (isDue) {
      observe({ kind: 'cancelSent', atMs: nowMs(), job: id });
      await call('DELETE', id);
    }
    const answer = await call('GET', id);
    if (answer.kind === 'answered' && answer.status === 410) {
      observe({ kind: 'shown', atMs: nowMs(), job: id, status: 'gone' });
    }
    if (answer.kind === 'answered' && answer.status === 200) {
      const { state } = JSON.parse(answer.body) as { readonly state: string };
      observe({ kind: 'shown', atMs: nowMs(), job: id, status: state });
      if (['complete', 'failed', 'cancelled'].includes(state)) return undefined;
    }
    await sleep(POLL_INTERVAL_MS);
    return pollJob(id, cancelAtMs, isCancelled || isDue);
  };

  const submit = async (id: string, job: object, withdrawDraw: number): Promise<boolean> => {
    if (isOver()) return false;
    const answer = await call('POST', id, job);
    const atMs = nowMs();
    if (answer.kind === 'answered' && answer.status === 200) {
      observe({ kind: 'accepted', atMs, job: id });
      return true;
    }
    const isRefused = answer.kind === 'answered' && [404, 429, 503].includes(answer.status);
    observe({ kind: isRefused ? 'refused' : 'unknown', atMs, job: id });
    if (isRefused) return false;
    if (withdrawDraw < WITHDRAWN_SHARE) {
      observe({ kind: 'cancelSent', atMs: nowMs(), job: id });
      if (await withdraw(id)) background.push(pollJob(id, Infinity));
      return false;
    }
    await sleep(RETRY_DELAY_MS);
    return submit(id, job, withdrawDraw);
  };

  const pollLasting = async (id: string, forMs: number): Promise<void> => {
    await pollJob(id, nowMs() + forMs);
    lasting.isOpen = false;
  };

  const submitJobs = async (random: number): Promise<void> => {
    if (isOver() || isCalm()) return undefined;
    const [
      idHigh = 0,
      idLow = 0,
      stageDraw = 0,
      cancelDraw = 0,
      withdrawDraw = 0,
      thinkDraw = 0,
      nextDraw = 0,
      ...taskDraws
    ] = drawUniforms(random, 7 + MAX_STAGES);
    const hex = (draw: number): string =>
      Math.floor(draw * HEX_BASE ** (ID_DIGITS / 2))
        .toString(HEX_BASE)
        .padStart(ID_DIGITS / 2, '0');
    const plainId = `${hex(idHigh)}${hex(idLow)}`;
    // The draw that cancels low shares of the jobs is not used for the others.
    const isCrashing = cancelDraw > 1 - CRASHING_SHARE;
    const lasts = !isCrashing && !lasting.isOpen && cancelDraw > 1 - CRASHING_SHARE - LASTING_SHARE;
    const id = nameJob(plainId, isCrashing, lasts);
    const stages = lasts
      ? [LASTING_TASKS]
      : taskDraws
          .slice(0, 1 + Math.floor(stageDraw * MAX_STAGES))
          .map((draw) => 1 + Math.floor(draw * MAX_TASKS));
    const phases = stages.map((taskCount, index) => ({
      count: taskCount,
      ...(lasts ? LASTING_TASK : SHORT_TASK),
      ...(index === 0 ? {} : { dependsOn: [index - 1] }),
    }));
    observe({ kind: 'submitted', atMs: nowMs(), job: id, stages });
    const isAccepted = await submit(id, { spec: id, phases }, withdrawDraw);
    if (isAccepted && lasts) {
      lasting.isOpen = true;
      background.push(pollLasting(id, thinkDraw * MAX_LASTING_MS));
    } else if (isAccepted) {
      const isCancelled = cancelDraw < CANCELLED_SHARE;
      await pollJob(id, isCancelled ? nowMs() + thinkDraw * MAX_THINK_TIME_MS : Infinity);
    }
    await sleep(thinkDraw * MAX_THINK_TIME_MS);
    return submitJobs(nextDraw);
  };

  await submitJobs(seed);
  await Promise.all(background);
  await agent.destroy();
}
