/** Work that a pool did in one span of time. */
interface WorkSample {
  readonly atMs: number;
  readonly forMs: number;
  readonly doneCoreMs: number;
}

/** What is known of the rate at which a pool does work. */
export interface WorkRate {
  readonly samples: readonly WorkSample[];
  /** Since when more has waited than has run; absent if it does not. */
  readonly contendedSinceMs?: number;
  /** Best rate so far for each core of room, as of `peakAtMs`. */
  readonly peakPerCore: number;
  readonly peakAtMs: number;
}

/** One look at a pool. */
export interface WorkLook {
  readonly nowMs: number;
  readonly forMs: number;
  readonly doneCoreMs: number;
  readonly isContended: boolean;
  /** Processors of the workers that can be used. */
  readonly roomCores: number;
}

/** Rate of a pool that was not looked at yet. */
export const NO_RATE: WorkRate = { samples: [], peakPerCore: 0, peakAtMs: 0 };

/** Time over which work is counted. Several tasks of a few seconds end in it. */
const WINDOW_MS = 10_000;

/** Time of contention after which the rate is known. A shorter burst drains by itself. */
const KNOWN_AFTER_MS = 5_000;

/** Time in which the best rate counts for half: several times the length of a fault. */
const PEAK_HALF_LIFE_MS = 30_000;

function peakAt({ peakPerCore, peakAtMs }: WorkRate, nowMs: number): number {
  return peakPerCore * 0.5 ** ((nowMs - peakAtMs) / PEAK_HALF_LIFE_MS);
}

function measuredCores(samples: readonly WorkSample[]): number {
  const doneCoreMs = samples.reduce((sum, sample) => sum + sample.doneCoreMs, 0);
  return (
    doneCoreMs /
    Math.max(
      1,
      samples.reduce((sum, { forMs }) => sum + forMs, 0),
    )
  );
}

function isKnown({ contendedSinceMs = Infinity }: WorkRate, nowMs: number): boolean {
  return nowMs - contendedSinceMs >= KNOWN_AFTER_MS;
}

/** Records one look. Work that was done while nothing waited says nothing about the room. */
export function recordWork(rate: WorkRate, look: WorkLook): WorkRate {
  const { nowMs, forMs, doneCoreMs, isContended, roomCores } = look;
  const { peakPerCore, peakAtMs } = rate;
  if (!isContended) return { samples: [], peakPerCore, peakAtMs };
  const samples = [...rate.samples, { atMs: nowMs, forMs, doneCoreMs }].filter(
    ({ atMs }) => nowMs - atMs < WINDOW_MS,
  );
  const contendedSinceMs = rate.contendedSinceMs ?? nowMs;
  const next = { samples, contendedSinceMs, peakPerCore, peakAtMs };
  if (!isKnown(next, nowMs) || roomCores <= 0) return next;
  const perCore = measuredCores(samples) / roomCores;
  return perCore > peakAt(rate, nowMs) ? { ...next, peakPerCore: perCore, peakAtMs: nowMs } : next;
}

/** Returns the rate of a pool in cores, which is rather too high; undefined while it is not known. */
export function workRateCores(
  rate: WorkRate,
  nowMs: number,
  roomCores: number,
  atLeastCores: number,
): number | undefined {
  if (!isKnown(rate, nowMs)) return undefined;
  return Math.max(measuredCores(rate.samples), peakAt(rate, nowMs) * roomCores, atLeastCores);
}
