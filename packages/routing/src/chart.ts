import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/health.json';

/** Health of an upstream as an entry sees it. */
export const healthChart = compileChart(chartFile, {
  states: ['healthy', 'ejected', 'ready', 'probing'],
  events: ['eject', 'due', 'send', 'pass', 'fail', 'release', 'restore'],
  actions: ['scheduleProbe', 'doubleDelay', 'resetDelay'],
});

/** States of the health of an upstream. Only `healthy` takes ordinary requests, `ready` takes one. */
export type HealthState = StateOf<typeof healthChart>;

/** Actions of the chart. */
export type HealthAction = ActionOf<typeof healthChart>;
