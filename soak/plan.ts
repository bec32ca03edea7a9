import { assertNever, drawUniforms } from '@bronzeyoke/types';
import type { FaultSelection, LinkKind } from './selection';
import { ALL_FAULTS } from './selection';
import type { Fault, LinkMode, PlannedFault, Scope } from './types';

const MIN_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 1_800;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 4_000;
const MAX_DELAY_MS = 400;
const MAX_LATE_WRITE_MS = 6_000;
const MIN_PROCESSOR_PERCENT = 5;
const MAX_PROCESSOR_PERCENT = 50;

/** Random numbers that each fault takes. */
const DRAWS_PER_FAULT = 6;

/** Prime that maps seeds to [0, 1). */
const SEED_RANGE = 2_147_483_647;

function interpolate(random: number, min: number, max: number): number {
  return Math.round(min + random * (max - min));
}

function pick<Value>(random: number, values: readonly Value[]): Value {
  const value = values[Math.floor(random * values.length)];
  if (value === undefined) throw new RangeError('there is nothing to choose from');
  return value;
}

function createMode({ mode }: LinkKind, byMs: number, isEven: boolean): LinkMode {
  switch (mode) {
    case 'delay':
      return { kind: mode, byMs };
    case 'oneWay':
      return { kind: mode, lost: isEven ? 'answers' : 'requests' };
    case 'silent':
    case 'reset':
    case 'refuse':
      return { kind: mode };
    default:
      return assertNever(mode);
  }
}

function createScope(kind: Scope['kind'], index: number): Scope {
  return kind === 'all' ? { kind } : { kind, index };
}

function createFault(
  { kinds, links }: FaultSelection,
  [kindDraw = 0, targetDraw = 0, modeDraw = 0, delayDraw = 0, durationDraw = 0]: readonly number[],
): Fault {
  const index = Math.floor(targetDraw * SEED_RANGE);
  const forMs = interpolate(durationDraw, MIN_DURATION_MS, MAX_DURATION_MS);
  const byMs = interpolate(delayDraw, 1, MAX_DELAY_MS);
  const percent = interpolate(delayDraw, MIN_PROCESSOR_PERCENT, MAX_PROCESSOR_PERCENT);
  const kind = pick(kindDraw, kinds);
  switch (kind) {
    case 'kill':
      return { kind, program: index, forMs };
    case 'killBriefly':
      return { kind: 'kill', program: index, forMs: 0 };
    case 'killAll':
      return { kind, forMs };
    case 'terminate':
    case 'pause':
      return { kind, program: index, forMs };
    case 'reload':
      return { kind, program: index };
    case 'slowOne':
      return { kind: 'slowProcessor', scope: createScope('one', index), percent, forMs };
    case 'slowDomain':
      return { kind: 'slowProcessor', scope: createScope('domain', index), percent, forMs };
    case 'slowAll':
      return { kind: 'slowProcessor', scope: createScope('all', index), percent, forMs };
    case 'link': {
      const link = pick(modeDraw, links);
      const mode = createMode(link, byMs, index % 2 === 0);
      return { kind, hop: link.hop, scope: createScope(link.scope, index), mode, forMs };
    }
    case 'storeDown':
    case 'storeLosesAnswers':
      return { kind, forMs };
    case 'storeSlow':
      return { kind, byMs, forMs };
    case 'storeWritesLate':
      return { kind, byMs: interpolate(delayDraw, 1_000, MAX_LATE_WRITE_MS), forMs };
    case 'storeForgets':
    case 'configure':
      return { kind };
    case 'workerCrash':
      return { kind, worker: index };
    case 'ordersLate':
      return { kind, worker: index, forMs };
    case 'oddDraining':
      return { kind: 'oddMessages', worker: index, messages: 'draining', forMs };
    case 'oddLeave':
      return { kind: 'oddMessages', worker: index, messages: 'leave', forMs };
    case 'oddAnnouncedLeave':
      return { kind: 'oddMessages', worker: index, messages: 'announcedLeave', forMs };
    default:
      return assertNever(kind);
  }
}

/** Maps a seed to a number in [0, 1). */
export function seedToUniform(seed: number): number {
  return (seed % SEED_RANGE) / SEED_RANGE;
}

/** Plans the faults of a run, in order of time. They follow each other closely and may overlap. */
export function planFaults(
  seed: number,
  forMs: number,
  selection: FaultSelection = ALL_FAULTS,
): readonly PlannedFault[] {
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
      return [...planned, { atMs, fault: createFault(selection, draws) }];
    }, [])
    .filter(({ atMs }) => atMs < forMs);
}
