import type { Histogram } from 'hdr-histogram-js';
import { MAX_DURATION_MICROS } from './limits';

/** Labels of a series. */
export type Labels = Readonly<Record<string, string>>;

/** Kind and help text of a metric. */
export interface MetricDefinition {
  readonly kind: 'counter' | 'summary' | 'gauge';
  readonly help: string;
}

/** Value of a gauge, read when the metrics are exported. */
export interface GaugeValue<Name extends string> {
  readonly name: Name;
  readonly labels: Labels;
  readonly value: number;
}

/** Counters and histograms of a process. */
export interface Metrics<Name extends string> {
  readonly count: (name: Name, labels?: Labels, by?: number) => void;
  /** Records a duration; it is exported in seconds. */
  readonly observe: (name: Name, labels: Labels, durationMs: number) => void;
  readonly counterValue: (name: Name, labels?: Labels) => number;
  /** Prometheus text format, version 0.0.4. */
  readonly text: (gauges: readonly GaugeValue<Name>[]) => string;
}

/** Maximum series per metric. Further labels share one series, because callers can choose names. */
const MAX_SERIES = 1_000;
const OTHER_LABELS = '{other="true"}';
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
const MICROS_PER_SECOND = 1e6;

interface Summary {
  readonly histogram: Histogram;
  readonly sumSeconds: number;
}

function escapeLabel(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

function formatLabels(labels: Labels): string {
  const parts = Object.keys(labels)
    .toSorted()
    .map((key) => `${key}="${escapeLabel(labels[key] ?? '')}"`);
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function addLabel(labels: string, extra: string): string {
  return labels === '' ? `{${extra}}` : `${labels.slice(0, -1)},${extra}}`;
}

function seriesKey<Value>(series: ReadonlyMap<string, Value>, labels: Labels): string {
  const key = formatLabels(labels);
  return series.has(key) || series.size < MAX_SERIES ? key : OTHER_LABELS;
}

function formatSummary(name: string, labels: string, summary: Summary): readonly string[] {
  const { histogram, sumSeconds } = summary;
  const quantiles = QUANTILES.map((quantile) => {
    const seconds = histogram.getValueAtPercentile(quantile * 100) / MICROS_PER_SECOND;
    return `${name}${addLabel(labels, `quantile="${quantile}"`)} ${seconds}`;
  });
  return [
    ...quantiles,
    `${name}_sum${labels} ${sumSeconds}`,
    `${name}_count${labels} ${histogram.totalCount}`,
  ];
}

/**
 * Creates the metrics of a process. A process without summaries omits `createHistogram`, so that
 * the library is not loaded. Recording changes counters in place, because it is on hot paths.
 */
export function createMetrics<Name extends string>(
  definitions: Readonly<Record<Name, MetricDefinition>>,
  createHistogram?: () => Histogram,
): Metrics<Name> {
  const names = Object.keys(definitions) as Name[];
  const counters = new Map(names.map((name) => [name, new Map<string, number>()]));
  const summaries = new Map(names.map((name) => [name, new Map<string, Summary>()]));

  const formatMetric = (name: Name, gauges: readonly GaugeValue<Name>[]): readonly string[] => {
    const { kind, help } = definitions[name];
    const counterLines = [...(counters.get(name) ?? [])].map(
      ([key, value]) => `${name}${key} ${value}`,
    );
    const summaryLines = [...(summaries.get(name) ?? [])].flatMap(([key, summary]) =>
      formatSummary(name, key, summary),
    );
    const gaugeLines = gauges
      .filter((gauge) => gauge.name === name)
      .map((gauge) => `${name}${formatLabels(gauge.labels)} ${gauge.value}`);
    const values = [...counterLines, ...summaryLines, ...gaugeLines];
    // An unused counter is exported as 0, so that an alert can distinguish it from a missing one.
    const exported = kind === 'counter' && values.length === 0 ? [`${name} 0`] : values;
    return [`# HELP ${name} ${help}`, `# TYPE ${name} ${kind}`, ...exported];
  };

  return {
    count: (name, labels = {}, by = 1) => {
      const series = counters.get(name);
      if (series === undefined) return;
      const key = seriesKey(series, labels);
      series.set(key, (series.get(key) ?? 0) + by);
    },
    observe: (name, labels, durationMs) => {
      const series = summaries.get(name);
      if (series === undefined || createHistogram === undefined) return;
      const key = seriesKey(series, labels);
      const summary = series.get(key) ?? {
        histogram: createHistogram(),
        sumSeconds: 0,
      };
      const micros = Math.min(MAX_DURATION_MICROS, Math.max(1, Math.round(durationMs * 1_000)));
      summary.histogram.recordValue(micros);
      series.set(key, {
        histogram: summary.histogram,
        sumSeconds: summary.sumSeconds + micros / MICROS_PER_SECOND,
      });
    },
    counterValue: (name, labels = {}) => counters.get(name)?.get(formatLabels(labels)) ?? 0,
    text: (gauges) => `${names.flatMap((name) => formatMetric(name, gauges)).join('\n')}\n`,
  };
}
