import type { EventFields, EventName } from './events';
import { TASK_EVENTS } from './events';
import type { LogLevel } from './log';

/** Log of events with a rate limit for each event. */
export interface EventLog {
  readonly write: (event: EventName, fields: EventFields) => void;
  /** Number of lines dropped because of the rate limit or of a slow reader. */
  readonly droppedLines: () => number;
}

/** Destination of log lines. `unsentBytes` counts the bytes that its reader has not read yet. */
export interface LineSink {
  readonly write: (line: string) => void;
  readonly unsentBytes: () => number;
}

/** Maximum lines per second for each event. Further lines are counted and dropped. */
const MAX_LINES_PER_S = 100;

/** The same for ends of jobs: each has one line, which alone tells where the time of the job went. */
const MAX_JOB_END_LINES_PER_S = 1_000;

/** Part of the maximum of an event about tasks that only lines about lasting tasks may use. */
const RESERVED_LINES_PER_S = 50;

/** Unread bytes after which lines are dropped, so that logging never waits for its reader. */
const MAX_UNSENT_BYTES = 262_144;

const WINDOW_MS = 1_000;

/** Level numbers of bunyan. */
const LEVEL_NUMBERS: Readonly<Record<LogLevel, number>> = {
  debug: 20,
  info: 30,
  warn: 40,
  error: 50,
};

const WARNING_EVENTS: ReadonlySet<EventName> = new Set([
  'dependencyLost',
  'malformed',
  'jobRefused',
  'jobUnanswered',
  'leaderLost',
  'orderLost',
]);

const RESERVING_EVENTS: ReadonlySet<EventName> = new Set(TASK_EVENTS);

/** Lines of an event in the current second. */
interface RateWindow {
  readonly startMs: number;
  readonly lineCount: number;
  /** Number of these lines that may not use the reserved part. */
  readonly unreservedCount: number;
  readonly droppedCount: number;
}

/** Returns the window of a line, with the lines dropped since the last one that was written. */
function windowAt(last: RateWindow | undefined, nowMs: number): RateWindow {
  if (last !== undefined && nowMs - last.startMs < WINDOW_MS) return last;
  return {
    startMs: nowMs,
    lineCount: 0,
    unreservedCount: 0,
    droppedCount: last?.droppedCount ?? 0,
  };
}

function mayUseReserve(event: EventName, fields: EventFields): boolean {
  return !RESERVING_EVENTS.has(event) || fields.isLasting === true;
}

function maxLinesPerS(event: EventName): number {
  return event === 'jobEnded' ? MAX_JOB_END_LINES_PER_S : MAX_LINES_PER_S;
}

function isFull(window: RateWindow, maxLines: number, usesReserve: boolean): boolean {
  if (window.lineCount >= maxLines) return true;
  return !usesReserve && window.unreservedCount >= MAX_LINES_PER_S - RESERVED_LINES_PER_S;
}

/** Creates an event log in bunyan's line format. Each event has its own rate limit. */
export function createEventLog(
  base: Readonly<Record<string, string | number>>,
  sink: LineSink,
  now: () => number,
): EventLog {
  const windows = new Map<EventName, RateWindow>();
  let dropped = 0;
  return {
    write: (event, fields) => {
      const nowMs = now();
      const window = windowAt(windows.get(event), nowMs);
      const usesReserve = mayUseReserve(event, fields);
      const hasNoRoom = isFull(window, maxLinesPerS(event), usesReserve);
      if (hasNoRoom || sink.unsentBytes() > MAX_UNSENT_BYTES) {
        dropped += 1;
        windows.set(event, { ...window, droppedCount: window.droppedCount + 1 });
        return;
      }
      windows.set(event, {
        startMs: window.startMs,
        lineCount: window.lineCount + 1,
        unreservedCount: window.unreservedCount + (usesReserve ? 0 : 1),
        droppedCount: 0,
      });
      const line = {
        ...base,
        level: LEVEL_NUMBERS[WARNING_EVENTS.has(event) ? 'warn' : 'info'],
        time: new Date(nowMs).toISOString(),
        msg: event,
        ...fields,
        ...(window.droppedCount > 0 ? { leftOut: window.droppedCount } : {}),
        v: 0,
      };
      sink.write(`${JSON.stringify(line)}\n`);
    },
    droppedLines: () => dropped,
  };
}

/** Line sink that writes to standard output. */
export const STANDARD_OUTPUT: LineSink = {
  write: (line) => {
    process.stdout.write(line);
  },
  unsentBytes: () => process.stdout.writableLength,
};
