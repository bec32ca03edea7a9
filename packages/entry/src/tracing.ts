import { performance } from 'node:perf_hooks';
import type { SpanRecord, TraceContext, Tracer } from '@bronzeyoke/telemetry';
import { childContext, formatTraceparent, parseTraceparent } from '@bronzeyoke/telemetry';
import type { CallerRequest, Headers, Outcome } from '@bronzeyoke/types';
import { taskKey } from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage } from '@bronzeyoke/wire';

/** Most open spans. Beyond it the oldest is dropped, since spans whose hop never ends stay open. */
const MAX_OPEN_SPANS = 10_000;

interface OpenSpan {
  readonly name: string;
  readonly kind: SpanRecord['kind'];
  readonly context: TraceContext;
  readonly parentSpanId?: string;
  readonly startMs: number;
  readonly attributes: Readonly<Record<string, string>>;
}

/** Records a span for each hop of the requests and messages that pass through an entry. */
export interface EntryTracing {
  /** Starts a span and returns the request with the trace context for the next hop. */
  readonly traceRequest: (request: CallerRequest) => CallerRequest;
  /** Returns the message with the trace context for the agent. */
  readonly traceSend: (message: EntryMessage) => EntryMessage;
  readonly traceReceive: (message: AgentMessage) => void;
  readonly traceReply: (requestId: string, outcome: Outcome) => void;
}

const UPSTREAM_TIMING = /(?:^|,\s*)bronzeyoke-upstream;dur=([0-9.]{1,12})/;

/** Returns the time that the agent measured at its upstream, from the Server-Timing header. */
function parseUpstreamMs(headers: Headers): number | undefined {
  const text = UPSTREAM_TIMING.exec(headers['server-timing'] ?? '')?.[1];
  const value = Number(text);
  return text !== undefined && Number.isFinite(value) ? value : undefined;
}

function nowMs(): number {
  return performance.timeOrigin + performance.now();
}

/** Creates the tracing of an entry. `random` returns uniform numbers in [0, 1) for sampling. */
export function createEntryTracing(
  tracer: Tracer,
  sampleRatio: number,
  random: () => number,
): EntryTracing {
  const openSpans = new Map<string, OpenSpan>();

  const beginSpan = (key: string, span: Omit<OpenSpan, 'startMs'>): void => {
    const [oldest] = openSpans.keys();
    if (openSpans.size >= MAX_OPEN_SPANS && oldest !== undefined) openSpans.delete(oldest);
    openSpans.set(key, { ...span, startMs: nowMs() });
  };

  const endSpan = (
    key: string,
    isError: boolean,
  ): (OpenSpan & { readonly endMs: number }) | undefined => {
    const span = openSpans.get(key);
    if (span === undefined) return undefined;
    openSpans.delete(key);
    const ended = { ...span, endMs: nowMs() };
    tracer.record({ ...ended, isError });
    return ended;
  };

  const sendRequest = (message: Extract<EntryMessage, { kind: 'request' }>): EntryMessage => {
    const parent = parseTraceparent(message.traceparent);
    if (parent?.isSampled !== true) return message;
    const context = childContext(parent);
    beginSpan(`attempt/${message.attemptId}`, {
      name: 'entry to agent',
      kind: 'client',
      context,
      parentSpanId: parent.spanId,
      attributes: { requestId: message.requestId, attemptId: message.attemptId },
    });
    return { ...message, traceparent: formatTraceparent(context) };
  };

  const receiveAnswer = (message: Extract<AgentMessage, { kind: 'answer' }>): void => {
    const hop = endSpan(`attempt/${message.attemptId}`, message.status >= 500);
    const durationMs = parseUpstreamMs(message.headers);
    if (hop === undefined || durationMs === undefined) return;
    // The clocks of agent and entry are not compared: the span is centered in the hop.
    const startMs = Math.max(hop.startMs, (hop.startMs + hop.endMs - durationMs) / 2);
    tracer.record({
      name: 'agent to upstream',
      kind: 'client',
      context: childContext(hop.context),
      parentSpanId: hop.context.spanId,
      startMs,
      endMs: Math.min(hop.endMs, startMs + durationMs),
      attributes: { status: String(message.status) },
      isError: message.status >= 500,
    });
  };

  // A trace of a task starts with the offer. Its hops are the claim, the start and the checkpoint.
  const sendTask = (message: EntryMessage): void => {
    if (message.kind === 'offer' && random() < sampleRatio) {
      beginSpan(`claim/${message.offerId}`, {
        name: 'claim',
        kind: 'internal',
        context: childContext(undefined),
        attributes: { task: taskKey(message.task.id), workKind: message.task.workKind },
      });
    }
    if (message.kind === 'claimFailed') endSpan(`claim/${message.offerId}`, true);
    if (message.kind === 'claimed') {
      const claim = endSpan(`claim/${message.offerId}`, false);
      if (claim === undefined) return;
      const { context, attributes } = claim;
      beginSpan(`start/${attributes.task}`, {
        name: 'start',
        kind: 'client',
        context: childContext(context),
        parentSpanId: context.spanId,
        attributes,
      });
    }
    if (message.kind === 'stopTask' && message.mode === 'evict' && random() < sampleRatio) {
      const task = taskKey(message.id);
      const context = childContext(undefined);
      beginSpan(`checkpoint/${task}`, {
        name: 'checkpoint',
        kind: 'client',
        context,
        attributes: { task },
      });
    }
  };

  const receiveTask = (message: AgentMessage): void => {
    if (message.kind === 'declined') endSpan(`claim/${message.offerId}`, true);
    if (message.kind !== 'taskReport') return;
    const task = taskKey(message.id);
    const { kind } = message.report;
    if (kind === 'started' || kind === 'notStarted')
      endSpan(`start/${task}`, kind === 'notStarted');
    if (kind === 'evicted' || kind === 'checkpointed') endSpan(`checkpoint/${task}`, false);
  };

  return {
    traceRequest: (request) => {
      const parent = parseTraceparent(request.traceparent);
      const isSampled = parent?.isSampled ?? random() < sampleRatio;
      if (!isSampled) return request;
      const context = childContext(parent);
      beginSpan(`request/${request.requestId}`, {
        name: 'caller to entry',
        kind: 'server',
        context,
        ...(parent === undefined ? {} : { parentSpanId: parent.spanId }),
        attributes: { service: request.service, requestId: request.requestId },
      });
      return { ...request, traceparent: formatTraceparent(context) };
    },
    traceSend: (message) => {
      if (message.kind === 'request') return sendRequest(message);
      sendTask(message);
      return message;
    },
    traceReceive: (message) => {
      if (message.kind === 'answer') receiveAnswer(message);
      if (message.kind === 'notRun' || message.kind === 'outcomeUnknown') {
        endSpan(`attempt/${message.attemptId}`, true);
      }
      receiveTask(message);
    },
    traceReply: (requestId, outcome) => {
      endSpan(`request/${requestId}`, outcome.kind !== 'answered');
    },
  };
}
