import type { EventFields, EventName } from './events';
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

interface RateWindow {
  readonly startMs: number;
  readonly lineCount: number;
  readonly droppedCount: number;
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
      const lastWindow = windows.get(event);
      const isNewWindow = lastWindow === undefined || nowMs - lastWindow.startMs >= WINDOW_MS;
      const window = isNewWindow
        ? { startMs: nowMs, lineCount: 0, droppedCount: lastWindow?.droppedCount ?? 0 }
        : lastWindow;
      if (window.lineCount >= MAX_LINES_PER_S || sink.unsentBytes() > MAX_UNSENT_BYTES) {
        dropped += 1;
        windows.set(event, { ...window, droppedCount: window.droppedCount + 1 });
        return;
      }
      windows.set(event, {
        startMs: window.startMs,
        lineCount: window.lineCount + 1,
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
