import type { StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../../charts/recovery.json';

/** Chart of the way of a new leader to normal service. */
export const recoveryChart = compileChart(chartFile, {
  states: ['idle', 'claimed', 'loaded', 'reported', 'ordering', 'restored'],
  events: ['claimed', 'loaded', 'reported', 'ordered', 'restored', 'ended'],
  actions: ['logStep'],
});

/** Step that a new leader reaches on its way to normal service. */
export type RecoveryStep = 'claimed' | 'loaded' | 'reported' | 'ordered' | 'restored';

/** Event of the chart of a recovery. */
export type RecoveryEvent = RecoveryStep | 'ended';

/** How far a new leader has come. */
export interface Recovery {
  readonly phase: StateOf<typeof recoveryChart>;
  readonly beganAtMs: number;
  readonly lastStepAtMs: number;
}

/** Recovery of an entry that does not lead. */
export const NO_RECOVERY: Recovery = {
  phase: recoveryChart.initial,
  beganAtMs: 0,
  lastStepAtMs: 0,
};
