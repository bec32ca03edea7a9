/** Requests that a token may still make. */
export interface Bucket {
  readonly tokens: number;
  readonly refilledAtMs: number;
}

/** How fast a bucket fills, and how much it holds. */
export interface BucketLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** The bucket after an attempt to take from it, and how long to wait if it was empty. */
export interface TakeResult {
  readonly bucket: Bucket;
  readonly retryAfterMs?: number;
}

/** Takes one token from a bucket; a bucket that was never used is full. */
export function takeToken(
  bucket: Bucket | undefined,
  limit: BucketLimit,
  nowMs: number,
): TakeResult {
  const { ratePerSecond, burst } = limit;
  const elapsedMs = bucket === undefined ? 0 : Math.max(0, nowMs - bucket.refilledAtMs);
  const filled = Math.min(burst, (bucket?.tokens ?? burst) + (elapsedMs * ratePerSecond) / 1_000);
  if (filled >= 1) return { bucket: { tokens: filled - 1, refilledAtMs: nowMs } };
  const retryAfterMs = Math.ceil(((1 - filled) / ratePerSecond) * 1_000);
  return { bucket: { tokens: filled, refilledAtMs: nowMs }, retryAfterMs };
}
