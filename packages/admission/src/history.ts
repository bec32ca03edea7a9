import { Map, OrderedMap } from 'immutable';
import type { AttemptHistory, PastAttempt } from './types';

/** How long it is remembered that a non-idempotent attempt ran, or must not run. */
export const HISTORY_RETENTION_MS = 900_000;

/** Most attempts that are remembered: 9 a second over the time above. */
export const MAX_HISTORY_ATTEMPTS = 8_192;

/** Nothing remembered. */
export const EMPTY_HISTORY: AttemptHistory = {
  attempts: OrderedMap(),
  keyHolders: Map(),
  incompleteUntilMs: -Infinity,
};

function drop(history: AttemptHistory, attemptId: string): AttemptHistory {
  const known = history.attempts.get(attemptId);
  const isHolder = known?.kind === 'ran' && history.keyHolders.get(known.key) === attemptId;
  return {
    ...history,
    attempts: history.attempts.delete(attemptId),
    keyHolders: isHolder ? history.keyHolders.delete(known.key) : history.keyHolders,
  };
}

/** Most attempts that one step drops, so that none takes long after a quiet time. */
const DROPS_PER_STEP = 64;

/** Drops what is too old, and the oldest if there is too much. */
function forget(history: AttemptHistory, nowMs: number, drops = DROPS_PER_STEP): AttemptHistory {
  const oldest = history.attempts.entrySeq().first();
  if (oldest === undefined || drops === 0) return history;
  const [attemptId, { atMs }] = oldest;
  const isOld = nowMs - atMs > HISTORY_RETENTION_MS;
  if (isOld) return forget(drop(history, attemptId), nowMs, drops - 1);
  if (history.attempts.size <= MAX_HISTORY_ATTEMPTS) return history;
  // What is dropped early may be asked for: until then nobody is told that an attempt never ran.
  const incompleteUntilMs = nowMs + HISTORY_RETENTION_MS;
  return forget({ ...drop(history, attemptId), incompleteUntilMs }, nowMs, drops - 1);
}

/** Remembers something about an attempt. */
export function recordAttempt(
  history: AttemptHistory,
  attemptId: string,
  what: PastAttempt,
): AttemptHistory {
  const attempts = history.attempts.delete(attemptId).set(attemptId, what);
  return forget({ ...history, attempts }, what.atMs);
}

/** The attempt holds its key from now on. */
export function holdKey(history: AttemptHistory, key: string, attemptId: string): AttemptHistory {
  return { ...history, keyHolders: history.keyHolders.set(key, attemptId) };
}

/** The attempt will never run, and gives its key back. */
export function blockAttempt(
  history: AttemptHistory,
  key: string | undefined,
  attemptId: string,
  nowMs: number,
): AttemptHistory {
  const isHolder = key !== undefined && history.keyHolders.get(key) === attemptId;
  const keyHolders = isHolder ? history.keyHolders.delete(key) : history.keyHolders;
  return recordAttempt({ ...history, keyHolders }, attemptId, { kind: 'barred', atMs: nowMs });
}
