import { ROOT_CONTEXT, SpanKind, SpanStatusCode, TraceFlags, trace } from '@opentelemetry/api';
import type { Context } from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';
import type { Labels } from './metrics';
import type { SpanRecord, Tracer, TracingOptions } from './tracer';

type Resource = NonNullable<
  NonNullable<ConstructorParameters<typeof BasicTracerProvider>[0]>['resource']
>;

const KINDS = {
  server: SpanKind.SERVER,
  client: SpanKind.CLIENT,
  internal: SpanKind.INTERNAL,
} as const;

const EXPORT_INTERVAL_MS = 1_000;
const EXPORT_TIMEOUT_MS = 5_000;
const MAX_WAITING_SPANS = 2_048;

function parentOf(span: SpanRecord): Context {
  return span.parentSpanId === undefined
    ? ROOT_CONTEXT
    : trace.setSpanContext(ROOT_CONTEXT, {
        traceId: span.context.traceId,
        spanId: span.parentSpanId,
        traceFlags: TraceFlags.SAMPLED,
        isRemote: true,
      });
}

function fixedResource(attributes: Labels): Resource {
  const resource: Resource = {
    attributes,
    merge: () => resource,
    getRawAttributes: () => Object.entries(attributes),
  };
  return resource;
}

/** Makes a tracer that sends spans as OTLP/HTTP JSON. Spans beyond the queue's bound are dropped. */
export function createOtlpTracer(options: TracingOptions): Tracer {
  const exporter = new OTLPTraceExporter({
    url: options.endpoint,
    timeoutMillis: EXPORT_TIMEOUT_MS,
  });
  // Ids are chosen when a hop starts, because the next hop carries them, and spans are made at its end.
  let next = { traceId: '', spanId: '' };
  const provider = new BasicTracerProvider({
    resource: fixedResource({
      'service.name': options.serviceName,
      'service.instance.id': options.instanceId,
    }),
    idGenerator: { generateTraceId: () => next.traceId, generateSpanId: () => next.spanId },
    spanProcessors: [
      new BatchSpanProcessor(exporter, {
        scheduledDelayMillis: EXPORT_INTERVAL_MS,
        exportTimeoutMillis: EXPORT_TIMEOUT_MS,
        maxQueueSize: MAX_WAITING_SPANS,
      }),
    ],
  });
  const tracer = provider.getTracer('bronzeyoke');
  return {
    record: (record) => {
      next = record.context;
      const { startMs: startTime, attributes } = record;
      const span = tracer.startSpan(
        record.name,
        { kind: KINDS[record.kind], startTime, attributes },
        parentOf(record),
      );
      if (record.isError) span.setStatus({ code: SpanStatusCode.ERROR });
      span.end(record.endMs);
    },
    close: () => provider.shutdown(),
  };
}
