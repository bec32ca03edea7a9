/** Times of a deployment from which those of the scheduler are derived. */
export interface DeploymentTimes {
  /** Longest lease that a worker accepts. */
  readonly maxLeaseMs: number;
  /** Time after which another holder may take over from a silent one. */
  readonly holderLeaseMs: number;
  /** Time for which the status of an ended job stays available. */
  readonly statusMs: number;
}

/** What the machine of an entry offers to it. */
export interface EntryCapacity {
  readonly processors: number;
  readonly linkMbps: number;
}

/** Times of the scheduler, in ms. */
export interface SchedulerTimes {
  /** Interval between two writes of the leader's lease row. */
  readonly renewMs: number;
  /** Time after which another entry may take over an unchanged lease row. */
  readonly takeoverAfterMs: number;
  /** Time for which a leader keeps granting leases to agents without reaching the store. */
  readonly grantWindowMs: number;
  /** Duration of the lease that an agent is granted for its worker. */
  readonly agentLeaseMs: number;
  /** Margin for clocks that run at different rates. */
  readonly marginMs: number;
  /** Longest time from a call to the end of a lease that it sets on a worker. */
  readonly maxLeaseEndMs: number;
  readonly statusMs: number;
}

/** Longest lease of an agent. The tasks of a lost machine restart only after it. */
const MAX_AGENT_LEASE_MS = 5_000;
const MAX_GRANT_WINDOW_MS = 2_000;
const MAX_TAKEOVER_MS = 1_800;

/** Share of `holderLeaseMs` after which a silent leader is replaced. */
const TAKEOVER_SHARE = 0.6;

/** Shares of `maxLeaseMs`. */
const AGENT_LEASE_SHARE = 0.5;
const GRANT_WINDOW_SHARE = 0.2;
const RENEWALS_BEFORE_TAKEOVER = 4.5;
/** Workers' clocks may be 2% slow; the rest is for rounding and timers. */
const MARGIN_SHARE = 0.03;
const MARGIN_MS = 150;

/** Derives the times of the scheduler from those of the deployment. */
export function deriveTimes(bounds: DeploymentTimes): SchedulerTimes {
  const takeoverAfterMs = Math.min(MAX_TAKEOVER_MS, bounds.holderLeaseMs * TAKEOVER_SHARE);
  const agentLeaseMs = Math.min(MAX_AGENT_LEASE_MS, bounds.maxLeaseMs * AGENT_LEASE_SHARE);
  return {
    renewMs: takeoverAfterMs / RENEWALS_BEFORE_TAKEOVER,
    takeoverAfterMs,
    grantWindowMs: Math.min(MAX_GRANT_WINDOW_MS, bounds.maxLeaseMs * GRANT_WINDOW_SHARE),
    agentLeaseMs,
    marginMs: agentLeaseMs * MARGIN_SHARE + MARGIN_MS,
    maxLeaseEndMs: bounds.maxLeaseMs * (1 + MARGIN_SHARE) + MARGIN_MS,
    statusMs: bounds.statusMs,
  };
}

/** Capacity with which an entry can lead without delay. */
export const FULL_CAPACITY: EntryCapacity = { processors: 0.6, linkMbps: 100 };

/** Longer than a poll interval with its random spread, so that an entry with full capacity goes first. */
const MAX_CLAIM_DELAY_MS = 700;

/**
 * Returns how long an entry leaves a free lease to others. A leader talks to all agents and writes all
 * progress, which is more than a small machine or a narrow link can bear.
 */
export function claimDelayMs({ processors, linkMbps }: EntryCapacity): number {
  const share = Math.min(
    1,
    processors / FULL_CAPACITY.processors,
    linkMbps / FULL_CAPACITY.linkMbps,
  );
  return Math.round(MAX_CLAIM_DELAY_MS * (1 - share));
}
