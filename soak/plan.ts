import { drawUniforms } from '@bronzeyoke/types';
import type { Fault, LinkMode, PlannedFault } from './types';

const MIN_GAP_MS = 100;
const MAX_GAP_MS = 1_800;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 4_000;
const MAX_DELAY_MS = 400;

/** Numbers that one fault draws. */
const DRAWS = 6;

/** Seeds are mapped to [0, 1) by this prime. */
const SEED_RANGE = 2_147_483_647;

function spread(random: number, least: number, most: number): number {
  return Math.round(least + random * (most - least));
}

function pick<Value>(random: number, values: readonly [Value, ...Value[]]): Value {
  return values[Math.floor(random * values.length)] ?? values[0];
}

function linkMode(random: number, size: number): LinkMode {
  return pick<LinkMode>(random, [
    { kind: 'delay', byMs: spread(size, 1, MAX_DELAY_MS) },
    { kind: 'silent' },
    { kind: 'oneWay' },
    { kind: 'reset' },
  ]);
}

function faultOf([which = 0, where = 0, how = 0, size = 0, long = 0]: readonly number[]): Fault {
  const index = Math.floor(where * SEED_RANGE);
  const forMs = spread(long, MIN_FAULT_MS, MAX_FAULT_MS);
  return pick<Fault>(which, [
    { kind: 'kill', program: index, forMs },
    { kind: 'kill', program: index, forMs: 0 },
    { kind: 'killAll', forMs },
    { kind: 'terminate', program: index, forMs },
    { kind: 'pause', program: index, forMs },
    { kind: 'pause', program: index, forMs },
    { kind: 'reload', program: index },
    { kind: 'link', link: index, mode: linkMode(how, size), forMs },
    { kind: 'link', link: index, mode: linkMode(how, size), forMs },
    { kind: 'link', link: index, mode: linkMode(how, size), forMs },
    { kind: 'storeDown', forMs },
    { kind: 'storeSlow', byMs: spread(size, 1, MAX_DELAY_MS), forMs },
    { kind: 'storeLosesAnswers', forMs },
    { kind: 'storeForgets' },
    { kind: 'workerCrash', worker: index },
    { kind: 'ordersLate', worker: index, forMs },
    { kind: 'configure' },
  ]);
}

/** The number in [0, 1) that a seed stands for. */
export function seedToUniform(seed: number): number {
  return (seed % SEED_RANGE) / SEED_RANGE;
}

/** Faults of a run, in order. They come in series and overlap. */
export function planFaults(seed: number, forMs: number): readonly PlannedFault[] {
  const most = Math.ceil(forMs / MIN_GAP_MS);
  const numbers = drawUniforms(seedToUniform(seed), most * DRAWS);
  const planned = Array.from({ length: most }, (_, index) =>
    numbers.slice(index * DRAWS, (index + 1) * DRAWS),
  );
  return planned
    .reduce<readonly PlannedFault[]>((before, drawn) => {
      const lastMs = before.at(-1)?.atMs ?? 0;
      const atMs = lastMs + spread(drawn[DRAWS - 1] ?? 0, MIN_GAP_MS, MAX_GAP_MS);
      return [...before, { atMs, fault: faultOf(drawn) }];
    }, [])
    .filter(({ atMs }) => atMs < forMs);
}
