import { Map, OrderedMap } from 'immutable';
import type { AttemptHistory, PastAttempt } from './types';

/** Retention of the record that a non-idempotent attempt ran, or must not run. */
export const HISTORY_RETENTION_MS = 900_000;

/** Maximum attempts in the history: 9 a second over the retention time. */
export const MAX_HISTORY_ATTEMPTS = 8_192;

/** History before the first attempt. */
export const EMPTY_HISTORY: AttemptHistory = {
  attempts: OrderedMap(),
  keyHolders: Map(),
  incompleteUntilMs: -Infinity,
};

function removeAttempt(history: AttemptHistory, attemptId: string): AttemptHistory {
  const past = history.attempts.get(attemptId);
  const isHolder = past?.kind === 'ran' && history.keyHolders.get(past.key) === attemptId;
  return {
    ...history,
    attempts: history.attempts.delete(attemptId),
    keyHolders: isHolder ? history.keyHolders.delete(past.key) : history.keyHolders,
  };
}

/** Maximum attempts that one step removes, so that no step takes long after an idle period. */
const MAX_REMOVED_PER_STEP = 64;

/** Removes expired attempts, and the oldest ones while the history is too long. */
function prune(
  history: AttemptHistory,
  nowMs: number,
  removals = MAX_REMOVED_PER_STEP,
): AttemptHistory {
  const oldest = history.attempts.entrySeq().first();
  if (oldest === undefined || removals === 0) return history;
  const [attemptId, { atMs }] = oldest;
  const isOld = nowMs - atMs > HISTORY_RETENTION_MS;
  if (isOld) return prune(removeAttempt(history, attemptId), nowMs, removals - 1);
  if (history.attempts.size <= MAX_HISTORY_ATTEMPTS) return history;
  // A collect may name an attempt that is removed early. Until its retention would have ended, no
  // unknown attempt is reported as never run.
  const incompleteUntilMs = nowMs + HISTORY_RETENTION_MS;
  return prune({ ...removeAttempt(history, attemptId), incompleteUntilMs }, nowMs, removals - 1);
}

/** Adds an attempt to the history, or replaces its record. */
export function recordAttempt(
  history: AttemptHistory,
  attemptId: string,
  past: PastAttempt,
): AttemptHistory {
  const attempts = history.attempts.delete(attemptId).set(attemptId, past);
  return prune({ ...history, attempts }, past.atMs);
}

/** Makes an attempt the holder of its idempotency key. */
export function holdKey(history: AttemptHistory, key: string, attemptId: string): AttemptHistory {
  return { ...history, keyHolders: history.keyHolders.set(key, attemptId) };
}

/** Records that an attempt must never run, and releases its key. */
export function blockAttempt(
  history: AttemptHistory,
  key: string | undefined,
  attemptId: string,
  nowMs: number,
): AttemptHistory {
  const isHolder = key !== undefined && history.keyHolders.get(key) === attemptId;
  const keyHolders = isHolder ? history.keyHolders.delete(key) : history.keyHolders;
  return recordAttempt({ ...history, keyHolders }, attemptId, { kind: 'blocked', atMs: nowMs });
}
