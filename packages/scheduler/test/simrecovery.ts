import { TIMES } from './fixture';
import { MEASURED_COSTS } from './simcpu';
import { AWAY_MS } from './siminvariants';
import type { Simulation } from './simtypes';
import { createSimulation } from './simulation';

/** Workers, of which lasting tasks fill most: they may take two places of four on each. */
export const WORKERS = 20;
const LASTING_TASKS = 30;

/** Short jobs that keep coming: a quarter of what the other places carry. */
const ARRIVAL_MS = 500;
const TASKS_PER_JOB = 4;

/** Cores with which an entry leads without delay. */
export const LARGE = 0.6;

/** Longest time between two reports that a leader asks for, and the runs that one lists on average. */
const REPORT_INTERVAL_MS = 600;
const LISTED_RUNS = 2;

const WARM_UP_MS = 4_000;
const WINDOW_MS = 4_000;

/** Jobs that may fall on either side of the start and the end of a window. */
const EDGE_JOBS = 2;

/** A simulation under a constant load. */
export interface LoadedSimulation {
  readonly simulation: Simulation;
  /** Lets time pass while short jobs come. */
  readonly advance: (ms: number) => void;
  /** Short jobs that have been completed. */
  readonly completed: () => number;
}

/** Returns the cores of an entry that needs the given share of them for the rarest reports. */
export function coresFor(reportShare: number): number {
  const { reportMs, listedRunMs } = MEASURED_COSTS;
  const neededMs = WORKERS * (reportMs + LISTED_RUNS * listedRunMs);
  return neededMs / REPORT_INTERVAL_MS / reportShare;
}

/** Starts entries with processor time, workers, and the load. */
export function createLoaded(seed: number, processors: readonly number[]): LoadedSimulation {
  const options = { costs: MEASURED_COSTS, processors };
  const simulation = createSimulation(seed, WORKERS, TIMES, options);
  const jobs: string[] = [];
  const known = { nextMs: ARRIVAL_MS };
  simulation.submit('lasting', LASTING_TASKS);
  const advance = (ms: number): void => {
    const untilMs = simulation.now() + ms;
    while (known.nextMs <= untilMs) {
      simulation.advance(known.nextMs - simulation.now());
      jobs.push(simulation.submit('short', TASKS_PER_JOB));
      known.nextMs += ARRIVAL_MS;
    }
    simulation.advance(untilMs - simulation.now());
  };
  const completed = (): number => jobs.filter(simulation.isComplete).length;
  return { simulation, advance, completed };
}

/** Plays a fault under a constant load, and returns what is not as before in due time after its end. */
export function playFault(
  seed: number,
  processors: readonly number[],
  fault: (loaded: LoadedSimulation) => void,
): readonly string[] {
  const loaded = createLoaded(seed, processors);
  const { simulation, advance, completed } = loaded;
  const completedInWindow = (): number => {
    const before = completed();
    advance(WINDOW_MS);
    return completed() - before;
  };
  advance(WARM_UP_MS);
  const usual = completedInWindow();
  fault(loaded);
  advance(AWAY_MS);
  const normalFromMs = simulation.now();
  const awayBefore = simulation.lastingAway();
  const present = completedInWindow();
  const away = simulation.lastingAway().filter((task) => awayBefore.includes(task));
  const lapsed = simulation
    .logged()
    .filter(
      ({ atMs, event, fields }) =>
        atMs >= normalFromMs && event === 'workerGone' && fields.reason === 'leaseExpired',
    );
  const broken = new Set(simulation.violations().map(({ kind }) => kind));
  return [
    ...broken,
    ...(away.length > 0 ? [`${away.length} lasting tasks away`] : []),
    ...(present < usual - EDGE_JOBS ? [`${present} short jobs instead of ${usual}`] : []),
    ...(lapsed.length > 0 ? [`${lapsed.length} leases expired`] : []),
  ].map((problem) => `seed ${seed}: ${problem}`);
}
