import { performance } from 'node:perf_hooks';
import type { Failure, Outcome, Step } from '@bronzeyoke/types';
import { assertNever } from '@bronzeyoke/types';
import type { GaugeValue, Log, Metrics } from '@bronzeyoke/telemetry';
import { createHistogram, createMetrics } from '@bronzeyoke/telemetry';
import type { EntryEffect, EntryEvent, EntryState } from './types';

/** Metrics of an entry. */
const ENTRY_METRICS = {
  bronzeyoke_requests_total: { kind: 'counter', help: 'Ended requests by service and outcome.' },
  bronzeyoke_request_seconds: { kind: 'summary', help: 'Time from arrival to the end.' },
  bronzeyoke_failures_total: { kind: 'counter', help: 'Refused input and lost links by kind.' },
  bronzeyoke_client_refusals_total: {
    kind: 'counter',
    help: 'Clients and agents refused or closed for a limit, by reason.',
  },
  bronzeyoke_errors_total: { kind: 'counter', help: 'Faults of the program itself.' },
  bronzeyoke_messages_received_total: { kind: 'counter', help: 'Messages from agents by kind.' },
  bronzeyoke_messages_sent_total: { kind: 'counter', help: 'Messages to agents by kind.' },
  bronzeyoke_store_accesses_total: {
    kind: 'counter',
    help: 'Table accesses by origin and result.',
  },
  bronzeyoke_admin_total: { kind: 'counter', help: 'Administration commands by kind and result.' },
  bronzeyoke_ejections_total: { kind: 'counter', help: 'Upstreams ejected after failures.' },
  bronzeyoke_agents: { kind: 'gauge', help: 'Agents that are connected.' },
  bronzeyoke_agents_leaving: { kind: 'gauge', help: 'Connected agents that are draining.' },
  bronzeyoke_requests_in_progress: { kind: 'gauge', help: 'Requests that have not ended.' },
  bronzeyoke_requests_queued: { kind: 'gauge', help: 'Requests that wait for an upstream.' },
  bronzeyoke_ticket_number: { kind: 'gauge', help: 'Number of the ticket in force.' },
} as const;

/** Name of a metric of an entry. */
export type EntryMetric = keyof typeof ENTRY_METRICS;

/** Counts of requests that ended during a planned stop, and of agents released by it. */
export interface EntryHandOver {
  readonly requestsFinished: number;
  readonly requestsRefused: number;
  readonly requestsUnknown: number;
  readonly agentsReleased: number;
}

/** Callback after each step of the core. */
export type EntryObserver = (
  before: EntryState,
  event: EntryEvent,
  step: Step<EntryState, EntryEffect>,
) => void;

/** Derives metrics and log lines from the steps of the core, which has no code for either. */
export interface EntryMonitor {
  readonly metrics: Metrics<EntryMetric>;
  readonly observe: EntryObserver;
  readonly onFailure: (failure: Failure) => void;
  readonly onError: (error: unknown) => void;
  readonly text: () => string;
  readonly notReady: () => string | undefined;
  readonly handOver: () => EntryHandOver;
}

const EMPTY_HAND_OVER: EntryHandOver = {
  requestsFinished: 0,
  requestsRefused: 0,
  requestsUnknown: 0,
  agentsReleased: 0,
};

function addOutcome(total: EntryHandOver, outcome: Outcome): EntryHandOver {
  switch (outcome.kind) {
    case 'answered':
      return { ...total, requestsFinished: total.requestsFinished + 1 };
    case 'notRun':
    case 'keyReused':
      return { ...total, requestsRefused: total.requestsRefused + 1 };
    case 'unknown':
      return { ...total, requestsUnknown: total.requestsUnknown + 1 };
    default:
      return assertNever(outcome);
  }
}

function gaugesOf(state: EntryState): readonly GaugeValue<EntryMetric>[] {
  const { agents } = state.membership;
  const gauge = (name: EntryMetric, value: number) => ({ name, labels: {}, value });
  return [
    gauge('bronzeyoke_agents', agents.size),
    gauge(
      'bronzeyoke_agents_leaving',
      agents.count((agent) => agent.isLeaving),
    ),
    gauge('bronzeyoke_requests_in_progress', state.requests.records.size),
    gauge(
      'bronzeyoke_requests_queued',
      state.requests.queues.reduce((sum, queue) => sum + queue.waitingCount, 0),
    ),
    gauge('bronzeyoke_ticket_number', state.tickets.configuration.number),
  ];
}

