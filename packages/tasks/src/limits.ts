/** A claim that arrives later than this after the offer was accepted is void (P4). */
export const CLAIM_LIMIT_MS = 2_000;

/** How long room is kept for urgent work; its owner repeats the offer meanwhile. */
export const CAPACITY_HOLD_MS = 8_000;

/** Length of the worker lease. */
export const LEASE_MS = 30_000;

/** Time between renewals of the worker lease. */
export const RENEW_INTERVAL_MS = 10_000;

/** Time without a reply after which another link is tried; it doubles up to the limit below. */
export const RENEW_RETRY_MS = 1_000;

/** Longest time between tries, so that an outage of the store does not multiply the traffic. */
export const MAX_RETRY_MS = 5_000;

/** How long a registration is repeated under the same token. */
export const TOKEN_REUSE_MS = 10_000;

/** Tasks' leases at the worker end this much before the worker lease, for clocks that differ. */
export const LEASE_MARGIN_MS = 2_000;

/** Time for checkpoints and stops before the tasks' leases end. */
export const EVICT_LEAD_MS = 5_000;

/** How long replies to our own registrations are awaited when a higher incarnation shows up. */
export const DISPUTE_MS = 5_000;

/** Time that an agent which another one replaced still waits for its last reports to be recorded. */
export const FINAL_REPORTS_MS = 5_000;

/** Time between ticks. */
export const TICK_MS = 500;

/** A command to the worker without a reply is given up after this time. */
export const CALL_TIMEOUT_MS = 3_000;

/** Time that a start still in flight may take beyond its own bound to show in a listing. */
export const START_SETTLE_MS = 1_000;

/** Time between tries of a checkpoint that failed. */
export const CHECKPOINT_RETRY_MS = 5_000;

/** Time between tries of a stop that was not confirmed. */
export const STOP_RETRY_MS = 1_000;

/** Time between repeats of a report that is not recorded. */
export const REPORT_REPEAT_MS = 2_000;

/** Most reports that are repeated in one tick, for the limit of 3 KB/s on each node. */
export const REPEATS_PER_TICK = 8;

/** Most reports that wait; an agent with this many tasks and reports declines offers. */
export const MAX_REPORTS = 1_024;

/** Most past offers and epochs that are remembered. */
export const MAX_RECENT = 1_024;

/** Time between polls of a worker that runs no task of this agent. */
export const IDLE_POLL_MS = 5_000;
