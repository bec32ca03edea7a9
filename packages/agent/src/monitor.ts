import type { Step } from '@bronzeyoke/types';
import type { GaugeValue, Log, Metrics } from '@bronzeyoke/telemetry';
import { createMetrics } from '@bronzeyoke/telemetry';
import type { AgentEffect, AgentEvent, AgentState } from './types';

/** Metrics of an agent. */
const AGENT_METRICS = {
  bronzeyoke_agent_attempts_total: { kind: 'counter', help: 'Attempts by result.' },
  bronzeyoke_agent_client_refusals_total: {
    kind: 'counter',
    help: 'Clients refused or closed for a limit, by reason.',
  },
  bronzeyoke_agent_errors_total: { kind: 'counter', help: 'Faults of the program itself.' },
  bronzeyoke_agent_messages_received_total: { kind: 'counter', help: 'Messages by kind.' },
  bronzeyoke_agent_messages_sent_total: { kind: 'counter', help: 'Messages by kind.' },
  bronzeyoke_agent_links: { kind: 'gauge', help: 'Entries that are connected.' },
  bronzeyoke_agent_slots_in_use: { kind: 'gauge', help: 'Requests at the upstream.' },
} as const;

/** Name of an agent metric. */
export type AgentMetric = keyof typeof AGENT_METRICS;

/** Counts of what a planned stop finished, refused, handed over and closed. */
export interface AgentHandOver {
  readonly requestsFinished: number;
  readonly requestsRefused: number;
  readonly tasksHandedOver: number;
  readonly linksClosed: number;
}

/** Callback after each step of the core. */
export type AgentObserver = (
  before: AgentState,
  event: AgentEvent,
  step: Step<AgentState, AgentEffect>,
) => void;

/** Derives metrics and log lines from the steps of the core, which is independent of both. */
export interface AgentMonitor {
  readonly metrics: Metrics<AgentMetric>;
  readonly observe: AgentObserver;
  readonly onError: (error: unknown) => void;
  readonly text: () => string;
  readonly notReady: () => string | undefined;
  readonly handOver: () => AgentHandOver;
}

function gaugesOf(state: AgentState): readonly GaugeValue<AgentMetric>[] {
  const gauge = (name: AgentMetric, value: number) => ({ name, labels: {}, value });
  return [
    gauge('bronzeyoke_agent_links', state.links.length),
    gauge('bronzeyoke_agent_slots_in_use', state.admission.runningCount),
  ];
}

/** Creates a monitor whose `observe` has to be called after each step of the agent. */
export function createAgentMonitor(log: Log): AgentMonitor {
  const metrics = createMetrics(AGENT_METRICS);
  let latest: AgentState | undefined;
  let handOver: AgentHandOver = {
    requestsFinished: 0,
    requestsRefused: 0,
    tasksHandedOver: 0,
    linksClosed: 0,
  };

  const info = (message: string, fields: Readonly<Record<string, string | number>>): void =>
    log({ level: 'info', message, fields });

  const countSent = (before: AgentState, effect: AgentEffect): void => {
    if (effect.kind !== 'send') return;
    const { message } = effect;
    const { kind } = message;
    metrics.count('bronzeyoke_agent_messages_sent_total', { kind });
    if (kind === 'answer' || kind === 'notRun' || kind === 'outcomeUnknown') {
      metrics.count('bronzeyoke_agent_attempts_total', { result: kind });
    }
    if (before.lifecycle !== 'draining') return;
    const { requestsFinished, requestsRefused, tasksHandedOver } = handOver;
    const isHandedOver = message.kind === 'taskReport' && message.report.kind === 'evicted';
    handOver = {
      ...handOver,
      requestsFinished: requestsFinished + (kind === 'answer' ? 1 : 0),
      requestsRefused: requestsRefused + (kind === 'notRun' ? 1 : 0),
      tasksHandedOver: tasksHandedOver + (isHandedOver ? 1 : 0),
    };
  };

  const logChanges = (before: AgentState, after: AgentState): void => {
    if (before.lifecycle !== after.lifecycle) {
      info('role changed', { from: before.lifecycle, to: after.lifecycle });
      if (after.lifecycle === 'stopped')
        handOver = { ...handOver, linksClosed: after.links.length };
    }
    if (before.links === after.links) return;
    after.links
      .filter((link) => !before.links.includes(link))
      .forEach((link) => info('link opened', { link }));
    before.links
      .filter((link) => !after.links.includes(link))
      .forEach((link) => info('link closed', { link }));
  };

  return {
    metrics,
    observe: (before, event, step) => {
      latest = step.state;
      if (event.kind === 'received') {
        metrics.count('bronzeyoke_agent_messages_received_total', { kind: event.message.kind });
      }
      step.effects.forEach((effect) => countSent(before, effect));
      if (before !== step.state) logChanges(before, step.state);
    },
    onError: (error) => {
      metrics.count('bronzeyoke_agent_errors_total');
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      log({ level: 'error', message: 'fault of the program', fields: { detail } });
    },
    text: () => metrics.text(latest === undefined ? [] : gaugesOf(latest)),
    notReady: () => {
      if (latest === undefined) return 'starting';
      if (latest.lifecycle !== 'serving') return latest.lifecycle;
      return latest.links.length === 0 ? 'no entry is connected' : undefined;
    },
    handOver: () => handOver,
  };
}
