import { getHeapStatistics } from 'node:v8';
import type { Result } from '@bronzeyoke/types';
import { BYTES_PER_MB, fail, succeed } from '@bronzeyoke/types';
import type { DecodeFault } from './fault';

/**
 * Cost of a document: the most memory that decoding it takes, estimated from its bytes before anything is
 * built. The figures are for 64-bit V8, in which a value that takes two bytes of text becomes an object of
 * some fifty times its size.
 */

/**
 * Bytes of memory for each byte of a document: its text, in which one character outside Latin-1 doubles the
 * size of all others, and the text values taken from it.
 */
export const TEXT_COST_FACTOR = 5;

/** Element of a list, or value of a member: its slot, and a boxed number or the header of a text. */
export const VALUE_COST_BYTES = 48;

/** List, object or byte string. */
export const CONTAINER_COST_BYTES = 160;

/** Member of an object, whose name may be one that no object has had before. */
export const MEMBER_COST_BYTES = 160;

/**
 * Member that an object is given by a number, up to which V8 may reserve elements: 1,024 of them and half
 * as many again, of 8 bytes each.
 */
export const INDEX_COST_BYTES = 16_384;

/** Deepest nesting of a document. Functions that walk deeper values overflow the stack. */
export const MAX_DEPTH = 64;

/** Share of the heap that one document may take. Documents are decoded one after the other. */
const HEAP_SHARE = 1 / 3;

/** Most that a document may take in a process whose heap is large. */
const MAX_COST_BYTES = 128 * BYTES_PER_MB;

const heapShareBytes = Math.floor(getHeapStatistics().heap_size_limit * HEAP_SHARE);

/** Largest cost of a document in this process: a third of its heap, and at most the given maximum. */
export function heapCostLimit(maxBytes: number = MAX_COST_BYTES): number {
  return Math.min(heapShareBytes, maxBytes);
}

/** Returns the cost of a document, or the fault of one that costs more than the limit. */
export function limitCost(costBytes: number, maxCostBytes: number): Result<number, DecodeFault> {
  return costBytes > maxCostBytes ? fail({ kind: 'tooCostly', maxCostBytes }) : succeed(costBytes);
}
