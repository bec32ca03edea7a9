import type { StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/throttle.json';

/** Throttling levels of a kind of work that slows the service down. */
export const throttleChart = compileChart(chartFile, {
  states: ['full', 'half', 'fifth'],
  events: ['bad', 'good'],
  actions: ['evictTask'],
});

/** Throttling levels of the chart. */
export type ThrottleLevel = StateOf<typeof throttleChart>;

/** Share of its processors that a task gets at each throttling level. */
export const LEVEL_SHARES: Readonly<Record<ThrottleLevel, number>> = {
  full: 1,
  half: 0.5,
  fifth: 0.2,
};
