import type { RecentStart, RunRef } from '@bronzeyoke/wire';
import type { WorkerState } from './types';
import { orderKey } from './types';

/** Time before the end of a worker within which a start may have caused it. */
const RECENT_START_MS = 2_000;

/** Records a start call, and forgets those that are too old to matter. */
export function noteStart(worker: WorkerState, run: RunRef, nowMs: number): WorkerState {
  const recent = worker.startCalls.filter(({ calledAtMs }) => nowMs - calledAtMs < RECENT_START_MS);
  return { ...worker, startCalls: recent.set(orderKey(run), { run, calledAtMs: nowMs }) };
}

/** Forgets a start call that the worker did not carry out. */
export function forgetStart(worker: WorkerState, run: RunRef): WorkerState {
  return { ...worker, startCalls: worker.startCalls.delete(orderKey(run)) };
}

/** Returns the runs that a worker began shortly before its end and whose end it has not listed. */
export function recentStartsOf(worker: WorkerState, nowMs: number): readonly RecentStart[] {
  const endedAtMs = worker.failures?.sinceMs ?? nowMs;
  const ended = new Set(worker.ended.map((run) => orderKey(run)));
  return worker.startCalls
    .filter((_, key) => !ended.has(key))
    .valueSeq()
    .map(({ run, calledAtMs }) => ({ ...run, ageMs: Math.max(0, endedAtMs - calledAtMs) }))
    .filter(({ ageMs }) => ageMs < RECENT_START_MS)
    .toArray();
}
