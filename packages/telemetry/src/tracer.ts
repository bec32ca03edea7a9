import type { Tracer, TracingOptions } from './span';

/** Loads the exporter and creates a tracer. Processes without tracing do not load OpenTelemetry. */
export async function createTracer(options: TracingOptions): Promise<Tracer> {
  const { createOtlpTracer } = await import('./otlp');
  return createOtlpTracer(options);
}
