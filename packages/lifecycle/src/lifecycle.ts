import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/lifecycle.json';

/** Life of an entry or an agent, from start to a planned stop. */
export const lifecycleChart = compileChart(chartFile, {
  states: ['serving', 'draining', 'stopped'],
  events: ['stop', 'idle', 'timeout'],
  actions: ['announce', 'startTimeout', 'exit'],
});

/** States of a role. */
export type LifecycleState = StateOf<typeof lifecycleChart>;

/** Actions of the chart. */
export type LifecycleAction = ActionOf<typeof lifecycleChart>;

/** Longest time that a planned stop waits for work in progress. */
export const DRAIN_TIMEOUT_MS = 30_000;
