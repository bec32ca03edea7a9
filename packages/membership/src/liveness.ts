import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { Step } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import chartFile from '../charts/liveness.json';

/** State chart of the liveness check of one connection to an agent. */
export const livenessChart = compileChart(chartFile, {
  states: ['idle', 'checking', 'pinged', 'silent'],
  events: ['sent', 'recheck', 'allEnded', 'overdue', 'reply', 'timeout'],
  actions: ['scheduleCheck', 'scheduleTimeout', 'sendPing', 'clearSuspicion', 'closeLink'],
});

type LivenessEventName = 'sent' | 'recheck' | 'allEnded' | 'overdue' | 'reply' | 'timeout';

/** Time without a reply after which an agent with attempts in flight is pinged. */
export const PROGRESS_TIMEOUT_MS = 250;

/** Time without a reply to a ping after which a connection is closed as silent. */
export const PING_TIMEOUT_MS = 1_000;

/**
 * Delay of a check beyond which the entry itself was paused. Replies may then still be unread, so
 * the agent is pinged again instead of being disconnected.
 */
const MAX_CHECK_DELAY_MS = 250;

/** State of the liveness check of one connection. */
export interface LinkLiveness {
  readonly phase: StateOf<typeof livenessChart>;
  /** Number of the last scheduled check; checks with another number are stale. */
  readonly sequence: number;
  /** Last reply, or the start of the check. Heartbeats do not show that sent messages arrive. */
  readonly progressAtMs: number;
  readonly pingedAtMs: number;
}

/** Events of the liveness check of a connection. */
export type LivenessEvent =
  /** An attempt was sent or collected. */
  | { readonly kind: 'sent' }
  | { readonly kind: 'replied' }
  | { readonly kind: 'check'; readonly sequence: number; readonly isBusy: boolean }
  | { readonly kind: 'beatsMissed' };

/** Effects of the liveness check, which the shell performs. */
export type LivenessEffect =
  | { readonly kind: 'checkLater'; readonly sequence: number; readonly afterMs: number }
  | { readonly kind: 'ping'; readonly sequence: number }
  | { readonly kind: 'clearSuspicion' }
  | { readonly kind: 'close' };

type LivenessStep = Step<LinkLiveness, LivenessEffect>;

/** Liveness of a new connection. */
export const INITIAL_LIVENESS: LinkLiveness = {
  phase: livenessChart.initial,
  sequence: 0,
  progressAtMs: 0,
  pingedAtMs: 0,
};

function performAction(
  step: LivenessStep,
  action: ActionOf<typeof livenessChart>,
  checkMs: number,
  nowMs: number,
): LivenessStep {
  const { state, effects } = step;
  const sequence = state.sequence + 1;
  switch (action) {
    case 'scheduleCheck':
      return {
        state: { ...state, sequence },
        effects: [...effects, { kind: 'checkLater', sequence, afterMs: checkMs }],
      };
    case 'scheduleTimeout':
      return {
        state: { ...state, sequence },
        effects: [...effects, { kind: 'checkLater', sequence, afterMs: PING_TIMEOUT_MS }],
      };
    case 'sendPing':
      return {
        state: { ...state, pingedAtMs: nowMs },
        effects: [...effects, { kind: 'ping', sequence }],
      };
    case 'clearSuspicion':
    case 'closeLink':
      return {
        state,
        effects: [...effects, { kind: action === 'clearSuspicion' ? 'clearSuspicion' : 'close' }],
      };
    default:
      return assertNever(action);
  }
}

function advanceLiveness(
  liveness: LinkLiveness,
  event: LivenessEventName,
  checkMs: number,
  nowMs: number,
): LivenessStep {
  const next = advance(livenessChart, liveness.phase, event);
  return next.actions.reduce<LivenessStep>(
    (step, action) => performAction(step, action, checkMs, nowMs),
    unchanged({ ...liveness, phase: next.state }),
  );
}

function checkProgress(liveness: LinkLiveness, isBusy: boolean, nowMs: number): LivenessStep {
  if (liveness.phase === 'pinged') {
    const lateMs = nowMs - liveness.pingedAtMs - PING_TIMEOUT_MS;
    return advanceLiveness(liveness, lateMs > MAX_CHECK_DELAY_MS ? 'overdue' : 'timeout', 0, nowMs);
  }
  if (!isBusy) return advanceLiveness(liveness, 'allEnded', 0, nowMs);
  const leftMs = PROGRESS_TIMEOUT_MS - (nowMs - liveness.progressAtMs);
  return advanceLiveness(liveness, leftMs > 0 ? 'recheck' : 'overdue', leftMs, nowMs);
}

/** Applies one event to the liveness check of a connection. */
export function stepLiveness(
  liveness: LinkLiveness,
  event: LivenessEvent,
  nowMs: number,
): LivenessStep {
  switch (event.kind) {
    case 'sent': {
      const started = liveness.phase === 'idle' ? { ...liveness, progressAtMs: nowMs } : liveness;
      return advanceLiveness(started, 'sent', PROGRESS_TIMEOUT_MS, nowMs);
    }
    case 'replied':
      return advanceLiveness(
        { ...liveness, progressAtMs: nowMs },
        'reply',
        PROGRESS_TIMEOUT_MS,
        nowMs,
      );
    case 'check':
      return event.sequence === liveness.sequence
        ? checkProgress(liveness, event.isBusy, nowMs)
        : unchanged(liveness);
    case 'beatsMissed':
      return liveness.phase === 'pinged'
        ? unchanged(liveness)
        : advanceLiveness(liveness, 'overdue', 0, nowMs);
    default:
      return assertNever(event);
  }
}
