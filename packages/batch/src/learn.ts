import { Map } from 'immutable';
import type { Resources } from '@bronzeyoke/types';

const MAX_SAMPLES = 64;
/** With fewer samples than these the declared value applies. */
const MIN_RUNS = 3;
const MIN_PEAKS = 8;

/** Run times of a team's work of one kind. */
export interface RunStats {
  readonly samples: readonly number[];
  readonly p50Ms: number;
  readonly p90Ms: number;
}

/** Peak resource use of tasks of one kind. */
export interface SizeStats {
  readonly samples: readonly Resources[];
  readonly p95: Resources;
}

/** Measured run times and sizes of tasks. A new owner of a shard starts without samples. */
export interface LearnState {
  readonly runs: Map<string, RunStats>;
  readonly sizes: Map<string, SizeStats>;
}

/** Initial state without samples. */
export const NOTHING_LEARNED: LearnState = { runs: Map(), sizes: Map() };

/** Returns the quantile of the samples by the nearest-rank method, or 0 without samples. */
function quantile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1);
  return sorted[Math.max(0, index)] ?? 0;
}

function appendSample<Sample>(samples: readonly Sample[], sample: Sample): readonly Sample[] {
  return [...samples, sample].slice(-MAX_SAMPLES);
}

/** Adds the run time of a finished task. */
export function learnRun(
  state: LearnState,
  team: string,
  workKind: string,
  runMs: number,
): LearnState {
  const name = `${team}/${workKind}`;
  const samples = appendSample(state.runs.get(name)?.samples ?? [], runMs);
  const stats = { samples, p50Ms: quantile(samples, 0.5), p90Ms: quantile(samples, 0.9) };
  return { ...state, runs: state.runs.set(name, stats) };
}

/** Adds the peak resource use of a task. */
export function learnPeak(state: LearnState, workKind: string, peak: Resources): LearnState {
  const samples = appendSample(state.sizes.get(workKind)?.samples ?? [], peak);
  const p95Of = (pick: (sample: Resources) => number) => quantile(samples.map(pick), 0.95);
  const p95 = {
    processorsMilli: Math.ceil(p95Of((sample) => sample.processorsMilli)),
    memoryMb: Math.ceil(p95Of((sample) => sample.memoryMb)),
    accelerators: Math.ceil(p95Of((sample) => sample.accelerators)),
  };
  return { ...state, sizes: state.sizes.set(workKind, { samples, p95 }) };
}

/** Returns the expected run times; the declared one applies until enough tasks have finished. */
export function runTimes(
  state: LearnState,
  team: string,
  workKind: string,
  declaredMs: number,
): { readonly p50Ms: number; readonly p90Ms: number } {
  const stats = state.runs.get(`${team}/${workKind}`);
  return stats !== undefined && stats.samples.length >= MIN_RUNS
    ? stats
    : { p50Ms: declaredMs, p90Ms: declaredMs };
}

/** Returns whether any task of this team and kind has finished on some worker. */
export function hasSucceeded(state: LearnState, team: string, workKind: string): boolean {
  return state.runs.has(`${team}/${workKind}`);
}

/** Returns the resources to reserve for a task. */
export function reservationOf(
  state: LearnState,
  workKind: string,
  declared: Resources,
  floor: Resources | undefined,
): Resources {
  const stats = state.sizes.get(workKind);
  const learned =
    stats !== undefined && stats.samples.length >= MIN_PEAKS
      ? { ...stats.p95, accelerators: Math.max(stats.p95.accelerators, declared.accelerators) }
      : declared;
  return floor === undefined
    ? learned
    : {
        processorsMilli: Math.max(learned.processorsMilli, floor.processorsMilli),
        memoryMb: Math.max(learned.memoryMb, floor.memoryMb),
        accelerators: Math.max(learned.accelerators, floor.accelerators),
      };
}
