import { DEFAULT_POLICY } from '@bronzeyoke/scheduler';
import { TIMES } from './fixture';
import { MEASURED_COSTS } from './simcpu';
import type { Simulation } from './simtypes';
import { createSimulation } from './simulation';

const WORKERS = 70;
const LASTING_TASKS = 80;
const ENTRIES = 5;
const WARM_UP_MS = 6_000;

/** Short jobs of two tasks: what comes in a second usually, and in a burst. */
const TASKS_PER_JOB = 2;
const USUAL_JOBS_PER_S = 20;
const BURST_FACTOR = 2.6;

/** Factor by which the machines of slow entries are slower. */
const SLOWNESS = 4;

/** Options of a play of slow entries under a burst. */
export interface SlowPlay {
  readonly handsOver: boolean;
  /** Entries that become slow, by the one that leads. */
  readonly slow: (leader: number) => readonly number[];
  /** Runs every millisecond of the burst. */
  readonly watch?: (simulation: Simulation) => void;
  readonly forMs?: number;
}

/** What a play of slow entries has shown. */
export interface SlowResult {
  readonly simulation: Simulation;
  /** Times from the hand-in of a job during the burst to its first start, in order. */
  readonly startsMs: readonly number[];
  /** Leases of live workers that the leaders have taken as expired. */
  readonly lapses: number;
  /** Entries that have claimed the lease since the entries became slow. */
  readonly claimed: readonly string[];
  readonly broken: readonly string[];
}

/** Returns the value that a share of ordered values does not exceed. */
export function quantile(values: readonly number[], share: number): number {
  return values[Math.ceil(values.length * share) - 1] ?? Infinity;
}

/** Returns when a task of a job first began on a worker; infinite if it has not. */
export function startOf(simulation: Simulation, jobId: string, index: number): number {
  const starts = simulation
    .runsOf(`${jobId}.0.0.${index}`)
    .map((line) => Number(/started (?<atS>[\d.]+)/u.exec(line)?.groups?.atS ?? Infinity) * 1_000);
  return Math.min(Infinity, ...starts);
}

/** Returns when a job began on a worker; infinite if it has not. */
function firstStartOf(simulation: Simulation, jobId: string): number {
  return Math.min(
    ...Array.from({ length: TASKS_PER_JOB }, (_, index) => startOf(simulation, jobId, index)),
  );
}

/** Plays a burst of short jobs that begins when some entries become slow. */
export function playSlow(
  seed: number,
  { handsOver, slow, watch = () => {}, forMs = 12_000 }: SlowPlay,
): SlowResult {
  const policy = { ...DEFAULT_POLICY, handsOver };
  const simulation = createSimulation(seed, WORKERS, TIMES, { costs: MEASURED_COSTS, policy });
  const submitFor = (ms: number, jobsPerS: number): readonly (readonly [string, number])[] =>
    Array.from({ length: Math.round((ms / 1_000) * jobsPerS) }, () => {
      const atMs = simulation.now();
      const jobId = simulation.submit('short', TASKS_PER_JOB);
      simulation.advanceUntil(() => {
        watch(simulation);
        return false;
      }, 1_000 / jobsPerS);
      return [jobId, atMs] as const;
    });
  simulation.submit('lasting', LASTING_TASKS);
  simulation.advance(WARM_UP_MS / 2);
  submitFor(WARM_UP_MS / 2, USUAL_JOBS_PER_S);
  const before = simulation.claims().length;
  const sinceMs = simulation.now();
  slow(simulation.leader()).forEach((entry) => simulation.slowEntry(entry % ENTRIES, SLOWNESS));
  const jobs = submitFor(forMs, USUAL_JOBS_PER_S * BURST_FACTOR);
  simulation.advance(3_000);
  const startsMs = jobs.map(([jobId, atMs]) => firstStartOf(simulation, jobId) - atMs);
  const lapses = simulation
    .logged()
    .filter(
      ({ atMs, event, fields }) =>
        atMs >= sinceMs && event === 'workerGone' && fields.reason === 'leaseExpired',
    );
  return {
    simulation,
    startsMs: startsMs.toSorted((left, right) => left - right),
    lapses: lapses.length,
    claimed: simulation
      .claims()
      .slice(before)
      .map(({ entryId }) => entryId),
    broken: [...new Set(simulation.violations().map(({ kind }) => kind))],
  };
}
