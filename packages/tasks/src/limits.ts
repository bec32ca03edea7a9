/** A claim that arrives later than this after the offer was accepted is void (P4). */
export const CLAIM_LIMIT_MS = 2_000;

/** How long capacity is held for urgent work, while its owner repeats the offer. */
export const CAPACITY_HOLD_MS = 8_000;

/** Duration of the worker lease. */
export const LEASE_MS = 30_000;

/** Time between renewals of the worker lease. */
export const RENEW_INTERVAL_MS = 10_000;

/** Time without a reply after which another link is tried; it doubles up to `MAX_RETRY_MS`. */
export const RENEW_RETRY_MS = 1_000;

/** Longest time between retries, so that an outage of the store does not multiply the traffic. */
export const MAX_RETRY_MS = 5_000;

/** How long a registration is repeated under the same token. */
export const TOKEN_REUSE_MS = 10_000;

/** Tasks' leases at the worker end this much before the worker lease, for clocks that differ. */
export const LEASE_MARGIN_MS = 2_000;

/** Time for checkpoints and stops before the tasks' leases end. */
export const EVICT_LEAD_MS = 5_000;

/** How long to wait for replies to own registrations after a higher incarnation is seen. */
export const DISPUTE_MS = 5_000;

/** How long a replaced agent waits for its last reports to be recorded. */
export const FINAL_REPORTS_MS = 5_000;

/** Time between ticks. */
export const TICK_MS = 500;

/** Time after which a call to the worker without a reply counts as failed. */
export const CALL_TIMEOUT_MS = 3_000;

/** Time beyond its bound that a start in flight may take to appear in a listing. */
export const START_SETTLE_MS = 1_000;

/** Time before a failed checkpoint is retried. */
export const CHECKPOINT_RETRY_MS = 5_000;

/** Time before an unconfirmed stop is retried. */
export const STOP_RETRY_MS = 1_000;

/** Time between repeats of a report that is not recorded yet. */
export const REPORT_REPEAT_MS = 2_000;

/** Maximum number of reports repeated in one tick, to stay within 3 KB/s on each worker. */
export const REPEATS_PER_TICK = 8;

/** Maximum number of pending reports. An agent with as many tasks and reports declines offers. */
export const MAX_REPORTS = 1_024;

/** Maximum number of past offers, and of epochs, that are kept. */
export const MAX_RECENT = 1_024;

/** Time between polls for notices of a worker that runs no task of this agent. */
export const IDLE_POLL_MS = 5_000;
