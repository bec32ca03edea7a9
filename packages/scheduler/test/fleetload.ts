import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { fillJob, quickJob } from './fleetjobs';
import type { Fleet } from './fullfleet';
import type { Span } from './simclock';

/** Start of the ids of quick jobs and of filling jobs. */
export const QUICK = 'quick';
export const FILL = 'fill';

const QUICK_CORES: Span = [0.3, 3];
const QUICK_MS = 1_000;

/** Actual duration of a run as a multiple of its estimate. */
const DURATION_FACTOR: Span = [0.5, 2];

/** A load that goes on until it is stopped. */
export interface Load {
  readonly stop: () => void;
}

/** A source of random numbers that does not depend on what the scheduler does. */
export interface Draws {
  readonly random: () => number;
  readonly within: (span: Span) => number;
  readonly index: (count: number) => number;
}

/** Creates a source of random numbers. */
export function createDraws(seed: number): Draws {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  return {
    random,
    within: ([low, high]) => low + random() * (high - low),
    index: (count) => Math.floor(random() * count),
  };
}

function repeat(fleet: Fleet, nextMs: () => number, callback: (count: number) => void): Load {
  const state = { isOn: true, count: 0 };
  const again = (): void => {
    if (!state.isOn) return;
    callback(state.count);
    state.count += 1;
    fleet.schedule(nextMs(), again);
  };
  fleet.schedule(nextMs(), again);
  return {
    stop: () => {
      state.isOn = false;
    },
  };
}

function meanOf([low, high]: Span): number {
  return (low + high) / 2;
}

/** Submits a quick job of a second at equal intervals. */
export function steadyQuickLoad(fleet: Fleet, cores: number, everyMs: number): Load {
  return repeat(
    fleet,
    () => everyMs,
    (count) => fleet.submit(quickJob(`${QUICK}${count}`, cores), QUICK_MS),
  );
}

/** Submits quick jobs at random times, so that they use this many cores on average. */
export function randomQuickLoad(fleet: Fleet, draws: Draws, cores: number): Load {
  const perMs = cores / (meanOf(QUICK_CORES) * QUICK_MS * meanOf(DURATION_FACTOR));
  return repeat(
    fleet,
    () => -Math.log(1 - draws.random()) / perMs,
    (count) => {
      const job = quickJob(`${QUICK}${count}`, draws.within(QUICK_CORES));
      fleet.submit(job, QUICK_MS * draws.within(DURATION_FACTOR));
    },
  );
}

/** Submits filling jobs at equal intervals. */
export function fillLoad(fleet: Fleet, draws: Draws, everyMs: number, memoryMb: number): Load {
  return repeat(
    fleet,
    () => everyMs,
    (count) =>
      fleet.submit(fillJob(`${FILL}${count}`, 2, memoryMb), 3_000 * draws.within(DURATION_FACTOR)),
  );
}

/** Time within which quick and filling tasks end after their load. */
const END_MS = 90_000;
const END_STEP_MS = 1_000;

/** Advances until the tasks of some job kinds are done. Returns false when some do not end. */
export function endsAll(fleet: Fleet, kinds: readonly string[]): boolean {
  const untilMs = fleet.now() + END_MS;
  const areOpen = (): boolean => kinds.some((kind) => fleet.countOpen(kind) > 0);
  while (areOpen() && fleet.now() < untilMs) fleet.advance(END_STEP_MS);
  return !areOpen();
}
