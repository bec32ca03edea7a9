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
const INFO_VALUES = 32;

/** Lower bits of a head from which on an argument of one to eight bytes follows it. */
const ONE_BYTE = 24;
const EIGHT_BYTES = 27;

/** Tag of a byte string that is decoded as `Uint8Array`, the only one that the encoder writes. */
const BYTE_ARRAY_TAG = 64;

/** Simple values that the encoder writes: false, true, null, undefined, and floats of three sizes. */
const FIRST_SIMPLE = 20;

const ZERO = 0x30;
const NINE = 0x39;

/** Longest text that is a number of an element. */
const MAX_INDEX_DIGITS = 10;

function argumentBytes(info: number): number {
  return info < ONE_BYTE ? 0 : 2 ** (info - ONE_BYTE);
}

/** Returns the argument of a head whose bytes are all there. */
function argumentOf(bytes: Buffer, offset: number, info: number): number {
  switch (info) {
    case 24:
      return bytes.readUInt8(offset + 1);
    case 25:
      return bytes.readUInt16BE(offset + 1);
    case 26:
      return bytes.readUInt32BE(offset + 1);
    case EIGHT_BYTES:
      return Number(bytes.readBigUInt64BE(offset + 1));
    default:
      return info;
  }
}

/** Returns whether a name consists of digits, so that V8 makes an element of its member. */
function isIndex(bytes: Buffer, start: number, end: number): boolean {
  if (start === end || end - start > MAX_INDEX_DIGITS) return false;
  return bytes.subarray(start, end).every((byte) => byte >= ZERO && byte <= NINE);
}

const UNREADABLE: DecodeFault = { kind: 'unreadable' };
const TOO_DEEP: DecodeFault = { kind: 'tooDeep', maxDepth: MAX_DEPTH };
const WITHOUT_LENGTH: DecodeFault = { kind: 'unsupported', what: 'an item without a length' };
const WITHOUT_NAME: DecodeFault = { kind: 'unsupported', what: 'a member without a name' };
const TAG: DecodeFault = { kind: 'unsupported', what: 'a tag' };
const SIMPLE_VALUE: DecodeFault = { kind: 'unsupported', what: 'a simple value' };

/**
 * Returns the cost of a CBOR document, or its fault. Only what the encoder writes is supported: with a tag, a
 * few bytes could make the decoder compute for a time that grows with the square of their number, and an item
 * without an announced length cannot be bounded before it is read.
 */
export function measureCbor(bytes: Buffer, maxCostBytes: number): Result<number, DecodeFault> {
  let offset = 0;
  let costBytes = bytes.length * TEXT_COST_FACTOR + VALUE_COST_BYTES;

  const infoAtOffset = (): number => (bytes[offset] ?? 0) % INFO_VALUES;
  const majorAtOffset = (): number => Math.floor((bytes[offset] ?? 0) / INFO_VALUES);

  /** Passes a head and returns its argument, or the fault of one that is not complete. */
  const passHead = (): number | DecodeFault => {
    const info = infoAtOffset();
    if (info > EIGHT_BYTES) return WITHOUT_LENGTH;
    const end = offset + 1 + argumentBytes(info);
    if (end > bytes.length) return UNREADABLE;
    const argument = argumentOf(bytes, offset, info);
    offset = end;
    return argument;
  };

  const passBytes = (lengthBytes: number): DecodeFault | undefined => {
    if (lengthBytes > bytes.length - offset) return UNREADABLE;
    offset += lengthBytes;
    return undefined;
  };

  const passName = (): DecodeFault | undefined => {
    if (majorAtOffset() !== MAJOR.text) return WITHOUT_NAME;
    const lengthBytes = passHead();
    if (typeof lengthBytes === 'object') return lengthBytes;
    const start = offset;
    const fault = passBytes(lengthBytes);
    if (fault === undefined && isIndex(bytes, start, offset)) costBytes += INDEX_COST_BYTES;
    return fault;
  };

  const passItems = (
    count: number,
    passOne: () => DecodeFault | undefined,
  ): DecodeFault | undefined => {
    // Each item takes at least a byte.
    if (count > bytes.length - offset) return UNREADABLE;
    for (let index = 0; index < count; index += 1) {
      const fault = passOne();
      if (fault !== undefined) return fault;
    }
    return undefined;
  };

  const passItem = (depth: number): DecodeFault | undefined => {
    const info = infoAtOffset();
    const major = majorAtOffset();
    const argument = passHead();
    if (typeof argument === 'object') return argument;
    switch (major) {
      case MAJOR.text:
        return passBytes(argument);
      case MAJOR.bytes:
        costBytes += CONTAINER_COST_BYTES;
        return passBytes(argument);
      case MAJOR.list:
        if (depth === MAX_DEPTH) return TOO_DEEP;
        costBytes += CONTAINER_COST_BYTES + argument * VALUE_COST_BYTES;
        return passItems(argument, () => passItem(depth + 1));
      case MAJOR.map:
        if (depth === MAX_DEPTH) return TOO_DEEP;
        costBytes += CONTAINER_COST_BYTES + argument * (MEMBER_COST_BYTES + VALUE_COST_BYTES);
        return passItems(argument, () => passName() ?? passItem(depth + 1));
      case MAJOR.tag:
        return argument === BYTE_ARRAY_TAG && majorAtOffset() === MAJOR.bytes
          ? passItem(depth)
          : TAG;
      case MAJOR.simple:
        return info < FIRST_SIMPLE || info === ONE_BYTE ? SIMPLE_VALUE : undefined;
      default:
        return undefined;
    }
  };

  const fault = passItem(0);
  return fault === undefined ? limitCost(costBytes, maxCostBytes) : fail(fault);
}

/** Decodes a CBOR document whose cost is within the limit. */
export function decodeCbor(
  payload: Uint8Array,
  maxCostBytes: number = heapCostLimit(),
): Result<unknown, DecodeFault> {
  const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength);
  const cost = measureCbor(bytes, maxCostBytes);
  if (!cost.ok) return cost;
  try {
    return succeed(decoder.decode(bytes));
  } catch {
    return fail(UNREADABLE);
  }
}
