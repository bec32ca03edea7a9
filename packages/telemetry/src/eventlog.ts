import type { EventFields, EventName } from './events';
import type { LogLevel } from './log';

/** Writes events as log lines, within a budget. */
export interface EventLog {
  readonly write: (event: EventName, fields: EventFields) => void;
  /** Lines left out because of the budget or of a reader that does not read. */
  readonly droppedLines: () => number;
}

/** Where lines go. `unsentBytes` tells how much the reader has not taken yet. */
export interface LineSink {
  readonly write: (line: string) => void;
  readonly unsentBytes: () => number;
}

/** Lines of one event in a second; more are counted and left out. */
const MAX_LINES_PER_S = 100;

/** Unread bytes after which lines are dropped, so that logging never waits for its reader. */
const MAX_UNSENT_BYTES = 262_144;

const WINDOW_MS = 1_000;

/** bunyan's numbers of levels. */
const LEVEL_NUMBERS: Readonly<Record<LogLevel, number>> = {
  debug: 20,
  info: 30,
  warn: 40,
  error: 50,
};

const WARNINGS: ReadonlySet<EventName> = new Set([
  'dependencyLost',
  'malformed',
  'jobRefused',
  'jobUnanswered',
  'leaderLost',
  'orderLost',
]);

interface Window {
  readonly startMs: number;
  readonly lines: number;
  readonly left: number;
}

/** Makes a log of events in bunyan's line format. The budget is kept for each event by itself. */
export function createEventLog(
  base: Readonly<Record<string, string | number>>,
  sink: LineSink,
  now: () => number,
): EventLog {
  const windows = new Map<EventName, Window>();
  let dropped = 0;
  return {
    write: (event, fields) => {
      const nowMs = now();
      const known = windows.get(event);
      const isFresh = known === undefined || nowMs - known.startMs >= WINDOW_MS;
      const window = isFresh ? { startMs: nowMs, lines: 0, left: known?.left ?? 0 } : known;
      if (window.lines >= MAX_LINES_PER_S || sink.unsentBytes() > MAX_UNSENT_BYTES) {
        dropped += 1;
        windows.set(event, { ...window, left: window.left + 1 });
        return;
      }
      windows.set(event, { startMs: window.startMs, lines: window.lines + 1, left: 0 });
      const line = {
        ...base,
        level: LEVEL_NUMBERS[WARNINGS.has(event) ? 'warn' : 'info'],
        time: new Date(nowMs).toISOString(),
        msg: event,
        ...fields,
        ...(window.left > 0 ? { leftOut: window.left } : {}),
        v: 0,
      };
      sink.write(`${JSON.stringify(line)}\n`);
    },
    droppedLines: () => dropped,
  };
}

/** Standard output as a sink. */
export const STANDARD_OUTPUT: LineSink = {
  write: (line) => {
    process.stdout.write(line);
  },
  unsentBytes: () => process.stdout.writableLength,
};
