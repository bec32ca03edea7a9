import type { Result } from '@bronzeyoke/types';
import { heapCostLimit } from './cost';
import type { DecodeFault } from './fault';
import { decodeJson } from './json';

/** Cost that each part may have, however few bytes of them all it has. */
const PART_FLOOR_BYTES = 16_384;

/**
 * Decodes documents that came together, such as the values of the rows of an answer. Together they cost about
 * the limit at most: each may cost as much of it as its share of the bytes, so that an odd one takes nothing
 * from the others. The values of a page of rows within 1 MB, as the store answers, never exceed their shares.
 */
export function decodeJsonParts(
  parts: readonly Buffer[],
  maxCostBytes: number = heapCostLimit(),
): readonly Result<unknown, DecodeFault>[] {
  const totalBytes = parts.reduce((sum, { length }) => sum + length, 0);
  return parts.map((part) => {
    const shareBytes = (maxCostBytes * part.length) / totalBytes;
    return decodeJson(part, Math.max(PART_FLOOR_BYTES, shareBytes));
  });
}
