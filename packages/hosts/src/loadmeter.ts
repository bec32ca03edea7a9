import type { SchedulerEvent } from '@bronzeyoke/scheduler';
import type { LogEffect } from '@bronzeyoke/telemetry';
import { logEffect } from '@bronzeyoke/telemetry';

/** How one event was handled. */
export interface HandledEvent {
  readonly kind: SchedulerEvent['kind'];
  /** Time from the dispatch of the event until its handling began. */
  readonly waitMs: number;
  readonly durationMs: number;
  /** The event led to a placement pass. */
  readonly hasPlaced: boolean;
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
  };
}

/** Adds an event to a window. */
export function recordEvent(window: LoadWindow, event: HandledEvent): LoadWindow {
  const { kind, waitMs, durationMs, hasPlaced } = event;
  const isLongest = durationMs > window.longestMs;
  return {
    ...window,
    events: window.events + 1,
    passes: window.passes + Number(hasPlaced),
    busyMs: window.busyMs + durationMs,
    longestWaitMs: Math.max(window.longestWaitMs, waitMs),
    longestMs: isLongest ? durationMs : window.longestMs,
    longestPassMs: hasPlaced ? Math.max(window.longestPassMs, durationMs) : window.longestPassMs,
    longestKind: isLongest ? kind : window.longestKind,
  };
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
    pendingRows: rows,
    pendingActions: actions,
    dueGrants: grants,
    lastingAway: away,
  });
}
