import type { Labels } from './metrics';
import type { TraceContext } from './context';

/** A finished span. Times are wall-clock milliseconds. */
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

/** Takes finished spans. */
export interface Tracer {
  readonly record: (span: SpanRecord) => void;
  /** Sends what is left. */
  readonly close: () => Promise<void>;
}

/** Where spans go and how many traces there are. */
export interface TracingOptions {
  readonly endpoint: string;
  readonly serviceName: string;
  readonly instanceId: string;
}

/** Loads the exporter and makes a tracer. Processes that do not trace never load OpenTelemetry. */
export async function createTracer(options: TracingOptions): Promise<Tracer> {
  const { createOtlpTracer } = await import('./otlp');
  return createOtlpTracer(options);
}
