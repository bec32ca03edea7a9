import type { SchedulerEvent, SchedulerState, SchedulerStep } from '@bronzeyoke/scheduler';
import type { LogEffect } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';
import { assertNever } from '@bronzeyoke/types';

/** How one event was handled. */
export interface HandledEvent {
  readonly kind: SchedulerEvent['kind'];
  /** Time from the dispatch of the event until its handling began. */
  readonly waitMs: number;
  readonly durationMs: number;
  /** The event led to a placement pass. */
  readonly hasPlaced: boolean;
  /** Start orders that were sent, and ends of runs that were handled for the first time. */
  readonly starts: number;
  readonly ends: number;
}

/** What a scheduler has handled since its last line about it. */
export interface LoadWindow {
  readonly startMs: number;
  readonly events: number;
  readonly passes: number;
  readonly busyMs: number;
  readonly longestWaitMs: number;
  readonly longestMs: number;
  readonly longestPassMs: number;
  readonly longestKind: string;
  readonly starts: number;
  readonly ends: number;
  /** Longest wait of an answer of the store: placement and start orders wait as long. */
  readonly longestStoreWaitMs: number;
  readonly msByGroup: Readonly<Record<EventGroup, number>>;
}

/** What the processor time of a scheduler goes to: events with a placement pass, and others by their source. */
type EventGroup = 'pass' | 'agents' | 'store' | 'other';

const NO_TIME: LoadWindow['msByGroup'] = { pass: 0, agents: 0, store: 0, other: 0 };

function groupOf({ kind, hasPlaced }: HandledEvent): EventGroup {
  if (hasPlaced) return 'pass';
  switch (kind) {
    case 'linkOpened':
    case 'received':
    case 'linkClosed':
      return 'agents';
    case 'commitDone':
    case 'rangeDone':
    case 'jobRows':
    case 'leaderRow':
      return 'store';
    case 'tick':
    case 'passTook':
    case 'loadMeasured':
    case 'clockGap':
    case 'configChanged':
    case 'timesChanged':
    case 'domainsOut':
    case 'holderAnswered':
    case 'stop':
      return 'other';
    default:
      return assertNever(kind);
  }
}

/** Returns what an event has started and ended. */
export function countTasks(
  before: SchedulerState,
  event: SchedulerEvent,
  { state, effects }: SchedulerStep,
): Pick<HandledEvent, 'starts' | 'ends'> {
  const starts = effects.filter(
    (effect) => effect.kind === 'send' && effect.message.kind === 'start',
  ).length;
  if (event.kind !== 'received' || event.message.kind !== 'report') return { starts, ends: 0 };
  const { workerKey, ended } = event.message;
  const handled = state.workers.get(workerKey)?.handledSequence ?? 0;
  const known = before.workers.get(workerKey)?.handledSequence ?? 0;
  const ends = ended.filter(({ sequence }) => sequence > known && sequence <= handled).length;
  return { starts, ends };
}

/** Time between two lines of a leader, and of one whose events have waited long. */
const QUIET_INTERVAL_MS = 10_000;
const BUSY_INTERVAL_MS = 1_000;

/** Wait of an event from which on a leader counts as overloaded: a renewal may wait as long. */
const OVERLOADED_WAIT_MS = 200;

/** Returns a window that begins now. */
export function openWindow(startMs: number): LoadWindow {
  return {
    startMs,
    events: 0,
    passes: 0,
    busyMs: 0,
    longestWaitMs: 0,
    longestMs: 0,
    longestPassMs: 0,
    longestKind: '',
    starts: 0,
    ends: 0,
    longestStoreWaitMs: 0,
    msByGroup: NO_TIME,
  };
}

