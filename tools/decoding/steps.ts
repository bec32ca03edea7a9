/** Step of decoding that is measured, each with those before it. */
export type StepName = 'text' | 'parse' | 'walk' | 'faults' | 'bounded' | 'cbor' | 'boundedCbor';

/** What a step took: time, and memory above that of the process before it. */
export interface StepResult {
  readonly tookMs: number;
  readonly peakMb: number;
  readonly outcome: string;
}

/** Returns the depth of a value by visiting all of it, as was done to find deep nesting after parsing. */
export function walkValue(value: unknown): number {
  if (typeof value !== 'object' || value === null) return 0;
  return Object.values(value).reduce<number>(
    (depth, part) => Math.max(depth, 1 + walkValue(part)),
    1,
  );
}
