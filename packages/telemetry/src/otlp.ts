import { ROOT_CONTEXT, SpanKind, SpanStatusCode, TraceFlags, trace } from '@opentelemetry/api';
import type { Context } from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';
import type { Labels } from './metrics';
import type { SpanRecord, Tracer, TracingOptions } from './span';

type Resource = NonNullable<
  NonNullable<ConstructorParameters<typeof BasicTracerProvider>[0]>['resource']
>;

const SPAN_KINDS = {
  server: SpanKind.SERVER,
  client: SpanKind.CLIENT,
  internal: SpanKind.INTERNAL,
} as const;

const EXPORT_INTERVAL_MS = 1_000;
const EXPORT_TIMEOUT_MS = 5_000;
const MAX_QUEUED_SPANS = 2_048;

function parentContext(span: SpanRecord): Context {
  return span.parentSpanId === undefined
    ? ROOT_CONTEXT
    : trace.setSpanContext(ROOT_CONTEXT, {
        traceId: span.context.traceId,
        spanId: span.parentSpanId,
        traceFlags: TraceFlags.SAMPLED,
        isRemote: true,
      });
}

function createResource(attributes: Labels): Resource {
  const resource: Resource = {
    attributes,
    merge: () => resource,
    getRawAttributes: () => Object.entries(attributes),
  };
  return resource;
}

/** Creates a tracer that sends spans as OTLP/HTTP JSON. Spans beyond the queue are dropped. */
export function createOtlpTracer(options: TracingOptions): Tracer {
  const exporter = new OTLPTraceExporter({
    url: options.endpoint,
    timeoutMillis: EXPORT_TIMEOUT_MS,
  });
  // The ids are chosen when a hop starts, because the next hop carries them. The span itself is
  // created when the hop ends.
  let nextIds = { traceId: '', spanId: '' };
  const provider = new BasicTracerProvider({
    resource: createResource({
      'service.name': options.serviceName,
      'service.instance.id': options.instanceId,
    }),
    idGenerator: { generateTraceId: () => nextIds.traceId, generateSpanId: () => nextIds.spanId },
    spanProcessors: [
      new BatchSpanProcessor(exporter, {
        scheduledDelayMillis: EXPORT_INTERVAL_MS,
        exportTimeoutMillis: EXPORT_TIMEOUT_MS,
        maxQueueSize: MAX_QUEUED_SPANS,
      }),
    ],
  });
  const tracer = provider.getTracer('bronzeyoke');
  return {
    record: (record) => {
      nextIds = record.context;
      const { startMs: startTime, attributes } = record;
      const span = tracer.startSpan(
        record.name,
        { kind: SPAN_KINDS[record.kind], startTime, attributes },
        parentContext(record),
      );
      if (record.isError) span.setStatus({ code: SpanStatusCode.ERROR });
      span.end(record.endMs);
    },
    close: () => provider.shutdown(),
  };
}
