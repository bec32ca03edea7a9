import { Decoder } from 'cbor-x';
import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import {
  CONTAINER_COST_BYTES,
  heapCostLimit,
  INDEX_COST_BYTES,
  limitCost,
  MAX_DEPTH,
  MEMBER_COST_BYTES,
  TEXT_COST_FACTOR,
  VALUE_COST_BYTES,
} from './cost';
import type { DecodeFault } from './fault';

// With records or shared structures, decoding a message would depend on earlier ones.
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Major types of RFC 8949, the upper three bits of the head of an item. */
const MAJOR = { bytes: 2, text: 3, list: 4, map: 5, tag: 6, simple: 7 } as const;
const HEADS_OF_MAJOR = 32;

/** Lower bits of a head from which on an argument of one to eight bytes follows it. */
const ONE_BYTE = 24;
const EIGHT_BYTES = 27;
const BYTE_VALUES = 256;

/** Tag of a byte string that is decoded as `Uint8Array`, the only one that the encoder writes. */
const BYTE_ARRAY_TAG = 64;

/** Simple values that the encoder writes: false, true, null, undefined, and floats of three sizes. */
const FIRST_SIMPLE = 20;

const ZERO = 0x30;
const NINE = 0x39;

/** Longest name that is a number of an element. */
const MAX_INDEX_DIGITS = 10;

const UNREADABLE = fail<DecodeFault>({ kind: 'unreadable' });

function unsupported(what: string): Result<never, DecodeFault> {
  return fail({ kind: 'unsupported', what });
}

function majorOf(head = 0): number {
  return Math.floor(head / HEADS_OF_MAJOR);
}

/** Returns the bytes of the argument after a head. */
function argumentBytes(info: number): number {
  return info < ONE_BYTE ? 0 : 2 ** (info - ONE_BYTE);
}

/** Returns the argument of a head, as far as its bytes are there. */
function argumentOf(bytes: Buffer, offset: number, info: number): number {
  if (info < ONE_BYTE) return info;
  let argument = 0;
  for (let index = 1; index <= argumentBytes(info); index += 1) {
    argument = argument * BYTE_VALUES + (bytes[offset + index] ?? 0);
  }
  return argument;
}

function isDigit(byte: number | undefined): boolean {
  return byte !== undefined && byte >= ZERO && byte <= NINE;
}

/** Returns whether a name consists of digits, so that V8 makes an element of its member. */
function isIndex(bytes: Buffer, start: number, lengthBytes: number): boolean {
  // Nearly all names are decided by their first character.
  if (lengthBytes === 0 || !isDigit(bytes[start]) || lengthBytes > MAX_INDEX_DIGITS) return false;
  return bytes.subarray(start, start + lengthBytes).every(isDigit);
}

/**
 * Returns the cost of a CBOR document, or its fault. Only what the encoder writes is supported: with a tag, a
 * few bytes could make the decoder compute for a time that grows with the square of their number, and an item
 * without an announced length cannot be bounded before it is read.
 */
export function measureCbor(bytes: Buffer, maxCostBytes: number): Result<number, DecodeFault> {
  let costBytes = bytes.length * TEXT_COST_FACTOR + VALUE_COST_BYTES;
  let offset = 0;
  /** Items to come of each open list and map; a member of a map has two. The first is the document. */
  const itemsLeft = [1];
  const areMaps = [false];
  let level = 0;
  while (level >= 0) {
    const left = itemsLeft[level] ?? 0;
    const head = bytes[offset];
    if (left === 0) {
      level -= 1;
    } else if (head === undefined) {
      return UNREADABLE;
    } else {
      const info = head % HEADS_OF_MAJOR;
      const major = majorOf(head);
      const isName = left % 2 === 0 && areMaps[level] === true;
      const argument = argumentOf(bytes, offset, info);
      if (info > EIGHT_BYTES) return unsupported('an item without a length');
      if (isName && major !== MAJOR.text) return unsupported('a member without a name');
      offset += 1 + argumentBytes(info);
      itemsLeft[level] = left - 1;
      switch (major) {
        case MAJOR.text:
          if (isName && isIndex(bytes, offset, argument)) costBytes += INDEX_COST_BYTES;
          offset += argument;
          break;
        case MAJOR.bytes:
          costBytes += CONTAINER_COST_BYTES;
          offset += argument;
          break;
        case MAJOR.list:
        case MAJOR.map: {
          const isMap = major === MAJOR.map;
          // Each item takes at least a byte.
          if (argument > bytes.length - offset) return UNREADABLE;
          if (level === MAX_DEPTH) return fail({ kind: 'tooDeep', maxDepth: MAX_DEPTH });
          costBytes += CONTAINER_COST_BYTES + argument * VALUE_COST_BYTES;
          if (isMap) costBytes += argument * MEMBER_COST_BYTES;
          level += 1;
          itemsLeft[level] = isMap ? argument * 2 : argument;
          areMaps[level] = isMap;
          break;
        }
        case MAJOR.tag:
          if (argument !== BYTE_ARRAY_TAG || majorOf(bytes[offset]) !== MAJOR.bytes) {
            return unsupported('a tag');
          }
          // The content is the item that the tag stands for.
          itemsLeft[level] = left;
          break;
        case MAJOR.simple:
          if (info < FIRST_SIMPLE || info === ONE_BYTE) return unsupported('a simple value');
          break;
        default:
      }
      if (offset > bytes.length) return UNREADABLE;
    }
  }
  return limitCost(costBytes, maxCostBytes);
}

/** Decodes a CBOR document whose cost is within the limit. */
export function decodeCbor(
  payload: Uint8Array,
  maxCostBytes: number = heapCostLimit(),
): Result<unknown, DecodeFault> {
  const bytes = Buffer.isBuffer(payload)
    ? payload
    : Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength);
  const cost = measureCbor(bytes, maxCostBytes);
  if (!cost.ok) return cost;
  try {
    return succeed(decoder.decode(bytes));
  } catch {
    return UNREADABLE;
  }
}
