import type { Labels } from './metrics';
import type { TraceContext } from './context';

/** Finished span. Times are wall-clock milliseconds. */
export interface SpanRecord {
  readonly name: string;
  readonly kind: 'server' | 'client' | 'internal';
  readonly context: TraceContext;
  readonly parentSpanId?: string;
  readonly startMs: number;
  readonly endMs: number;
  readonly attributes: Labels;
  readonly isError: boolean;
}

/** Records and exports finished spans. */
export interface Tracer {
  readonly record: (span: SpanRecord) => void;
  /** Sends the remaining spans. */
  readonly close: () => Promise<void>;
}

/** Collector of the spans, and the process that sends them. */
export interface TracingOptions {
  readonly endpoint: string;
  readonly serviceName: string;
  readonly instanceId: string;
}
