import { performance } from 'node:perf_hooks';
import type { SpanRecord, TraceContext, Tracer } from '@bronzeyoke/telemetry';
import { childContext, formatTraceparent, parseTraceparent } from '@bronzeyoke/telemetry';
import type { CallerRequest, Headers, Outcome } from '@bronzeyoke/types';
import { taskKey } from '@bronzeyoke/types';
import type { AgentMessage, EntryMessage } from '@bronzeyoke/wire';

/** Open spans after which the oldest is dropped; a hop whose end never comes would stay open. */
const MAX_OPEN_SPANS = 10_000;

interface OpenSpan {
  readonly name: string;
  readonly kind: SpanRecord['kind'];
  readonly context: TraceContext;
  readonly parentSpanId?: string;
  readonly startMs: number;
  readonly attributes: Readonly<Record<string, string>>;
}

/** Makes a span for each hop from what passes through the shell of an entry. */
export interface EntryTracing {
  /** The request with the trace context for the next hop. */
  readonly traceRequest: (request: CallerRequest) => CallerRequest;
  /** The message with the trace context for the agent. */
  readonly traceSend: (message: EntryMessage) => EntryMessage;
  readonly traceReceive: (message: AgentMessage) => void;
  readonly traceReply: (requestId: string, outcome: Outcome) => void;
}

const UPSTREAM_TIMING = /(?:^|,\s*)bronzeyoke-upstream;dur=([0-9.]{1,12})/;

/** Time that the agent measured at its upstream; it reports it in the standard Server-Timing header. */
export function parseUpstreamMs(headers: Headers): number | undefined {
  const text = UPSTREAM_TIMING.exec(headers['server-timing'] ?? '')?.[1];
  const value = Number(text);
  return text !== undefined && Number.isFinite(value) ? value : undefined;
}

function nowMs(): number {
  return performance.timeOrigin + performance.now();
}

/** Starts to trace. `draw` gives uniform numbers in [0, 1) for the sampling decision. */
export function createEntryTracing(
  tracer: Tracer,
  sampleRatio: number,
  draw: () => number,
): EntryTracing {
  const open = new Map<string, OpenSpan>();

  const begin = (key: string, span: Omit<OpenSpan, 'startMs'>): void => {
    const [oldest] = open.keys();
    if (open.size >= MAX_OPEN_SPANS && oldest !== undefined) open.delete(oldest);
    open.set(key, { ...span, startMs: nowMs() });
  };

  const end = (
    key: string,
    isError: boolean,
  ): (OpenSpan & { readonly endMs: number }) | undefined => {
    const span = open.get(key);
    if (span === undefined) return undefined;
    open.delete(key);
    const ended = { ...span, endMs: nowMs() };
    tracer.record({ ...ended, isError });
    return ended;
  };

  const sendRequest = (message: Extract<EntryMessage, { kind: 'request' }>): EntryMessage => {
    const parent = parseTraceparent(message.traceparent);
    if (parent?.isSampled !== true) return message;
    const context = childContext(parent);
    begin(`attempt/${message.attemptId}`, {
      name: 'entry to agent',
      kind: 'client',
      context,
      parentSpanId: parent.spanId,
      attributes: { requestId: message.requestId, attemptId: message.attemptId },
    });
    return { ...message, traceparent: formatTraceparent(context) };
  };

  const answered = (message: Extract<AgentMessage, { kind: 'answer' }>): void => {
    const hop = end(`attempt/${message.attemptId}`, message.status >= 500);
    const durationMs = parseUpstreamMs(message.headers);
    if (hop === undefined || durationMs === undefined) return;
    // The agent's clock is not compared with ours: its span is placed in the middle of the hop.
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
    if (message.kind === 'offer' && draw() < sampleRatio) {
      begin(`claim/${message.offerId}`, {
        name: 'claim',
        kind: 'internal',
        context: childContext(undefined),
        attributes: { task: taskKey(message.task.id), workKind: message.task.workKind },
      });
    }
    if (message.kind === 'claimFailed') end(`claim/${message.offerId}`, true);
    if (message.kind === 'claimed') {
      const claim = end(`claim/${message.offerId}`, false);
      if (claim === undefined) return;
      const { context, attributes } = claim;
      begin(`start/${attributes.task}`, {
        name: 'start',
        kind: 'client',
        context: childContext(context),
        parentSpanId: context.spanId,
        attributes,
      });
    }
    if (message.kind === 'stopTask' && message.mode === 'evict' && draw() < sampleRatio) {
      const task = taskKey(message.id);
      const context = childContext(undefined);
      begin(`checkpoint/${task}`, {
        name: 'checkpoint',
        kind: 'client',
        context,
        attributes: { task },
      });
    }
  };

  const receiveTask = (message: AgentMessage): void => {
    if (message.kind === 'declined') end(`claim/${message.offerId}`, true);
    if (message.kind !== 'taskReport') return;
    const task = taskKey(message.id);
    const { kind } = message.report;
    if (kind === 'started' || kind === 'notStarted') end(`start/${task}`, kind === 'notStarted');
    if (kind === 'evicted' || kind === 'checkpointed') end(`checkpoint/${task}`, false);
  };

  return {
    traceRequest: (request) => {
      const parent = parseTraceparent(request.traceparent);
      const isSampled = parent?.isSampled ?? draw() < sampleRatio;
      if (!isSampled) return request;
      const context = childContext(parent);
      begin(`request/${request.requestId}`, {
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
      if (message.kind === 'answer') answered(message);
      if (message.kind === 'notRun' || message.kind === 'outcomeUnknown') {
        end(`attempt/${message.attemptId}`, true);
      }
      receiveTask(message);
    },
    traceReply: (requestId, outcome) => {
      end(`request/${requestId}`, outcome.kind !== 'answered');
    },
  };
}
