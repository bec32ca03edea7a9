import bunyan from 'bunyan';

/** Levels of log lines, lowest first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Log line about a change of state. */
export interface LogEntry {
  readonly level: LogLevel;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Function that writes a log line. */
export type Log = (entry: LogEntry) => void;

/** Creates a log that writes bunyan's JSON lines to standard output. */
export function createLog(name: string, level: LogLevel): Log {
  const logger = bunyan.createLogger({ name, level });
  return (entry) => logger[entry.level](entry.fields, entry.message);
}
