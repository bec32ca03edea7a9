import type { StateOf } from '@bronzeyoke/chart';
import { advance, compileChart } from '@bronzeyoke/chart';
import chartFile from '../../charts/handover.json';

/** Chart of whether a leader keeps its lease or offers it to other entries. */
export const handoverChart = compileChart(chartFile, {
  states: ['resting', 'keeping', 'lagging', 'offering'],
  events: ['rested', 'lag', 'catchUp', 'offer', 'decline'],
  actions: [],
});

type HandoverEvent = 'rested' | 'lag' | 'catchUp' | 'offer' | 'decline';

/** What a leader knows of a handover of its lease. */
export interface Handover {
  readonly phase: StateOf<typeof handoverChart>;
  readonly sinceMs: number;
  /** When the row with the offer was sent; absent until it is stored. */
  readonly storedSentAtMs?: number;
  /** How long events of the overloaded leader before waited, if this one took its offer. */
  readonly beforeWaitMs?: number;
}

/** When this entry last offered its lease, and how long its events waited. */
export interface LastOffer {
  readonly atMs: number;
  readonly waitMs: number;
}

/** Handover of an entry that does not lead. */
export const NO_HANDOVER: Handover = { phase: handoverChart.initial, sinceMs: 0 };

/** Returns the handover of a leader that has just claimed the lease. */
export function handoverAfterClaim(nowMs: number, beforeWaitMs: number | undefined): Handover {
  const before = beforeWaitMs === undefined ? {} : { beforeWaitMs };
  return { ...NO_HANDOVER, sinceMs: nowMs, ...before };
}

/** Returns a handover after an event of its chart. */
export function advanceHandover(
  { phase, beforeWaitMs }: Handover,
  event: HandoverEvent,
  nowMs: number,
): Handover {
  const before = beforeWaitMs === undefined ? {} : { beforeWaitMs };
  return { phase: advance(handoverChart, phase, event).state, sinceMs: nowMs, ...before };
}
