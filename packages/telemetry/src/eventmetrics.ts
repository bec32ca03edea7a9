import type { Histogram } from 'hdr-histogram-js';
import type { EventFields, EventName } from './events';
import { createMetrics } from './metrics';

const DEFINITIONS = {
  bronzeyoke_events_total: { kind: 'counter', help: 'Decisions and changes of belief, by event.' },
  bronzeyoke_refusals_total: { kind: 'counter', help: 'Jobs refused, by reason.' },
  bronzeyoke_log_lines_dropped_total: { kind: 'gauge', help: 'Log lines left out.' },
  bronzeyoke_claim_seconds: { kind: 'summary', help: 'From a claim to its stored row.' },
  bronzeyoke_start_seconds: { kind: 'summary', help: 'From a claim to the listed run.' },
  bronzeyoke_job_seconds: { kind: 'summary', help: 'From acceptance to the end of a job.' },
} as const;

/** Duration fields of events, with the metric that records them. */
const DURATIONS = {
  storedAfterMs: 'bronzeyoke_claim_seconds',
  startedAfterMs: 'bronzeyoke_start_seconds',
  ageMs: 'bronzeyoke_job_seconds',
} as const;

/** Counters and histograms of the events of a process. */
export interface EventMetrics {
  readonly record: (event: EventName, fields: EventFields) => void;
  readonly text: (droppedLines: number) => string;
}

/** Creates the metrics of a process, which are recorded from its events. */
export function createEventMetrics(createHistogram?: () => Histogram): EventMetrics {
  const metrics = createMetrics(DEFINITIONS, createHistogram);
  return {
    record: (event, fields) => {
      metrics.count('bronzeyoke_events_total', { event });
      if (event === 'jobRefused') {
        metrics.count('bronzeyoke_refusals_total', { reason: String(fields.reason) });
      }
      Object.entries(DURATIONS).forEach(([field, metric]) => {
        const value = fields[field];
        if (typeof value === 'number') metrics.observe(metric, {}, value);
      });
    },
    text: (droppedLines) =>
      metrics.text([
        { name: 'bronzeyoke_log_lines_dropped_total', labels: {}, value: droppedLines },
      ]),
  };
}
