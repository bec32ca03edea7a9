import { drawUniforms } from '@bronzeyoke/types';
import type { Fault, LinkMode, PlannedFault } from './types';

const MIN_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 1_800;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 4_000;
const MAX_DELAY_MS = 400;
const MAX_LATE_WRITE_MS = 6_000;

/** Random numbers that each fault takes. */
const DRAWS_PER_FAULT = 6;

/** Prime that maps seeds to [0, 1). */
const SEED_RANGE = 2_147_483_647;

function interpolate(random: number, min: number, max: number): number {
  return Math.round(min + random * (max - min));
}

function pick<Value>(random: number, values: readonly [Value, ...Value[]]): Value {
  return values[Math.floor(random * values.length)] ?? values[0];
}

function createLinkMode(modeDraw: number, delayDraw: number): LinkMode {
  return pick<LinkMode>(modeDraw, [
    { kind: 'delay', byMs: interpolate(delayDraw, 1, MAX_DELAY_MS) },
    { kind: 'silent' },
    { kind: 'oneWay' },
    { kind: 'reset' },
  ]);
}

function createFault([
  kindDraw = 0,
  targetDraw = 0,
  modeDraw = 0,
  delayDraw = 0,
  durationDraw = 0,
]: readonly number[]): Fault {
  const index = Math.floor(targetDraw * SEED_RANGE);
  const forMs = interpolate(durationDraw, MIN_DURATION_MS, MAX_DURATION_MS);
  return pick<Fault>(kindDraw, [
    { kind: 'kill', program: index, forMs },
    { kind: 'kill', program: index, forMs: 0 },
    { kind: 'killAll', forMs },
    { kind: 'terminate', program: index, forMs },
    { kind: 'pause', program: index, forMs },
    { kind: 'pause', program: index, forMs },
    { kind: 'reload', program: index },
    { kind: 'link', link: index, mode: createLinkMode(modeDraw, delayDraw), forMs },
    { kind: 'link', link: index, mode: createLinkMode(modeDraw, delayDraw), forMs },
    { kind: 'link', link: index, mode: createLinkMode(modeDraw, delayDraw), forMs },
    { kind: 'storeDown', forMs },
    { kind: 'storeSlow', byMs: interpolate(delayDraw, 1, MAX_DELAY_MS), forMs },
    { kind: 'storeLosesAnswers', forMs },
    { kind: 'storeWritesLate', byMs: interpolate(delayDraw, 1_000, MAX_LATE_WRITE_MS), forMs },
    { kind: 'storeForgets' },
    { kind: 'workerCrash', worker: index },
    { kind: 'ordersLate', worker: index, forMs },
    { kind: 'configure' },
  ]);
}

/** Maps a seed to a number in [0, 1). */
export function seedToUniform(seed: number): number {
  return (seed % SEED_RANGE) / SEED_RANGE;
}

/** Plans the faults of a run, in order of time. They follow each other closely and may overlap. */
export function planFaults(seed: number, forMs: number): readonly PlannedFault[] {
  const maxFaults = Math.ceil(forMs / MIN_INTERVAL_MS);
  const uniforms = drawUniforms(seedToUniform(seed), maxFaults * DRAWS_PER_FAULT);
  const drawsOfFaults = Array.from({ length: maxFaults }, (_, index) =>
    uniforms.slice(index * DRAWS_PER_FAULT, (index + 1) * DRAWS_PER_FAULT),
  );
  return drawsOfFaults
    .reduce<readonly PlannedFault[]>((planned, draws) => {
      const lastMs = planned.at(-1)?.atMs ?? 0;
      const atMs =
        lastMs + interpolate(draws[DRAWS_PER_FAULT - 1] ?? 0, MIN_INTERVAL_MS, MAX_INTERVAL_MS);
      return [...planned, { atMs, fault: createFault(draws) }];
    }, [])
    .filter(({ atMs }) => atMs < forMs);
}
