import type { EventFields, EventName } from '@bronzeyoke/telemetry';

/** Writes an event to the log of the process. */
export type LogEvent = (event: EventName, fields: EventFields) => void;

/** Receives an error that a decision or a store access has thrown. */
export type ReportError = (error: unknown) => void;
