import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import {
  CONTAINER_COST_BYTES,
  heapCostLimit,
  limitCost,
  MAX_DEPTH,
  MEMBER_COST_BYTES,
  TEXT_COST_FACTOR,
  VALUE_COST_BYTES,
} from './cost';
import type { DecodeFault } from './fault';

const QUOTE = 0x22;
const COMMA = 0x2c;
const COLON = 0x3a;
const OPEN_LIST = 0x5b;
const BACKSLASH = 0x5c;
const CLOSE_LIST = 0x5d;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;

/** Returns the offset of the quote that ends a text. */
function endOfText(bytes: Uint8Array, start: number): number {
  let offset = start;
  while (offset < bytes.length && bytes[offset] !== QUOTE) {
    offset += bytes[offset] === BACKSLASH ? 2 : 1;
  }
  return offset;
}

/**
 * Returns the cost of a JSON document, or its fault when it costs more than the limit or is nested too
 * deep. Whether it is valid is left to the parser, which reads no more values than are counted here.
 */
export function measureJson(bytes: Uint8Array, maxCostBytes: number): Result<number, DecodeFault> {
  let costBytes = bytes.length * TEXT_COST_FACTOR + VALUE_COST_BYTES;
  let depth = 0;
  for (let offset = 0; offset < bytes.length; offset += 1) {
    switch (bytes[offset]) {
      case QUOTE:
        offset = endOfText(bytes, offset + 1);
        break;
      case COMMA:
        costBytes += VALUE_COST_BYTES;
        break;
      case COLON:
        costBytes += MEMBER_COST_BYTES;
        break;
      case OPEN_LIST:
      case OPEN_OBJECT:
        costBytes += CONTAINER_COST_BYTES;
        depth += 1;
        if (depth > MAX_DEPTH) return fail({ kind: 'tooDeep', maxDepth: MAX_DEPTH });
        break;
      case CLOSE_LIST:
      case CLOSE_OBJECT:
        depth -= 1;
        break;
      default:
    }
  }
  return limitCost(costBytes, maxCostBytes);
}

/** Decodes a JSON document whose cost is within the limit. */
export function decodeJson(
  bytes: Buffer,
  maxCostBytes: number = heapCostLimit(),
): Result<unknown, DecodeFault> {
  const cost = measureJson(bytes, maxCostBytes);
  if (!cost.ok) return cost;
  try {
    return succeed(JSON.parse(bytes.toString('utf8')));
  } catch {
    return fail({ kind: 'unreadable' });
  }
}
