import type { Pool } from './types';

/** Share of requests that may be sent again, as retries or hedges. */
export const RETRY_SHARE = 0.1;

/** Retries that may follow each other at once, so that one lost upstream can be made up for. */
export const RETRY_BURST = 20;

/** Adds the share of one more request to the budget. */
export function depositRetry(pool: Pool): Pool {
  return { ...pool, retryTokens: Math.min(RETRY_BURST, pool.retryTokens + RETRY_SHARE) };
}

/** Takes one retry or hedge from the budget, or nothing when it is spent. */
export function withdrawRetry(pool: Pool): Pool | undefined {
  return pool.retryTokens < 1 ? undefined : { ...pool, retryTokens: pool.retryTokens - 1 };
}
