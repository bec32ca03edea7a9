import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { advance, compileChart } from '@bronzeyoke/chart';
import type { Step } from '@bronzeyoke/types';
import { assertNever, unchanged } from '@bronzeyoke/types';
import chartFile from '../charts/watch.json';

/** Life of the watch over one connection to an agent. */
export const watchChart = compileChart(chartFile, {
  states: ['quiet', 'watching', 'pinged', 'silent'],
  events: ['sent', 'wait', 'rest', 'miss', 'reply', 'silence'],
  actions: ['armCheck', 'armSilence', 'sendPing', 'trust', 'closeLink'],
});

type WatchEventName = 'sent' | 'wait' | 'rest' | 'miss' | 'reply' | 'silence';

/** Time without progress after which an agent with an attempt in flight is pinged. */
export const PROGRESS_LIMIT_MS = 250;

/** Time without a reply to a ping after which a connection counts as silent. */
export const SILENCE_LIMIT_MS = 1_000;

/**
 * A check that comes later than this shows that the entry itself was paused. Replies may then wait
 * unread, so the agent is pinged again instead of being given up.
 */
const LATE_CHECK_MS = 250;

/** The watch over one connection. */
export interface LinkWatch {
  readonly phase: StateOf<typeof watchChart>;
  /** Number of the last check that was scheduled; checks with another number are stale. */
  readonly sequence: number;
  /** Last reply, or the start of the watch. Beats do not count: they say nothing of what arrives. */
  readonly progressAtMs: number;
  readonly pingedAtMs: number;
}

/** What concerns the watch over a connection. */
export type WatchEvent =
  /** An attempt was sent or asked about. */
  | { readonly kind: 'sent' }
  | { readonly kind: 'replied' }
  | { readonly kind: 'check'; readonly sequence: number; readonly isBusy: boolean }
  | { readonly kind: 'beatsMissed' };

/** What the shell has to do for the watch. */
export type WatchEffect =
  | { readonly kind: 'checkLater'; readonly sequence: number; readonly afterMs: number }
  | { readonly kind: 'ping'; readonly sequence: number }
  | { readonly kind: 'trust' }
  | { readonly kind: 'close' };

type WatchStep = Step<LinkWatch, WatchEffect>;

/** The watch over a new connection. */
export const NEW_WATCH: LinkWatch = {
  phase: watchChart.initial,
  sequence: 0,
  progressAtMs: 0,
  pingedAtMs: 0,
};

function act(
  step: WatchStep,
  action: ActionOf<typeof watchChart>,
  checkMs: number,
  nowMs: number,
): WatchStep {
  const { state, effects } = step;
  const sequence = state.sequence + 1;
  switch (action) {
    case 'armCheck':
      return {
        state: { ...state, sequence },
        effects: [...effects, { kind: 'checkLater', sequence, afterMs: checkMs }],
      };
    case 'armSilence':
      return {
        state: { ...state, sequence },
        effects: [...effects, { kind: 'checkLater', sequence, afterMs: SILENCE_LIMIT_MS }],
      };
    case 'sendPing':
      return {
        state: { ...state, pingedAtMs: nowMs },
        effects: [...effects, { kind: 'ping', sequence }],
      };
    case 'trust':
    case 'closeLink':
      return { state, effects: [...effects, { kind: action === 'trust' ? 'trust' : 'close' }] };
    default:
      return assertNever(action);
  }
}

function apply(watch: LinkWatch, event: WatchEventName, checkMs: number, nowMs: number): WatchStep {
  const next = advance(watchChart, watch.phase, event);
  return next.actions.reduce<WatchStep>(
    (step, action) => act(step, action, checkMs, nowMs),
    unchanged({ ...watch, phase: next.state }),
  );
}

function check(watch: LinkWatch, isBusy: boolean, nowMs: number): WatchStep {
  if (watch.phase === 'pinged') {
    const lateMs = nowMs - watch.pingedAtMs - SILENCE_LIMIT_MS;
    return apply(watch, lateMs > LATE_CHECK_MS ? 'miss' : 'silence', 0, nowMs);
  }
  if (!isBusy) return apply(watch, 'rest', 0, nowMs);
  const leftMs = PROGRESS_LIMIT_MS - (nowMs - watch.progressAtMs);
  return apply(watch, leftMs > 0 ? 'wait' : 'miss', leftMs, nowMs);
}

/** Decides whether a connection still works. */
export function stepWatch(watch: LinkWatch, event: WatchEvent, nowMs: number): WatchStep {
  switch (event.kind) {
    case 'sent': {
      const started = watch.phase === 'quiet' ? { ...watch, progressAtMs: nowMs } : watch;
      return apply(started, 'sent', PROGRESS_LIMIT_MS, nowMs);
    }
    case 'replied':
      return apply({ ...watch, progressAtMs: nowMs }, 'reply', PROGRESS_LIMIT_MS, nowMs);
    case 'check':
      return event.sequence === watch.sequence
        ? check(watch, event.isBusy, nowMs)
        : unchanged(watch);
    case 'beatsMissed':
      return watch.phase === 'pinged' ? unchanged(watch) : apply(watch, 'miss', 0, nowMs);
    default:
      return assertNever(event);
  }
}
