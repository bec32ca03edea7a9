import { Map, OrderedMap } from 'immutable';
import type { Memory, PastAttempt } from './types';

/** How long it is remembered that a non-idempotent attempt ran, or must not run. */
export const MEMORY_MS = 900_000;

/** Most attempts that are remembered: 9 a second over the time above. */
export const MAX_REMEMBERED = 8_192;

/** Nothing remembered. */
export const NO_MEMORY: Memory = { past: OrderedMap(), holders: Map(), unsureUntilMs: -Infinity };

function drop(memory: Memory, attemptId: string): Memory {
  const known = memory.past.get(attemptId);
  const isHolder = known?.kind === 'ran' && memory.holders.get(known.key) === attemptId;
  return {
    ...memory,
    past: memory.past.delete(attemptId),
    holders: isHolder ? memory.holders.delete(known.key) : memory.holders,
  };
}

/** Most attempts that one step drops, so that none takes long after a quiet time. */
const DROPS_PER_STEP = 64;

/** Drops what is too old, and the oldest if there is too much. */
function forget(memory: Memory, nowMs: number, drops = DROPS_PER_STEP): Memory {
  const oldest = memory.past.entrySeq().first();
  if (oldest === undefined || drops === 0) return memory;
  const [attemptId, { atMs }] = oldest;
  const isOld = nowMs - atMs > MEMORY_MS;
  if (isOld) return forget(drop(memory, attemptId), nowMs, drops - 1);
  if (memory.past.size <= MAX_REMEMBERED) return memory;
  // What is dropped early may be asked for: until then nobody is told that an attempt never ran.
  const unsureUntilMs = nowMs + MEMORY_MS;
  return forget({ ...drop(memory, attemptId), unsureUntilMs }, nowMs, drops - 1);
}

/** Remembers something about an attempt. */
export function remember(memory: Memory, attemptId: string, what: PastAttempt): Memory {
  const past = memory.past.delete(attemptId).set(attemptId, what);
  return forget({ ...memory, past }, what.atMs);
}

/** The attempt holds its key from now on. */
export function hold(memory: Memory, key: string, attemptId: string): Memory {
  return { ...memory, holders: memory.holders.set(key, attemptId) };
}

/** The attempt will never run, and gives its key back. */
export function bar(
  memory: Memory,
  key: string | undefined,
  attemptId: string,
  nowMs: number,
): Memory {
  const isHolder = key !== undefined && memory.holders.get(key) === attemptId;
  const holders = isHolder ? memory.holders.delete(key) : memory.holders;
  return remember({ ...memory, holders }, attemptId, { kind: 'barred', atMs: nowMs });
}