/** Adds an event to a window. */
export function recordEvent(window: LoadWindow, event: HandledEvent): LoadWindow {
  const { kind, waitMs, durationMs, hasPlaced, starts, ends } = event;
  const { msByGroup, longestStoreWaitMs } = window;
  const isLongest = durationMs > window.longestMs;
  const group = groupOf(event);
  const isAnswer = kind === 'commitDone' || kind === 'rangeDone';
  return {
    ...window,
    events: window.events + 1,
    passes: window.passes + Number(hasPlaced),
    busyMs: window.busyMs + durationMs,
    longestWaitMs: Math.max(window.longestWaitMs, waitMs),
    longestMs: isLongest ? durationMs : window.longestMs,
    longestPassMs: hasPlaced ? Math.max(window.longestPassMs, durationMs) : window.longestPassMs,
    longestKind: isLongest ? kind : window.longestKind,
    starts: window.starts + starts,
    ends: window.ends + ends,
    longestStoreWaitMs: isAnswer ? Math.max(longestStoreWaitMs, waitMs) : longestStoreWaitMs,
    msByGroup: { ...msByGroup, [group]: msByGroup[group] + durationMs },
  };
}

/** Longest wait of an event since the scheduler was last told of it. */
export interface WaitWindow {
  readonly startMs: number;
  readonly waitMs: number;
  /** When the last tick was handled; absent before the first one. */
  readonly tickedAtMs?: number;
}

/** Length of a window of waits. Several of them show within a second that a leader falls behind. */
const WAIT_WINDOW_MS = 100;

/** Returns a window of waits that begins now. */
export function openWaits(startMs: number): WaitWindow {
  return { startMs, waitMs: 0 };
}

/**
 * Adds an event that is handled now to a window of waits. A tick that comes late shows a slow process
 * also at an entry that has nothing else to do.
 */
export function recordWait(
  window: WaitWindow,
  { kind, waitMs }: Pick<HandledEvent, 'kind' | 'waitMs'>,
  tickMs: number,
  nowMs: number,
): WaitWindow {
  const { tickedAtMs = nowMs } = window;
  const lateMs = kind === 'tick' ? nowMs - tickedAtMs - tickMs : 0;
  return {
    ...window,
    waitMs: Math.max(window.waitMs, waitMs, lateMs),
    ...(kind === 'tick' ? { tickedAtMs: nowMs } : {}),
  };
}

/** Returns whether a window of waits is over. */
export function areWaitsDue({ startMs }: WaitWindow, nowMs: number): boolean {
  return nowMs - startMs >= WAIT_WINDOW_MS;
}

/** Returns the window of waits that follows another one. */
export function nextWaits(window: WaitWindow, nowMs: number): WaitWindow {
  return { ...window, startMs: nowMs, waitMs: 0 };
}

/** What waits when a window ends. */
export interface Backlog {
  readonly rows: number;
  readonly actions: number;
  /** Workers whose last report has not been answered with a grant. */
  readonly grants: number;
  /** Lasting tasks that do not work. */
  readonly away: number;
}

/** Returns the line about a window that has ended; undefined while it goes on. */
export function closeWindow(
  window: LoadWindow,
  { rows, actions, grants, away }: Backlog,
  nowMs: number,
): LogEffect | undefined {
  const isBusy = window.longestWaitMs >= OVERLOADED_WAIT_MS;
  const openMs = nowMs - window.startMs;
  if (openMs < (isBusy ? BUSY_INTERVAL_MS : QUIET_INTERVAL_MS)) return undefined;
  return logEffect('leaderLoad', {
    isOverloaded: isBusy,
    overMs: Math.round(openMs),
    events: window.events,
    passes: window.passes,
    busyShare: Math.round((window.busyMs / openMs) * 100) / 100,
    longestWaitMs: Math.round(window.longestWaitMs),
    longestMs: Math.round(window.longestMs),
    longestKind: window.longestKind,
    longestPassMs: Math.round(window.longestPassMs),
    longestStoreWaitMs: Math.round(window.longestStoreWaitMs),
    starts: window.starts,
    ends: window.ends,
    passMs: Math.round(window.msByGroup.pass),
    agentsMs: Math.round(window.msByGroup.agents),
    storeMs: Math.round(window.msByGroup.store),
    otherMs: Math.round(window.msByGroup.other),
    pendingRows: rows,
    pendingActions: actions,
    dueGrants: grants,
    lastingAway: away,
  });
}
