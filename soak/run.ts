import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { drawUniforms } from '@bronzeyoke/types';
import { runCaller } from './caller';
import { inject } from './inject';
import { findOverlaps, findViolations } from './oracle';
import { planFaults, seedToUniform } from './plan';
import type { RepeatCount } from './repeats';
import { countRepeats, findRepeats } from './repeats';
import { ofKind, runsOf } from './runs';
import type { FaultSelection } from './selection';
import type { SiteSize } from './site';
import { startSite } from './site';
import type { PromiseViolation, PlannedFault, SoakObservation } from './types';

const PROGRESS_INTERVAL_MS = 5_000;

/** Time for the programs to start before callers and faults begin. */
const STARTUP_MS = 3_000;

/** Time without faults at the end, in which every accepted job has to end. */
const CALM_PERIOD_MS = 15_000;

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly forMs: number;
  readonly size: SiteSize;
  readonly callers: number;
  /** Faults to choose from; all unless given. */
  readonly selection?: FaultSelection;
  /** Gets the counts of the run every few seconds. */
  readonly onProgress?: (progress: SoakProgress) => void;
  /** Time without faults at the end; long enough for every accepted job to end unless given. */
  readonly calmMs?: number;
  /** Path of the bundled program. */
  readonly bundle: string;
  /** Folder for the programs' settings and logs, and for the timeline. */
  readonly folder: string;
}

/** Counts of a run up to a time. */
export interface SoakProgress {
  readonly atMs: number;
  readonly faults: number;
  readonly accepted: number;
  readonly runs: number;
  readonly doubleRuns: number;
}

/** Result of a soak run. */
export interface SoakReport {
  readonly progress: SoakProgress;
  readonly violations: readonly PromiseViolation[];
  /** Starts of tasks after a success, by kind. */
  readonly repeatCounts: readonly RepeatCount[];
  readonly faults: readonly PlannedFault[];
  readonly observations: readonly SoakObservation[];
}

/**
 * Runs the programs under faults and then without, and checks the observations of callers and
 * workers.
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, forMs, size, folder, onProgress = () => undefined } = options;
  const startedMs = performance.now();
  const nowMs = (): number => Math.round(performance.now() - startedMs);
  const observations: SoakObservation[] = [];
  const observe = (observation: SoakObservation): void => {
    observations.push(observation);
  };
  const site = await startSite(options.bundle, folder, size, observe, nowMs);
  const faults = planFaults(seed, forMs, options.selection);
  const phase = { isCalm: false, isOver: false, injected: 0 };
  const measure = (): SoakProgress => ({
    atMs: nowMs(),
    faults: phase.injected,
    accepted: ofKind(observations, 'accepted').length,
    runs: ofKind(observations, 'started').length,
    doubleRuns: findOverlaps(runsOf(observations)).length,
  });
  const progressTimer = setInterval(() => onProgress(measure()), PROGRESS_INTERVAL_MS);
  await sleep(STARTUP_MS);
  const callers = drawUniforms(seedToUniform(seed), options.callers).map((random) =>
    runCaller(random, {
      entryAddresses: site.entryAddresses,
      observe,
      nowMs,
      isOver: () => phase.isOver,
      isCalm: () => phase.isCalm,
    }),
  );
  await Promise.all(
    faults.map(async ({ atMs, fault }) => {
      await sleep(atMs);
      phase.injected += 1;
      await inject(site, fault);
    }),
  );
  phase.isCalm = true;
  await sleep(options.calmMs ?? CALM_PERIOD_MS);
  phase.isOver = true;
  await Promise.all(callers);
  clearInterval(progressTimer);
  const endMs = nowMs();
  const violations = findViolations(observations, endMs);
  const repeats = findRepeats(observations);
  site.close();
  const timeline = [
    ...faults.map((planned) => JSON.stringify(planned)),
    ...observations.map((observation) => JSON.stringify(observation)),
    ...repeats.map((repeat) => JSON.stringify(repeat)),
    ...violations.map((violation) => JSON.stringify(violation)),
  ];
  await writeFile(join(folder, 'timeline.jsonl'), `${timeline.join('\n')}\n`);
  const repeatCounts = countRepeats(repeats, endMs);
  return { violations, repeatCounts, faults, observations, progress: measure() };
}
