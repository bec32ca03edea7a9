import { OrderedMap } from 'immutable';

/** Payloads that both ends of a connection remember. */
const MAX_PAYLOADS = 64;

/** Largest number of bytes that is shorter as a whole than as a reference. */
const MIN_SHARED_LENGTH = 16;

/**
 * Payloads of the last jobs on one connection, by number, the oldest first. Both ends add the same ones
 * in the same order, so that later start orders of a job can name the payload by its number.
 */
export interface SharedPayloads {
  readonly nextNumber: number;
  readonly byNumber: OrderedMap<number, string>;
  readonly numbers: OrderedMap<string, number>;
}

/** No payload was sent yet. */
export const NO_PAYLOADS: SharedPayloads = {
  nextNumber: 0,
  byNumber: OrderedMap(),
  numbers: OrderedMap(),
};

/** Returns whether a payload is long enough to be remembered. */
export function isShared(payload: string): boolean {
  return payload.length >= MIN_SHARED_LENGTH;
}

/** Adds a payload, and forgets the oldest one beyond the limit. */
export function addPayload(payloads: SharedPayloads, payload: string): SharedPayloads {
  const { nextNumber, byNumber, numbers } = payloads;
  const oldest = byNumber.size >= MAX_PAYLOADS ? byNumber.keySeq().first() : undefined;
  const oldestText = oldest === undefined ? undefined : byNumber.get(oldest);
  const keptByNumber = oldest === undefined ? byNumber : byNumber.delete(oldest);
  const keptNumbers = oldestText === undefined ? numbers : numbers.delete(oldestText);
  return {
    nextNumber: nextNumber + 1,
    byNumber: keptByNumber.set(nextNumber, payload),
    numbers: keptNumbers.set(payload, nextNumber),
  };
}
