import bunyan from 'bunyan';

/** Levels of log lines, lowest first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A change of state that is worth a line. */
export interface LogEntry {
  readonly level: LogLevel;
  readonly message: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Writes log lines. */
export type Log = (entry: LogEntry) => void;

/** Makes a log that writes bunyan's JSON lines to standard output. */
export function createLog(name: string, level: LogLevel): Log {
  const logger = bunyan.createLogger({ name, level });
  return (entry) => logger[entry.level](entry.fields, entry.message);
}
