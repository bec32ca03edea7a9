import { randomBytes } from 'node:crypto';

/** W3C trace context: the trace, the parent span of the next hop, and the sampling decision. */
export interface TraceContext {
  readonly traceId: string;
  readonly spanId: string;
  readonly isSampled: boolean;
}

const TRACEPARENT = /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/;
const SAMPLED_FLAG = 1;

/** Parses a `traceparent` header. A malformed one counts as absent, as the standard requires. */
export function parseTraceparent(text: string | undefined): TraceContext | undefined {
  const match = TRACEPARENT.exec(text ?? '');
  const [, version, traceId, spanId, flags, rest] = match ?? [];
  if (version === undefined || traceId === undefined || spanId === undefined) return undefined;
  if (version === 'ff' || (version === '00' && rest !== undefined)) return undefined;
  if (/^0+$/.test(traceId) || /^0+$/.test(spanId)) return undefined;
  // eslint-disable-next-line no-bitwise -- the flags are a bit field
  return { traceId, spanId, isSampled: (Number.parseInt(flags ?? '0', 16) & SAMPLED_FLAG) === 1 };
}

/** Formats a `traceparent` header. */
export function formatTraceparent(context: TraceContext): string {
  return `00-${context.traceId}-${context.spanId}-${context.isSampled ? '01' : '00'}`;
}

/** Creates the context of a child span, or of the root span of a new trace. */
export function childContext(parent: TraceContext | undefined): TraceContext {
  return {
    traceId: parent?.traceId ?? randomBytes(16).toString('hex'),
    spanId: randomBytes(8).toString('hex'),
    isSampled: parent?.isSampled ?? true,
  };
}
