import type { ActionOf, StateOf } from '@bronzeyoke/chart';
import { compileChart } from '@bronzeyoke/chart';
import chartFile from '../charts/lifecycle.json';

/** Chart of an entry or an agent, from its start to the end of a planned stop. */
export const lifecycleChart = compileChart(chartFile, {
  states: ['serving', 'draining', 'stopped'],
  events: ['stop', 'idle', 'timeout'],
  actions: ['announce', 'startTimeout', 'exit'],
});

/** State of an entry or an agent. */
export type LifecycleState = StateOf<typeof lifecycleChart>;

/** Action of the lifecycle chart, which the core carries out. */
export type LifecycleAction = ActionOf<typeof lifecycleChart>;

/** Longest time for which a planned stop waits for work in progress. */
export const DRAIN_TIMEOUT_MS = 30_000;
