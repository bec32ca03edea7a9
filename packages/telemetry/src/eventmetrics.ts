import type { Histogram } from 'hdr-histogram-js';
import { LATENCY_CAUSES } from '@bronzeyoke/latency';
import type { EventFields, EventName } from './events';
import { AWAY_REASONS } from './events';
import type { GaugeValue } from './metrics';
import { createMetrics } from './metrics';

const DEFINITIONS = {
  bronzeyoke_events_total: { kind: 'counter', help: 'Decisions and changes of belief, by event.' },
  bronzeyoke_refusals_total: { kind: 'counter', help: 'Jobs refused, by reason.' },
  bronzeyoke_client_refusals_total: {
    kind: 'counter',
    help: 'Requests and connections refused, and connections closed, for a limit, by reason.',
  },
  bronzeyoke_malformed_total: {
    kind: 'counter',
    help: 'Documents, rows and messages that were not used because they cannot be decoded, by source.',
  },
  bronzeyoke_releases_total: {
    kind: 'counter',
    help: 'Runs given up without a listed end, by reason.',
  },
  bronzeyoke_ends_after_release_total: {
    kind: 'counter',
    help: 'Ends of runs that their tasks were no longer claimed for, by state of the task.',
  },
  bronzeyoke_repeated_work_seconds_total: {
    kind: 'counter',
    help: 'Time for which tasks that were done already were ordered again, until their ends were known.',
  },
  bronzeyoke_log_lines_dropped_total: { kind: 'gauge', help: 'Log lines left out.' },
  bronzeyoke_lasting_away: { kind: 'gauge', help: 'Lasting tasks that do not work, by reason.' },
  bronzeyoke_workers_blocked: {
    kind: 'gauge',
    help: 'Workers without tasks because a run there ignores its stop orders.',
  },
  bronzeyoke_leader_event_wait_seconds: {
    kind: 'gauge',
    help: 'Longest wait of an event in the last line of the entry that leads about its load.',
  },
  bronzeyoke_queues_limited: {
    kind: 'gauge',
    help: 'Queues of which the leader refuses some or all jobs of a kind, by verdict.',
  },
  bronzeyoke_tasks_backfilled_total: {
    kind: 'counter',
    help: 'Tasks placed into room that is kept for others.',
  },
  bronzeyoke_largest_gap_milli: {
    kind: 'gauge',
    help: 'Largest free room of a worker, in thousandths of a processor.',
  },
  bronzeyoke_largest_waiting_milli: {
    kind: 'gauge',
    help: 'Largest task that waits for room, in thousandths of a processor.',
  },
  bronzeyoke_no_room_seconds: {
    kind: 'summary',
    help: 'Waits of tasks for room until their first claims, by size.',
  },
  bronzeyoke_claim_seconds: { kind: 'summary', help: 'From a claim to its stored row.' },
  bronzeyoke_start_seconds: { kind: 'summary', help: 'From a claim to the listed run.' },
  bronzeyoke_job_seconds: { kind: 'summary', help: 'From acceptance to the end of a job.' },
  bronzeyoke_job_time_seconds: {
    kind: 'summary',
    help: 'Time of ended jobs along their critical paths, by cause.',
  },
  bronzeyoke_event_wait_seconds: {
    kind: 'summary',
    help: 'Longest wait of an event of the leader, by line.',
  },
  bronzeyoke_pass_seconds: { kind: 'summary', help: 'Longest placement pass, by line.' },
  bronzeyoke_recovery_step_seconds: {
    kind: 'summary',
    help: 'Steps from the start of an entry, or from a claim, to normal service, by step.',
  },
  bronzeyoke_place_wait_seconds: { kind: 'summary', help: 'Waits of lasting tasks for a place.' },
} as const;

const MS_PER_SECOND = 1_000;

type MetricName = keyof typeof DEFINITIONS;

/** Events of an entry that begins or ceases to lead, and so counts nothing. */
const LEADER_CHANGES: ReadonlySet<EventName> = new Set([
  'leaderClaimed',
  'leaderSeen',
  'leaderLost',
]);

/** Returns the gauges of the tasks that are away, by the last event that counts them. */
function awayGauges(counts: EventFields): readonly GaugeValue<MetricName>[] {
  return AWAY_REASONS.map((reason) => {
    const value = counts[reason];
    return {
      name: 'bronzeyoke_lasting_away',
      labels: { reason },
      value: typeof value === 'number' ? value : 0,
    };
  });
}

function blockedGauge({ total }: EventFields): GaugeValue<MetricName> {
  const value = typeof total === 'number' ? total : 0;
  return { name: 'bronzeyoke_workers_blocked', labels: {}, value };
}

function waitGauge({ longestWaitMs }: EventFields): GaugeValue<MetricName> {
  const value = typeof longestWaitMs === 'number' ? longestWaitMs / MS_PER_SECOND : 0;
  return { name: 'bronzeyoke_leader_event_wait_seconds', labels: {}, value };
}

function limitedGauges(counts: EventFields): readonly GaugeValue<MetricName>[] {
  return ['limit', 'refuse'].map((verdict) => {
    const value = counts[verdict];
    return {
      name: 'bronzeyoke_queues_limited',
      labels: { verdict },
      value: typeof value === 'number' ? value : 0,
    };
  });
}

