import type { PassPace } from '../placement/passbudget';
import { NO_PACE } from '../placement/passbudget';

/** Weight of earlier passes in the usual pace, which a slow machine must not change soon. */
const KEPT_SHARE = 0.97;

/** Passes of a leader from which on its pace counts as the usual one. The first ones run slow code. */
const LEARNING_PASSES = 20;

/** Multiple of the usual time for the same work from which on a pass is slow. Loads of others double it. */
const SLOW_FACTOR = 2.5;

/** Slow passes in a row that show a slow machine. A pause of the process falls into a single one. */
const SLOW_PASSES = 2;

/** What a leader knows of the pace of its passes beside its usual one. */
export interface SlowPasses {
  readonly usual: PassPace;
  readonly passes: number;
  /** Slow passes in a row until now. */
  readonly slow: number;
}

/** A leader before its first pass. */
export const NO_SLOW_PASSES: SlowPasses = { usual: NO_PACE, passes: 0, slow: 0 };

/** Compares a pass with the usual pace. */
export function comparePass(known: SlowPasses, work: number, tookMs: number): SlowPasses {
  const { usual, passes, slow } = known;
  const isLearned = passes >= LEARNING_PASSES;
  const isSlow = isLearned && tookMs * usual.work > SLOW_FACTOR * usual.tookMs * work;
  return {
    usual: {
      work: usual.work * KEPT_SHARE + work,
      tookMs: usual.tookMs * KEPT_SHARE + tookMs,
    },
    passes: passes + 1,
    slow: isSlow ? slow + 1 : 0,
  };
}

/** Returns whether the last passes show that the machine of the leader has become slow. */
export function isSlowed({ slow }: SlowPasses): boolean {
  return slow >= SLOW_PASSES;
}
