/** State of a token bucket, which limits how often something may happen. */
export interface Bucket {
  readonly tokens: number;
  readonly refilledAtMs: number;
}

/** Refill rate and capacity of a token bucket. */
export interface BucketLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Bucket after an attempt to take a token, and the time to wait if it was empty. */
export interface TakeResult {
  readonly bucket: Bucket;
  readonly retryAfterMs?: number;
}

/** Takes one token from a bucket. An unused bucket is full. */
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