/** Creates a monitor whose `observe` has to be called after each step of the entry. */
export function createEntryMonitor(log: Log): EntryMonitor {
  const metrics = createMetrics(ENTRY_METRICS, createHistogram);
  let latest: EntryState | undefined;
  let isStoreUnavailable = false;
  let handOver = EMPTY_HAND_OVER;

  const info = (message: string, fields: Readonly<Record<string, string | number>>): void =>
    log({ level: 'info', message, fields });

  const countEvent = (event: EntryEvent): void => {
    if (event.kind === 'received') {
      metrics.count('bronzeyoke_messages_received_total', { kind: event.message.kind });
    }
    if (event.kind !== 'commitDone' && event.kind !== 'readDone') return;
    const { origin, result } = event;
    metrics.count('bronzeyoke_store_accesses_total', { origin, result: result.kind });
    const isUnavailable = result.kind === 'unavailable';
    if (isUnavailable && !isStoreUnavailable)
      log({ level: 'warn', message: 'store lost', fields: {} });
    if (!isUnavailable && isStoreUnavailable)
      log({ level: 'info', message: 'store back', fields: {} });
    isStoreUnavailable = isUnavailable;
  };

  const countReply = (before: EntryState, requestId: string, outcome: Outcome): void => {
    const record = before.requests.records.get(requestId);
    // A request that ends in the step in which it arrives has no record.
    const service = record?.request.service ?? 'refused';
    const result = 'reason' in outcome ? `${outcome.kind}:${outcome.reason}` : outcome.kind;
    metrics.count('bronzeyoke_requests_total', { service, result });
    if (record !== undefined) {
      const durationMs = performance.now() - record.deadlineAtMs + record.request.timeoutMs;
      metrics.observe('bronzeyoke_request_seconds', { service }, durationMs);
    }
    if (before.lifecycle === 'draining') handOver = addOutcome(handOver, outcome);
  };

  const logRestored = (before: EntryState, event: EntryEvent, after: EntryState): void => {
    if (event.kind !== 'received') return;
    const agentId = after.membership.agentIdByLink.get(event.linkId) ?? '';
    const from = before.requests.routing.upstreams.get(agentId)?.health;
    const to = after.requests.routing.upstreams.get(agentId)?.health;
    if (from !== undefined && from !== to && to === 'healthy')
      info('upstream restored', { agentId });
  };

  const countEffect = (before: EntryState, effect: EntryEffect): void => {
    if (effect.kind === 'reply') countReply(before, effect.requestId, effect.outcome);
    if (effect.kind === 'send') {
      metrics.count('bronzeyoke_messages_sent_total', { kind: effect.message.kind });
    }
    if (effect.kind === 'wake' && effect.timer.kind === 'upstreamProbe') {
      const { agentId } = effect.timer;
      metrics.count('bronzeyoke_ejections_total');
      info('upstream ejected', { agentId, probeAfterMs: effect.afterMs });
    }
  };

  const logShards = (before: EntryState, after: EntryState): void => {
    after.batch.shards.forEach((view, shard) => {
      const isOwned = view.phase === 'owned';
      const wasOwned = before.batch.shards.get(shard)?.phase === 'owned';
      if (isOwned && !wasOwned) info('shard gained', { shard, ownerEpoch: view.ownerEpoch });
      if (!isOwned && wasOwned) info('shard lost', { shard, phase: view.phase });
    });
  };

  const logChanges = (before: EntryState, after: EntryState): void => {
    if (before.lifecycle !== after.lifecycle) {
      info('role changed', { from: before.lifecycle, to: after.lifecycle });
      if (after.lifecycle === 'stopped') {
        handOver = { ...handOver, agentsReleased: after.membership.agents.size };
      }
    }
    if (before.tickets.configuration.number !== after.tickets.configuration.number) {
      info('ticket in force', { number: after.tickets.configuration.number });
    }
    if (before.batch.shards !== after.batch.shards) logShards(before, after);
    if (before.membership.agentIdByLink === after.membership.agentIdByLink) return;
    const linksBefore = before.membership.agentIdByLink;
    const linksAfter = after.membership.agentIdByLink;
    linksAfter.forEach((agentId, linkId) => {
      const worker = after.membership.agents.get(agentId)?.profile.worker ?? '';
      if (!linksBefore.has(linkId)) info('link opened', { agentId, worker });
    });
    linksBefore.forEach((agentId, linkId) => {
      if (!linksAfter.has(linkId)) info('link closed', { agentId });
    });
  };

  return {
    metrics,
    observe: (before, event, step) => {
      latest = step.state;
      countEvent(event);
      step.effects.forEach((effect) => countEffect(before, effect));
      logRestored(before, event, step.state);
      if (before !== step.state) logChanges(before, step.state);
    },
    onFailure: (failure) => metrics.count('bronzeyoke_failures_total', { kind: failure.kind }),
    onError: (error) => {
      metrics.count('bronzeyoke_errors_total');
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      log({ level: 'error', message: 'fault of the program', fields: { detail } });
    },
    text: () => metrics.text(latest === undefined ? [] : gaugesOf(latest)),
    notReady: () =>
      latest?.lifecycle === 'serving' ? undefined : (latest?.lifecycle ?? 'starting'),
    handOver: () => handOver,
  };
}