/** Returns the gauges of free and wanted room. */
function gapGauges(gaps: EventFields): readonly GaugeValue<MetricName>[] {
  const valueOf = (value: EventFields[string] | undefined) =>
    typeof value === 'number' ? value : 0;
  return [
    { name: 'bronzeyoke_largest_gap_milli', labels: {}, value: valueOf(gaps.largestFreeMilli) },
    {
      name: 'bronzeyoke_largest_waiting_milli',
      labels: {},
      value: valueOf(gaps.largestWaitingMilli),
    },
  ];
}

/** The last counts that a leader has logged. */
interface LeaderCounts {
  readonly away: EventFields;
  readonly blocked: EventFields;
  readonly load: EventFields;
  readonly limited: EventFields;
  readonly gaps: EventFields;
}

const NO_COUNTS: LeaderCounts = { away: {}, blocked: {}, load: {}, limited: {}, gaps: {} };

/** A duration in the fields of an event, and the metric that records it. */
interface DurationField {
  readonly field: string;
  readonly metric: keyof typeof DEFINITIONS;
}

const DURATIONS: Readonly<Partial<Record<EventName, readonly DurationField[]>>> = {
  taskPlaced: [{ field: 'storedAfterMs', metric: 'bronzeyoke_claim_seconds' }],
  taskStarted: [{ field: 'startedAfterMs', metric: 'bronzeyoke_start_seconds' }],
  jobEnded: [{ field: 'ageMs', metric: 'bronzeyoke_job_seconds' }],
  placeFound: [{ field: 'awaitedMs', metric: 'bronzeyoke_place_wait_seconds' }],
  leaderLoad: [
    { field: 'longestWaitMs', metric: 'bronzeyoke_event_wait_seconds' },
    { field: 'longestPassMs', metric: 'bronzeyoke_pass_seconds' },
  ],
};

/** Returns the times of an ended job by cause. */
function jobTimes(fields: EventFields): readonly (readonly [cause: string, ms: number])[] {
  return LATENCY_CAUSES.flatMap((cause) => {
    const ms = fields[`${cause}Ms`];
    return typeof ms === 'number' ? [[cause, ms] as const] : [];
  });
}

/** Returns the time of a second run of a task until the late end of the first one. */
function repeatedSeconds({ repeatedMs }: EventFields): number {
  return typeof repeatedMs === 'number' ? repeatedMs / MS_PER_SECOND : 0;
}

/** Returns whether an event tells of a step of the way back to normal service. */
function isStep(event: EventName): boolean {
  return event === 'startupStep' || event === 'recoveryStep';
}

/** Counters and histograms of the events of a process. */
export interface EventMetrics {
  readonly record: (event: EventName, fields: EventFields) => void;
  /** Counts a client that was refused for a limit. */
  readonly countRefusal: (reason: string) => void;
  readonly text: (droppedLines: number) => string;
}

/** Creates the metrics of a process, which are recorded from its events. */
export function createEventMetrics(createHistogram?: () => Histogram): EventMetrics {
  const metrics = createMetrics(DEFINITIONS, createHistogram);
  const known = { counts: NO_COUNTS };
  return {
    record: (event, fields) => {
      metrics.count('bronzeyoke_events_total', { event });
      if (event === 'awayCounts') known.counts = { ...known.counts, away: fields };
      if (event === 'leaderLoad') known.counts = { ...known.counts, load: fields };
      if (event === 'blockedCounts') known.counts = { ...known.counts, blocked: fields };
      if (event === 'admissionCounts') known.counts = { ...known.counts, limited: fields };
      if (event === 'gapCounts') known.counts = { ...known.counts, gaps: fields };
      if (event === 'taskBackfilled') metrics.count('bronzeyoke_tasks_backfilled_total');
      if (event === 'taskPlaced' && typeof fields.noRoomMs === 'number') {
        const labels = { upToMilli: String(fields.upToMilli) };
        metrics.observe('bronzeyoke_no_room_seconds', labels, fields.noRoomMs);
      }
      if (LEADER_CHANGES.has(event)) known.counts = NO_COUNTS;
      if (event === 'jobRefused') {
        metrics.count('bronzeyoke_refusals_total', { reason: String(fields.reason) });
      }
      if (event === 'malformed') {
        metrics.count('bronzeyoke_malformed_total', { source: String(fields.what) });
      }
      if (event === 'taskReleased') {
        metrics.count('bronzeyoke_releases_total', { reason: String(fields.reason) });
      }
      if (event === 'endAfterRelease') {
        metrics.count('bronzeyoke_ends_after_release_total', { state: String(fields.state) });
        metrics.count('bronzeyoke_repeated_work_seconds_total', {}, repeatedSeconds(fields));
      }
      if (event === 'jobEnded') {
        jobTimes(fields).forEach(([cause, ms]) =>
          metrics.observe('bronzeyoke_job_time_seconds', { cause }, ms),
        );
      }
      if (isStep(event) && typeof fields.tookMs === 'number') {
        const labels = { step: String(fields.step) };
        metrics.observe('bronzeyoke_recovery_step_seconds', labels, fields.tookMs);
      }
      (DURATIONS[event] ?? []).forEach(({ field, metric }) => {
        const value = fields[field];
        if (typeof value === 'number') metrics.observe(metric, {}, value);
      });
    },
    countRefusal: (reason) => metrics.count('bronzeyoke_client_refusals_total', { reason }),
    text: (droppedLines) =>
      metrics.text([
        { name: 'bronzeyoke_log_lines_dropped_total', labels: {}, value: droppedLines },
        ...awayGauges(known.counts.away),
        blockedGauge(known.counts.blocked),
        waitGauge(known.counts.load),
        ...limitedGauges(known.counts.limited),
        ...gapGauges(known.counts.gaps),
      ]),
  };
}
