import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/health.json';

/** State chart of the health of an upstream, from the view of one entry. */
export const healthChart = compileChart(chartFile, {
  states: ['healthy', 'ejected', 'ready', 'probing'],
  events: ['eject', 'due', 'send', 'pass', 'fail', 'release', 'restore'],
  actions: ['scheduleProbe', 'doubleDelay', 'resetDelay'],
});

/** Health states of an upstream. Only `healthy` takes ordinary requests; `ready` takes one probe. */
export type HealthState = StateOf<typeof healthChart>;

/** Actions of the health chart. */
export type HealthAction = ActionOf<typeof healthChart>;
