import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { MAX_DURATION_MICROS } from './limits';

/** Creates a histogram of durations in microseconds with 1% precision. */
export function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_DURATION_MICROS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}
