import type { Pool } from './types';

/** Retries and hedges allowed for each request, as a share. */
export const RETRY_SHARE = 0.1;

/** Retries that may be sent in a burst, enough to replace the attempts of one lost upstream. */
export const RETRY_BURST = 20;

/** Adds the share of one request to the retry budget. */
export function depositRetry(pool: Pool): Pool {
  return { ...pool, retryTokens: Math.min(RETRY_BURST, pool.retryTokens + RETRY_SHARE) };
}

/** Takes one retry or hedge from the budget, or returns undefined if the budget is exhausted. */
export function withdrawRetry(pool: Pool): Pool | undefined {
  return pool.retryTokens < 1 ? undefined : { ...pool, retryTokens: pool.retryTokens - 1 };
}
