import type { LogEffect } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';

/** Belief about whether a dependency answers. `sinceMs` is the time of the first failed call. */
export type Reachability =
  | { readonly kind: 'reachable' }
  | { readonly kind: 'failing'; readonly sinceMs: number }
  | { readonly kind: 'lost'; readonly sinceMs: number };

/** Belief and log lines after the result of a call. */
export interface ReachabilityStep {
  readonly state: Reachability;
  readonly logs: readonly LogEffect[];
}

/** Belief before the first call. */
export const REACHABLE: Reachability = { kind: 'reachable' };

/** Time without an answer after which a dependency counts as lost. */
const LOST_AFTER_MS = 500;

function logOutage(
  event: 'dependencyLost' | 'dependencyRegained',
  what: string,
  durationMs: number,
): readonly LogEffect[] {
  return [logEffect(event, { what, outageMs: Math.round(durationMs) })];
}

/**
 * Updates the belief with the result of a call. A dependency is lost once calls have failed for
 * `LOST_AFTER_MS` without an answer between them, and regained with the next answer.
 */
export function updateReachability(
  state: Reachability,
  what: string,
  isAnswered: boolean,
  nowMs: number,
): ReachabilityStep {
  switch (state.kind) {
    case 'reachable':
      return { state: isAnswered ? state : { kind: 'failing', sinceMs: nowMs }, logs: [] };
    case 'failing': {
      if (isAnswered) return { state: REACHABLE, logs: [] };
      const { sinceMs } = state;
      if (nowMs - sinceMs < LOST_AFTER_MS) return { state, logs: [] };
      const logs = logOutage('dependencyLost', what, nowMs - sinceMs);
      return { state: { kind: 'lost', sinceMs }, logs };
    }
    case 'lost': {
      if (!isAnswered) return { state, logs: [] };
      const logs = logOutage('dependencyRegained', what, nowMs - state.sinceMs);
      return { state: REACHABLE, logs };
    }
    default:
      return assertNever(state);
  }
}
