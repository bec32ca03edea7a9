/** Times of a deployment from which those of the scheduler are derived. */
export interface DeploymentTimes {
  /** Longest lease that a worker accepts. */
  readonly maxLeaseMs: number;
  /** Time after which another holder may act on a matter. */
  readonly holderLeaseMs: number;
  /** How long ended jobs are shown. */
  readonly statusMs: number;
}

/** Times of the scheduler, in ms. */
export interface SchedulerTimes {
  /** Between two writes of the leader's lease row. */
  readonly renewMs: number;
  /** A lease row that stays unchanged for so long may be taken over. */
  readonly takeoverAfterMs: number;
  /** How long a leader without the store goes on granting leases to agents. */
  readonly grantWindowMs: number;
  /** Length of the lease that an agent is granted for its worker. */
  readonly agentLeaseMs: number;
  /** Margin for clocks that run at different rates. */
  readonly marginMs: number;
  readonly statusMs: number;
}

/** Longest grant: a lost machine's tasks are restarted after it. */
const MAX_AGENT_LEASE_MS = 5_000;
const MAX_GRANT_WINDOW_MS = 6_000;
const MAX_TAKEOVER_MS = 1_800;

/** Part of the time after which another holder may act that a silent leader is given. */
const TAKEOVER_SHARE = 0.6;

/** Parts of the longest lease that a worker accepts. */
const AGENT_LEASE_SHARE = 0.5;
const GRANT_WINDOW_SHARE = 0.6;
const RENEWALS_BEFORE_TAKEOVER = 4.5;
/** Workers' clocks may be 2% slow; the rest is for rounding and timers. */
const MARGIN_SHARE = 0.03;
const MARGIN_MS = 150;

/** Derives the times of the scheduler. */
export function deriveTimes(bounds: DeploymentTimes): SchedulerTimes {
  const takeoverAfterMs = Math.min(MAX_TAKEOVER_MS, bounds.holderLeaseMs * TAKEOVER_SHARE);
  const agentLeaseMs = Math.min(MAX_AGENT_LEASE_MS, bounds.maxLeaseMs * AGENT_LEASE_SHARE);
  return {
    renewMs: takeoverAfterMs / RENEWALS_BEFORE_TAKEOVER,
    takeoverAfterMs,
    grantWindowMs: Math.min(MAX_GRANT_WINDOW_MS, bounds.maxLeaseMs * GRANT_WINDOW_SHARE),
    agentLeaseMs,
    marginMs: agentLeaseMs * MARGIN_SHARE + MARGIN_MS,
    statusMs: bounds.statusMs,
  };
}
